//! Requests that may wait, on the path of a request and in the background; the rules are in
//! [`oleanderspan::request::job`].

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

/// Where anybody can ask for the state of a request that may wait; its id follows.
pub const STATUS_PATH: &str = "/.well-known/oleanderspan/requests/";

/// Says how a caller would like to be answered.
const PREFER: HeaderName = HeaderName::from_static("prefer");

/// Says which of these preferences was granted.
const PREFERENCE_APPLIED: HeaderName = HeaderName::from_static("preference-applied");

/// The preference for an answer that tells where to ask.
const RESPOND_ASYNC: &str = "respond-async";

/// Hexadecimal digits of an id.
const ID_DIGITS: usize = 32;

/// What the jobs of a host share.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// The table and the objects.
    pub store: Store,
    /// This start of the daemon.
    pub runner: job::Runner,
}

impl Jobs {
    /// The jobs of a daemon that starts now.
    pub fn start(store: Store, host: &str) -> Jobs {
        let incarnation = rand::random();
        Jobs { store, runner: job::Runner { host: host.into(), incarnation } }
    }
}

/// The id of the job of a key, which is the same on every host.
pub fn id(claims: &Claims, service: &str, key: &Key) -> String {
    let mut id = codec::hash(claims.row_key(service, key).as_bytes());
    id.truncate(ID_DIGITS);
    id
}

/// The name of the row of a job.
pub fn row_key(claims: &Claims, id: &str) -> String {
    format!("{}{id}", prefix(claims))
}

/// What the names of the rows of all jobs start with.
pub fn prefix(claims: &Claims) -> String {
    format!("job/{}/", claims.environment())
}

/// Whether the caller would rather be told where to ask for the answer than wait for it.
pub fn prefers_async(headers: &HeaderMap) -> bool {
    let preferences = headers.get_all(PREFER).iter().filter_map(|value| value.to_str().ok());
    let mut tokens = preferences.flat_map(|value| value.split([',', ';']));
    tokens.any(|word| word.trim().eq_ignore_ascii_case(RESPOND_ASYNC))
}

/// A request that may wait, as it arrived.
#[derive(Debug)]
pub struct Arrival {
    /// The key that the caller gave it.
    pub key: Key,
    /// A digest of method, path and body.
    pub digest: String,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Who sent it.
    pub caller: IpAddr,
}

/// Stores a request and tells where to ask for its answer.
///
/// A stored request may be run at once by any host, so that without an answer of the table
/// nothing is proved: the refusal then says that the outcome is unknown.
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

/// Whether the same request was stored before.
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
