//! Claims of requests that run at most once: the adapter between the rules in
//! [`oleanderspan::request::claim`], the platform's table and the path of a request.
//!
//! A claimed request runs in a task of its own, so that neither its outcome nor its claim is lost
//! when the caller goes away.

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

/// Writes and reads that may wait for the next batch; more are refused.
const QUEUE_CAPACITY: usize = 4_096;

/// Transactions of a host: 8 hosts make at most 320 a second.
pub const WRITES: Limits = Limits { spacing: Duration::from_millis(25), rows: 256 };

/// Reads of a host: 8 hosts make at most 800 a second.
const READS: Limits = Limits { spacing: Duration::from_millis(10), rows: 256 };

/// Outcomes that may wait to be recorded; beyond them the bodies of answers are not stored.
const MAX_PENDING_SETTLEMENTS: usize = 2_048;

/// The longest wait for outcomes to be recorded at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The way to the table that all claims of a host share; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct Claims {
    writes: mpsc::Sender<write::Pending>,
    reads: mpsc::Sender<read::Pending>,
    tasks: TaskTracker,
    settlements: TaskTracker,
    environment: Arc<str>,
    host: Arc<str>,
}

/// A request that is to be claimed.
#[derive(Debug)]
pub struct Request {
    /// The key that the caller gave it.
    pub key: Key,
    /// A digest of method, path and body.
    pub digest: String,
    /// The request, its body in memory.
    pub outbound: OutboundRequest,
}

impl Claims {
    /// Starts the tasks that batch writes and reads.
    pub fn start(store: &Store, environment: &document::Environment, host: &str) -> Claims {
        Claims::with_limits(store, environment.as_str(), host, WRITES)
    }

    /// Starts with other limits of writes, for measures.
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

    /// The name of the row of a claim.
    pub fn row_key(&self, service: &str, key: &Key) -> String {
        format!("claim/{}/{service}/{}", self.environment, key.as_str())
    }

    /// An operation that no other arrival has.
    pub fn new_operation(&self) -> String {
        format!("{}-{:032x}", self.host, rand::random::<u128>())
    }

    /// The environment of the claims.
    pub fn environment(&self) -> &str {
        &self.environment
    }

    /// Runs a task that goes on when the caller has gone, and that a planned stop waits for.
    pub fn spawn<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        self.tasks.spawn(task)
    }

    /// Settles a claim in the background.
    pub fn settle<T: table::Table + Send + Sync + 'static>(
        &self,
        table: T,
        settlement: Settlement,
    ) {
        self.settlements.spawn(async move { table::settle(&table, settlement).await });
    }

    /// Whether bodies of answers are stored; a table that is away long must not fill the memory.
    pub fn can_store_bodies(&self) -> bool {
        self.settlements.len() < MAX_PENDING_SETTLEMENTS
    }

    /// Waits for all that runs at a planned stop, each within its own time limit, and then for the
    /// records, but not for a table that is away.
    pub async fn drain(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        self.settlements.close();
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, self.settlements.wait()).await;
    }
}

/// Answers a request that carries a key and whose repetition is forbidden.
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

/// Runs a request whose claim is held; also returns what to record of it. Nothing is recorded
/// while it is unknown whether it ran, so that the key stays held for ever.
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
