//! Jobs: requests that are stored and may run later, as requested with `Prefer: respond-async`. The
//! rules are in [`oleanderspan::request::job`].

pub mod row;
pub mod runner;
pub mod status;
pub mod stored;
pub mod transaction;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Response, StatusCode, header, request};
use oleanderspan::{
    prelude::*,
    request::{
        Job, Key, Refusal,
        claim::{Attempt, Decision, table},
        job,
    },
};

use crate::{
    codec,
    entry::{
        State,
        claims::{Claims, stored_claim::StoredClaim},
        dispatch::{Answer, Call},
        jobs::{row::Row, stored::StoredRequest, transaction::Submission},
        state::Snapshot,
    },
    http::{Body, header as names},
    store::Store,
};

/// The path prefix of job status requests; the job id follows. Any caller may ask.
pub const STATUS_PATH: &str = "/.well-known/oleanderspan/requests/";

/// The header in which a caller states preferences for the answer.
const PREFER: HeaderName = HeaderName::from_static("prefer");

/// The header that states which preference was applied.
const PREFERENCE_APPLIED: HeaderName = HeaderName::from_static("preference-applied");

/// The preference for an immediate answer with the location of the job status.
const RESPOND_ASYNC: &str = "respond-async";

/// The length of a job id, in hexadecimal digits.
const ID_DIGITS: usize = 32;

/// Access to the jobs, shared by all tasks of a host.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// The store that holds the table and the objects.
    pub store: Store,
    /// The identity of this run of the daemon, which tells it from earlier ones.
    pub runner: job::Runner,
}

impl Jobs {
    /// Creates the state for a daemon that starts now, with a new incarnation.
    pub fn start(store: Store, host: &str) -> Jobs {
        let incarnation = rand::random();
        Jobs { store, runner: job::Runner { host: host.into(), incarnation } }
    }
}

/// Returns the id of the job with an idempotency key; it is the same on every host.
pub fn id(claims: &Claims, service: &str, key: &Key) -> String {
    let mut id = codec::content_hash_hex(claims.row_key(service, key).as_bytes());
    id.truncate(ID_DIGITS);
    id
}

/// Returns the key of the table row of a job.
pub fn row_key(claims: &Claims, id: &str) -> String {
    format!("{}{id}", prefix(claims))
}

/// Returns the key prefix of the rows of all jobs.
pub fn prefix(claims: &Claims) -> String {
    format!("job/{}/", claims.environment())
}

/// Whether the caller prefers the location of the job status to waiting for the answer.
pub fn prefers_async(headers: &HeaderMap) -> bool {
    let preferences = headers.get_all(PREFER).iter().filter_map(|value| value.to_str().ok());
    let mut tokens = preferences.flat_map(|value| value.split([',', ';']));
    tokens.any(|token| token.trim().eq_ignore_ascii_case(RESPOND_ASYNC))
}

/// A request to be stored as a job, as it arrived.
#[derive(Debug)]
pub struct Arrival {
    /// The idempotency key that the caller sent.
    pub key: Key,
    /// The hash of method, path and body of the request.
    pub digest: String,
    /// The method, path and headers, to be stored with the request.
    pub head: request::Parts,
    /// The body, read whole.
    pub body: Bytes,
    /// The address of the caller.
    pub caller: IpAddr,
}

/// Stores a request as a job and answers with the location of its status.
///
/// Any host may run a stored request at once. If the table does not answer, the refusal therefore
/// states that the outcome is unknown.
pub async fn submit(
    state: &State,
    snapshot: &Snapshot,
    call: Call<'_>,
    arrival: Arrival,
) -> Result<Answer, Refusal> {
    let claims = &state.claims;
    let service = snapshot.service_definition(call.service).name.as_str();
    let id = id(claims, service, &arrival.key);
    let stored = StoredRequest::new(&arrival, call.id);
    let object = stored.put(&state.jobs.store).await.map_err(|_| Refusal::StoreUnavailable)?;
    let operation = claims.new_operation();
    let row = Row {
        job: Job::new(&operation, &arrival.digest),
        service: service.to_owned(),
        object,
        claim_key: claims.row_key(service, &arrival.key),
        claim_version: 0,
        claim_operation: operation.clone(),
    };
    let claim = StoredClaim::new(claims.clone(), row.claim_key.clone());
    let submission = Submission { claims: claims.clone(), claim, key: row_key(claims, &id), row };
    let mut attempt = Attempt::new(&operation, &arrival.digest);
    match table::claim(&submission, &mut attempt).await {
        Decision::Run { version } => {
            let row = Row { claim_version: version, ..submission.row };
            runner::spawn(state, submission.key, 1, row);
            Ok(accepted(&id))
        }
        Decision::Abandon(_) => Err(Refusal::TimedOut),
        Decision::Refuse(Refusal::Claimed) | Decision::Answer(_)
            if is_stored(&submission, &arrival.digest).await =>
        {
            Ok(accepted(&id))
        }
        Decision::Answer(answer) => Ok(crate::entry::claims::body::stored_response(answer)),
        Decision::Refuse(refusal) => Err(refusal),
    }
}

/// Whether the same request is already stored as a job.
async fn is_stored(submission: &Submission, digest: &str) -> bool {
    let row = submission.claims.read(&submission.key).await.ok().flatten();
    let row = row.and_then(|row| row::decode(&row.value).ok());
    row.is_some_and(|row| &*row.job.digest == digest)
}

fn accepted(id: &str) -> Answer {
    let location = format!("{STATUS_PATH}{id}");
    let body = format!("{{\"id\":\"{id}\",\"location\":\"{location}\"}}\n");
    let mut response = Response::new(Body::from(Bytes::from(body)));
    *response.status_mut() = StatusCode::ACCEPTED;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, names::value("application/json"));
    headers.insert(header::LOCATION, names::value(&location));
    headers.insert(PREFERENCE_APPLIED, names::value(RESPOND_ASYNC));
    response
}
