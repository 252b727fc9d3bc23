//! Fake backend servers with limited slots, load shedding, leaving and a ledger of their runs.

use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderspan_node::{
    codec,
    http::{Body, header as names, server::Handler, server::serve},
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The fleet file: all fake servers that one process runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Servers to start, each on its own address.
    pub servers: Vec<Instance>,
}

/// Definition of one fake server in the fleet file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name of the server in the platform's list.
    pub name: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests; the server sheds requests above it.
    pub slots: u32,
    /// Run time of a request in milliseconds, unless the header `lab-run-ms` sets another one.
    pub run_ms: u64,
}

/// Counts of the requests that a server executed, for checks by tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Requests that started to run.
    pub begun: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests refused because all slots were in use.
    pub shed: u64,
    /// Started runs by idempotency key, or by request id if there is no key.
    pub runs: BTreeMap<String, u32>,
}

/// A fake backend server; clones share their state.
#[derive(Clone, Debug)]
pub struct Server(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    slots: u32,
    run_time: Duration,
    in_flight: AtomicU32,
    peak_in_flight: AtomicU32,
    leaving: AtomicBool,
    always_healthy: AtomicBool,
    leaving_header_disabled: AtomicBool,
    run_time_factor: AtomicU64,
    ledger: Mutex<Ledger>,
}

/// Serves the fleet that `file` defines until the process ends. Fails if the file is invalid or an
/// address is in use.
pub async fn run(file: &Path) -> io::Result<()> {
    let fleet: Fleet = codec::from_json(&fs::read(file)?).map_err(io::Error::other)?;
    for instance in fleet.servers {
        let listener = TcpListener::bind(instance.address).await?;
        let server = Server::new(instance.slots, Duration::from_millis(instance.run_ms));
        tokio::spawn(serve(listener, server, CancellationToken::new()));
    }
    std::future::pending().await
}

/// Releases the slot on drop, so also when the request is cancelled.
struct SlotGuard<'a>(&'a Shared);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Server {
    /// A server with `slots` slots and a default run time of `run_time`.
    pub fn new(slots: u32, run_time: Duration) -> Server {
        Server(Arc::new(Shared {
            slots,
            run_time,
            in_flight: AtomicU32::new(0),
            peak_in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            always_healthy: AtomicBool::new(false),
            leaving_header_disabled: AtomicBool::new(false),
            run_time_factor: AtomicU64::new(1),
            ledger: Mutex::default(),
        }))
    }

    /// Announces that the server is leaving, by the response header and by the health status.
    pub fn leave(&self) {
        self.0.leaving.store(true, Ordering::SeqCst);
    }

    /// Announces that the server is leaving by the status of its health endpoint alone.
    pub fn leave_without_header(&self) {
        self.0.leaving_header_disabled.store(true, Ordering::SeqCst);
        self.leave();
    }

    /// Makes the health endpoint report a healthy server, even if it is leaving.
    pub fn force_healthy(&self) {
        self.0.always_healthy.store(true, Ordering::SeqCst);
    }

    /// Multiplies the run time of every request by `factor`.
    pub fn slow_down(&self, factor: u64) {
        self.0.run_time_factor.store(factor, Ordering::SeqCst);
    }

    /// A copy of the ledger.
    pub fn ledger(&self) -> Ledger {
        self.0.ledger.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The highest number of concurrent requests since the start.
    pub fn peak_in_flight(&self) -> u32 {
        self.0.peak_in_flight.load(Ordering::SeqCst)
    }

    fn update_ledger(&self, change: impl FnOnce(&mut Ledger)) {
        change(&mut self.0.ledger.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn acquire_slot(&self) -> Option<SlotGuard<'_>> {
        let shared = &*self.0;
        let take = |n| (n < shared.slots).then_some(n + 1);
        let before =
            shared.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).ok()?;
        shared.peak_in_flight.fetch_max(before + 1, Ordering::SeqCst);
        Some(SlotGuard(shared))
    }

    async fn execute(&self, head: &http::request::Parts, body: Bytes) -> Response<Body> {
        let Some(slot) = self.acquire_slot() else {
            self.update_ledger(|ledger| ledger.shed += 1);
            return self.with_leaving_header(shed_response());
        };
        let key = names::text(&head.headers, &names::IDEMPOTENCY_KEY)
            .or_else(|| names::text(&head.headers, &names::REQUEST_ID))
            .unwrap_or("-");
        self.update_ledger(|ledger| {
            ledger.begun += 1;
            *ledger.runs.entry(key.to_owned()).or_default() += 1;
        });
        let factor = u32::try_from(self.0.run_time_factor.load(Ordering::SeqCst)).unwrap_or(1);
        let run_time = requested_run_time(&head.headers).unwrap_or(self.0.run_time) * factor;
        // Even a sleep of zero would wait for the timer's next millisecond.
        if !run_time.is_zero() {
            tokio::time::sleep(run_time).await;
        }
        self.update_ledger(|ledger| ledger.finished += 1);
        drop(slot);
        let content = match body.is_empty() {
            true => Bytes::from(format!("{} {}\n", head.method, head.uri.path())),
            false => body,
        };
        self.with_leaving_header(Response::new(Body::from(content)))
    }

    fn with_leaving_header(&self, mut response: Response<Body>) -> Response<Body> {
        let is_header_enabled = !self.0.leaving_header_disabled.load(Ordering::SeqCst);
        if is_header_enabled && self.0.leaving.load(Ordering::SeqCst) {
            response.headers_mut().insert(names::LEAVING, HeaderValue::from_static("true"));
        }
        response
    }

    fn load_response(&self) -> Response<Body> {
        let in_flight = self.0.in_flight.load(Ordering::SeqCst);
        let body = format!("{{\"in_flight\":{in_flight},\"slots\":{}}}\n", self.0.slots);
        Response::new(Body::from(Bytes::from(body)))
    }

    fn health_response(&self) -> Response<Body> {
        let mut response = Response::new(Body::empty());
        if self.0.always_healthy.load(Ordering::SeqCst) {
            return response;
        }
        if self.0.leaving.load(Ordering::SeqCst) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        self.with_leaving_header(response)
    }

    fn ledger_response(&self) -> Response<Body> {
        Response::new(Body::from(Bytes::from(codec::to_json(&self.ledger()).unwrap_or_default())))
    }
}

impl Handler for Server {
    type Guard = ();

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let (head, body) = request.into_parts();
        match head.uri.path() {
            "/health" => return self.health_response(),
            "/load" => return self.load_response(),
            "/lab/ledger" => return self.ledger_response(),
            "/lab/leave" => {
                self.leave();
                return self.health_response();
            }
            "/lab/leave-quietly" => {
                self.leave_without_header();
                return self.health_response();
            }
            "/lab/lie" => {
                self.force_healthy();
                return self.health_response();
            }
            _ => {}
        }
        match body.collect().await {
            Ok(body) => self.execute(&head, body.to_bytes()).await,
            Err(_) => {
                let mut response = Response::new(Body::empty());
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        }
    }
}

fn requested_run_time(headers: &HeaderMap) -> Option<Duration> {
    let millis = headers.get("lab-run-ms")?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn shed_response() -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(names::OUTCOME, HeaderValue::from_static("not-run"));
    response
}
