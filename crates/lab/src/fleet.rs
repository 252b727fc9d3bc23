//! Stand-ins for backend servers: slots, shedding, leaving, and a record of what they ran.

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

/// The servers of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The servers.
    pub servers: Vec<Instance>,
}

/// One server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at once; it sheds more.
    pub slots: u32,
    /// How long a request runs, unless the header `lab-run-ms` says otherwise.
    pub run_ms: u64,
}

/// What a server has run, for checks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Requests begun.
    pub begun: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests begun, by idempotency key or else by request id.
    pub runs: BTreeMap<String, u32>,
}

/// A stand-in for a backend server; cloning it is cheap.
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

/// Serves a fleet until the process ends.
pub async fn run(file: &Path) -> io::Result<()> {
    let fleet: Fleet = codec::from_json(&fs::read(file)?).map_err(io::Error::other)?;
    for instance in fleet.servers {
        let listener = TcpListener::bind(instance.address).await?;
        let server = Server::new(instance.slots, Duration::from_millis(instance.run_ms));
        tokio::spawn(serve(listener, server, CancellationToken::new()));
    }
    std::future::pending().await
}

/// Gives a slot back also when the request is cancelled.
struct SlotGuard<'a>(&'a Shared);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Server {
    /// A server with `slots` slots on which a request runs for `run`.
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

    /// Makes the server say that it is leaving.
    pub fn leave(&self) {
        self.0.leaving.store(true, Ordering::SeqCst);
    }

    /// Makes the server say that it is leaving by the status of its health endpoint alone.
    pub fn leave_without_header(&self) {
        self.0.leaving_header_disabled.store(true, Ordering::SeqCst);
        self.leave();
    }

    /// Makes the health endpoint say that all is well, whatever is true.
    pub fn force_healthy(&self) {
        self.0.always_healthy.store(true, Ordering::SeqCst);
    }

    /// Makes every request run `factor` times longer.
    pub fn slow_down(&self, factor: u64) {
        self.0.run_time_factor.store(factor, Ordering::SeqCst);
    }

    /// What the server has run.
    pub fn ledger(&self) -> Ledger {
        self.0.ledger.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The most requests that ran at once.
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
        // Even a sleep of nothing would last until the timer's next millisecond.
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

    async fn answer(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
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
