//! Callers that send one request after the other until they are told to stop.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use oleanderspan_node::http::{
    Body,
    client::{Client, Protocol},
};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The wait between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(10);

/// Callers of one service.
pub struct Callers {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<Tally>>,
}

/// What callers got.
#[derive(Debug, Default)]
pub struct Tally {
    pub answered: u64,
    pub failures: Vec<String>,
}

impl Callers {
    /// Starts `each` callers that read at each address.
    pub fn start(addresses: &[SocketAddr], authority: &str, each: usize) -> Callers {
        Callers::start_with(addresses, authority, each, Bytes::new())
    }

    /// Starts `each` callers that book at each address: a body that can be sent once.
    pub fn start_bookings(addresses: &[SocketAddr], authority: &str, each: usize) -> Callers {
        Callers::start_with(addresses, authority, each, Bytes::from_static(b"{\"slot\":4}"))
    }

    fn start_with(addresses: &[SocketAddr], authority: &str, each: usize, body: Bytes) -> Callers {
        let stop = CancellationToken::new();
        let places = addresses.iter().flat_map(|address| std::iter::repeat_n(*address, each));
        let start =
            |address| tokio::spawn(call(address, authority.to_owned(), body.clone(), stop.clone()));
        let tasks = places.map(start).collect();
        Callers { stop, tasks }
    }

    /// Stops the callers after the answers that they wait for.
    pub async fn finish(self) -> Tally {
        self.stop.cancel();
        let mut sum = Tally::default();
        for task in self.tasks {
            let tally = task.await.unwrap();
            sum.answered += tally.answered;
            sum.failures.extend(tally.failures);
        }
        sum
    }
}

async fn call(
    address: SocketAddr,
    authority: String,
    body: Bytes,
    stop: CancellationToken,
) -> Tally {
    let client = Client::new(Protocol::Http1);
    let mut tally = Tally::default();
    while !stop.is_cancelled() {
        let answered = match body.is_empty() {
            true => read(&client, address, &authority, None).await,
            false => book(&client, address, &authority, &body).await,
        };
        match answered {
            Ok(_) => tally.answered += 1,
            Err(failure) => tally.failures.push(failure),
        }
        tokio::time::sleep(PAUSE).await;
    }
    tally
}

/// Sends one read that runs for `run`, and reads its answer whole.
pub async fn read(
    client: &Client,
    address: SocketAddr,
    authority: &str,
    run: Option<Duration>,
) -> Result<Bytes, String> {
    let mut request = Request::get(format!("http://{address}/lots/7")).header("host", authority);
    if let Some(run) = run {
        request = request.header("lab-run-ms", run.as_millis().to_string());
    }
    send(client, request.body(Body::empty()).unwrap(), b"GET /lots/7\n").await
}

async fn book(
    client: &Client,
    address: SocketAddr,
    authority: &str,
    body: &Bytes,
) -> Result<Bytes, String> {
    let request = Request::post(format!("http://{address}/bookings")).header("host", authority);
    send(client, request.body(Body::from(body.clone())).unwrap(), body).await
}

async fn send(client: &Client, request: Request<Body>, wanted: &[u8]) -> Result<Bytes, String> {
    let answer = client.send(request).await;
    let (head, body) = answer.map_err(|error| error.to_string())?.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
    if head.status == StatusCode::OK && *body == *wanted {
        return Ok(body);
    }
    Err(format!("{}: {}", head.status, String::from_utf8_lossy(&body)))
}
