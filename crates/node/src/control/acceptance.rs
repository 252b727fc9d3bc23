//! Proposal of documents through the platform's service, and polling for accepted ones.
//!
//! The parts are written to the object store first; one conditional write then updates the
//! environment's record. If the answer to that write is lost, the record is read back.

use std::fmt;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use oleanderspan::{
    document::{
        Hash, Proposal, Record, Revision, Version, raw,
        record::{self, Decision},
    },
    event::Kind,
    prelude::*,
};
use slog::debug;

use crate::{
    codec,
    control::{
        State,
        parts::Parts,
        source::{self, MAX_OBJECTS_AT_ONCE},
        state::Error,
    },
    store::{self, Expect, Transaction, Write},
};

/// Mean interval between two reads of the environment's record.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of attempts to store a part before the proposal fails.
const MAX_STORE_ATTEMPTS: u32 = 3;

/// Maximum number of reads of the record after a write whose answer was lost.
const MAX_READ_BACK_ATTEMPTS: u32 = 3;

/// Pause after each of these reads.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The result is known from the environment's record.
    Settled(record::Outcome),
    /// The platform's service is unavailable; nothing was changed.
    Unavailable(String),
    /// The platform's service did not answer the write, and the record does not show its result.
    Unknown(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Settled(record::Outcome::Accepted(version)) => {
                write!(f, "accepted as version {version}")
            }
            Outcome::Settled(record::Outcome::VersionConflict(version)) => {
                write!(f, "version {version} is in force")
            }
            Outcome::Settled(record::Outcome::IdReused(version)) => {
                write!(f, "the operation id belongs to another document, version {version}")
            }
            Outcome::Unavailable(reason) | Outcome::Unknown(reason) => f.write_str(reason),
        }
    }
}

/// Polls the environment's record, without end, on hosts that read the store for their zone and on
/// hosts that are not ready yet.
pub async fn watch(state: State) {
    let mut is_available = true;
    loop {
        if state.registry.reads_store() || !state.is_ready() {
            let result = poll(&state).await;
            record_store_change(&state, &mut is_available, &result);
        }
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Records an event when the platform's store stops answering this host or answers again.
fn record_store_change(state: &State, is_available: &mut bool, result: &Result<(), Error>) {
    if let Err(error) = result {
        debug!(state.log, "reading the environment's record failed; retrying at the next poll";
            "error" => %error);
    }
    let answers = !matches!(result, Err(Error::Store(_)));
    if std::mem::replace(is_available, answers) != answers {
        let detail = if answers { "answers again" } else { "does not answer" };
        state.record(Kind::StoreChanged, "", detail);
    }
}

async fn poll(state: &State) -> Result<(), Error> {
    let found = read(state, state.settings.environment.as_str()).await?;
    if let Some((version, record)) = found {
        let candidate = Revision { version, document: record.document };
        state.fetch_if_newer(candidate, &state.store).await?;
    }
    state.record_store_read();
    Ok(())
}

/// Reads the record of an environment and its version; `None` before the first document.
pub async fn read(state: &State, environment: &str) -> Result<Option<(Version, Record)>, Error> {
    let rows = state.store.read(vec![row_key(environment)]).await?;
    let Some(row) = rows.first() else { return Ok(None) };
    Ok(Some((Version(row.version), codec::from_json(row.value.as_bytes())?)))
}

/// Fetches a document from the store; parts that the document in force shares are not fetched.
pub async fn fetch(state: &State, document: Hash) -> Result<Parts, Error> {
    let known = state.accepted().map(|accepted| accepted.parts);
    Ok(Parts::load(document, known.as_deref(), &state.store).await?.parts)
}

/// Stores the parts of a document, then updates the environment's record.
pub async fn propose(
    state: &State,
    environment: &str,
    base: Version,
    operation: &str,
    document: &raw::Document,
) -> Result<Outcome, Error> {
    let parts = Parts::split(document)?;
    let stored = state.accepted().map(|accepted| accepted.parts);
    let missing: Vec<(Hash, Bytes)> =
        parts.missing_from(stored.as_deref()).map(|(hash, bytes)| (*hash, bytes.clone())).collect();
    let puts = stream::iter(missing).map(async |(hash, bytes)| store(state, hash, bytes).await);
    if let Err(error) = puts.buffer_unordered(MAX_OBJECTS_AT_ONCE).try_collect::<Vec<()>>().await {
        return Ok(Outcome::Unavailable(error.to_string()));
    }
    let proposal = Proposal { base, operation, document: parts.root() };
    update_record(state, environment, &proposal, parts).await
}

/// Stores one part. Parts are named by their content hash and never change, so retries are safe.
async fn store(state: &State, hash: Hash, bytes: Bytes) -> Result<(), store::Error> {
    let name = source::object_name(&hash);
    let mut attempts = 0;
    loop {
        let stored = state.store.put(&name, bytes.to_vec()).await;
        attempts += 1;
        if stored.is_ok() || attempts == MAX_STORE_ATTEMPTS {
            return stored;
        }
    }
}

/// Updates the environment's record to a document whose parts are stored. An accepted document
/// comes into force on this host at once and spreads to its peers, even if the store becomes
/// unavailable.
pub async fn update_record(
    state: &State,
    environment: &str,
    proposal: &Proposal<'_>,
    parts: Parts,
) -> Result<Outcome, Error> {
    let outcome = write(state, environment, proposal).await?;
    let detail = format!("{environment}, operation {}", proposal.operation);
    match &outcome {
        Outcome::Settled(record::Outcome::Accepted(version)) => {
            state.record(Kind::Accepted, version.to_string(), detail);
            if state.settings.environment.as_str() == environment {
                state.activate_if_newer(
                    Revision { version: *version, document: parts.root() },
                    parts,
                )?;
            }
        }
        other => state.record(Kind::Refused, detail, other.to_string()),
    }
    Ok(outcome)
}

async fn write(
    state: &State,
    environment: &str,
    proposal: &Proposal<'_>,
) -> Result<Outcome, Error> {
    let found = match read(state, environment).await {
        Ok(found) => found,
        Err(Error::Store(error)) => return Ok(Outcome::Unavailable(error.to_string())),
        Err(error) => return Err(error),
    };
    let record = match proposal.decide(found.as_ref().map(|(version, record)| (*version, record))) {
        Decision::Write(record) => record,
        Decision::Settled(outcome) => return Ok(Outcome::Settled(outcome)),
    };
    let base = proposal.base;
    let expect = if base == Version::NONE { Expect::Absent } else { Expect::Version(base.0) };
    let value = String::from_utf8_lossy(&codec::to_json(&record)?).into_owned();
    let write = Write { key: row_key(environment), expect, value };
    match state.store.transact(&Transaction { writes: vec![write] }).await {
        Ok(()) => Ok(Outcome::Settled(record::Outcome::Accepted(base.next()))),
        Err(store::Error::Unavailable(reason)) => Ok(Outcome::Unavailable(reason)),
        Err(store::Error::Conflict(_) | store::Error::Unanswered(_)) => {
            Ok(read_back(state, environment, proposal).await)
        }
        Err(error) => Err(error.into()),
    }
}

/// Reads the record to determine the result of a write that conflicted or was not answered.
async fn read_back(state: &State, environment: &str, proposal: &Proposal<'_>) -> Outcome {
    let mut reason = "the write may yet take effect".to_owned();
    for _ in 0..MAX_READ_BACK_ATTEMPTS {
        match read(state, environment).await {
            Ok(found) => {
                let current = found.as_ref().map(|(version, record)| (*version, record));
                if let Some(outcome) = proposal.outcome(current) {
                    return Outcome::Settled(outcome);
                }
            }
            Err(error) => reason = error.to_string(),
        }
        tokio::time::sleep(READ_BACK_INTERVAL).await;
    }
    Outcome::Unknown(reason)
}

fn row_key(environment: &str) -> String {
    format!("environment/{environment}")
}
