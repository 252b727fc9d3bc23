//! Callers that send one read after the other until they are told to stop.

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
    /// Starts `each` callers at each address.
    pub fn start(addresses: &[SocketAddr], authority: &str, each: usize) -> Callers {
        let stop = CancellationToken::new();
        let places = addresses.iter().flat_map(|address| std::iter::repeat_n(*address, each));
        let start = |address| tokio::spawn(call(address, authority.to_owned(), stop.clone()));
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

async fn call(address: SocketAddr, authority: String, stop: CancellationToken) -> Tally {
    let client = Client::new(Protocol::Http1);
    let mut tally = Tally::default();
    while !stop.is_cancelled() {
        match read(&client, address, &authority, None).await {
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
    let answer = client.send(request.body(Body::empty()).unwrap()).await;
    let (head, body) = answer.map_err(|error| error.to_string())?.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
    match (head.status, &body[..]) {
        (StatusCode::OK, b"GET /lots/7\n") => Ok(body),
        (status, _) => Err(format!("{status}: {}", String::from_utf8_lossy(&body))),
    }
}
