//! Claims of requests that run at most once: connects the rules in [`oleanderspan::request::claim`]
//! to the platform's table and to request handling.
//!
//! A claimed request runs in its own task, so that a disconnecting caller loses neither the outcome
//! nor the claim.

pub mod batch;
pub mod body;
pub mod read;
pub mod row;
pub mod stored_claim;
pub mod write;

use http::request;
use hyper::body::Incoming;
use oleanderspan::{
    document,
    prelude::*,
    request::{
        Key, Outcome, Refusal,
        claim::{Attempt, Decision, MAX_STORED_BODY_BYTES, Settlement, State as Progress, table},
    },
};
use tokio::{sync::mpsc, task::JoinHandle};
use tokio_util::task::TaskTracker;

use crate::{
    entry::{
        State,
        claims::{batch::Limits, stored_claim::StoredClaim},
        dispatch::{Answer, Call},
        jobs,
        outbound::OutboundRequest,
        routing,
        state::Snapshot,
    },
    http::header as names,
    store::Store,
};

/// The capacity of each batch queue; further writes and reads are refused.
const QUEUE_CAPACITY: usize = 4_096;

/// Limits on the write transactions of a host; 8 hosts send at most 320 a second.
pub const WRITES: Limits = Limits { spacing: Duration::from_millis(25), rows: 256 };

/// Limits on the read calls of a host; 8 hosts send at most 800 a second.
const READS: Limits = Limits { spacing: Duration::from_millis(10), rows: 256 };

/// The maximum number of outcomes that wait to be recorded. At this number the bodies of answers
/// are no longer stored.
const MAX_PENDING_SETTLEMENTS: usize = 2_048;

/// The maximum time that a graceful shutdown waits for outcomes to be recorded.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Access to the table of claims, shared by all claims of a host. Cloning is cheap.
#[derive(Clone, Debug)]
pub struct Claims {
    writes: mpsc::Sender<write::Pending>,
    reads: mpsc::Sender<read::Pending>,
    tasks: TaskTracker,
    settlements: TaskTracker,
    environment: Arc<str>,
    host: Arc<str>,
}

/// A request to be claimed.
#[derive(Debug)]
pub struct Request {
    /// The idempotency key that the caller sent.
    pub key: Key,
    /// The hash of method, path and body; see [`body::digest`].
    pub digest: String,
    /// The request to forward, with its body in memory.
    pub outbound: OutboundRequest,
}

impl Claims {
    /// Starts the background tasks that batch writes and reads. `host` becomes part of operation
    /// ids.
    pub fn start(store: &Store, environment: &document::Environment, host: &str) -> Claims {
        Claims::with_limits(store, environment.as_str(), host, WRITES)
    }

    /// Like [`Claims::start`], but with other limits on write batches; used by benchmarks.
    pub fn with_limits(store: &Store, environment: &str, host: &str, limits: Limits) -> Claims {
        let (writes, queued_writes) = mpsc::channel(QUEUE_CAPACITY);
        let (reads, queued_reads) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(batch::run::<write::Batch>(store.clone(), queued_writes, limits));
        tokio::spawn(batch::run::<read::Batch>(store.clone(), queued_reads, READS));
        Claims {
            writes,
            reads,
            tasks: TaskTracker::new(),
            settlements: TaskTracker::new(),
            environment: environment.into(),
            host: host.into(),
        }
    }

    /// Returns the key of the table row that holds the claim of `key`.
    pub fn row_key(&self, service: &str, key: &Key) -> String {
        format!("claim/{}/{service}/{}", self.environment, key.as_str())
    }

    /// Returns an operation id that is unique to one arrival of a request.
    pub fn new_operation(&self) -> String {
        format!("{}-{:032x}", self.host, rand::random::<u128>())
    }

    /// The environment whose claims these are; part of every row key.
    pub fn environment(&self) -> &str {
        &self.environment
    }

    /// Spawns a task that outlives the caller's connection and that a graceful shutdown waits for.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        self.tasks.spawn(task)
    }

    /// Records the outcome of a claim in a background task.
    pub fn settle<T: table::Table + Send + Sync + 'static>(
        &self,
        table: T,
        settlement: Settlement,
    ) {
        self.settlements.spawn(async move { table::settle(&table, settlement).await });
    }

    /// Whether the bodies of answers are stored. They are not while too many outcomes wait to be
    /// recorded, so that a long failure of the table does not exhaust memory.
    pub fn can_store_bodies(&self) -> bool {
        self.settlements.len() < MAX_PENDING_SETTLEMENTS
    }

    /// Waits for all running tasks, which have their own timeouts, and then for their outcomes to
    /// be recorded. The second wait has a timeout, as the table may be unavailable.
    pub async fn drain(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        self.settlements.close();
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, self.settlements.wait()).await;
    }
}

/// Handles a request that carries an idempotency key and must not be repeated.
pub async fn request(
    state: &State,
    snapshot: Arc<Snapshot>,
    call: Call<'_>,
    head: request::Parts,
    body: Incoming,
    caller: IpAddr,
) -> Result<Answer, Refusal> {
    let key = names::text(&head.headers, &names::IDEMPOTENCY_KEY).ok_or(Refusal::Malformed)?;
    let key = Key::try_from(key).map_err(|_| Refusal::Malformed)?;
    let time_left = call.time_left(state.clock.now())?;
    let body = tokio::time::timeout(time_left, body::buffer(body)).await;
    let body = body.map_err(|_| Refusal::Expired)??;
    let digest = body::digest(&head, &body);
    if jobs::prefers_async(&head.headers) {
        let arrival = jobs::Arrival { key, digest, head, body, caller };
        return jobs::submit(state, &snapshot, call, arrival).await;
    }
    let request = Request { key, digest, outbound: OutboundRequest::buffered(head, body) };
    let id = call.id.to_owned();
    let Call { service, origin, region, repeat, deadline, .. } = call;
    let runner = state.clone();
    let task = state.claims.spawn(async move {
        let call = Call { id: &id, service, origin, region, repeat, deadline };
        claim_and_run(&runner, snapshot, call, request).await
    });
    task.await.unwrap_or(Err(Refusal::Broken))
}

async fn claim_and_run(
    state: &State,
    snapshot: Arc<Snapshot>,
    call: Call<'_>,
    request: Request,
) -> Result<Answer, Refusal> {
    let claims = &state.claims;
    let service = snapshot.service_definition(call.service).name.as_str();
    let stored_claim = StoredClaim::new(claims.clone(), claims.row_key(service, &request.key));
    let operation = claims.new_operation();
    let mut attempt = Attempt::new(&operation, &request.digest);
    let version = match table::claim(&stored_claim, &mut attempt).await {
        Decision::Run { version } => version,
        Decision::Answer(answer) => return Ok(body::stored_response(answer)),
        Decision::Refuse(refusal) => return Err(refusal),
        Decision::Abandon(settlement) => {
            claims.settle(stored_claim, settlement);
            return Err(Refusal::StoreUnavailable);
        }
    };
    let (answered, progress) = run(state, snapshot, call, request.outbound).await;
    if let Some(progress) = progress {
        let digest = &request.digest;
        claims.settle(stored_claim, Settlement::record(&operation, digest, version, progress));
    }
    answered
}

/// Runs a request whose claim is held, and returns its answer and the claim state to record.
///
/// The state is `None` if it is unknown whether the request ran; the key then stays claimed for
/// ever.
pub async fn run(
    state: &State,
    snapshot: Arc<Snapshot>,
    call: Call<'_>,
    mut outbound: OutboundRequest,
) -> (Result<Answer, Refusal>, Option<Progress>) {
    let answer = match routing::route(state, snapshot, call, &mut outbound).await {
        Ok(answer) => answer,
        Err(refusal) if refusal.outcome() == Outcome::NotRun => {
            return (Err(refusal), Some(Progress::Released));
        }
        Err(refusal) => return (Err(refusal), None),
    };
    let limit = if state.claims.can_store_bodies() { MAX_STORED_BODY_BYTES } else { 0 };
    let (answered, stored) = body::collect(answer, limit).await;
    (answered, Some(Progress::Done(stored)))
}
