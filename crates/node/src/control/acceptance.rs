//! Acceptance of documents through the platform's service, and the watch for accepted ones.
//!
//! Parts go to the object store first, then one conditional write moves the environment's
//! record. A write whose answer was lost is settled by reading back.

use std::fmt;

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use oleanderspan::{
    document::{
        Hash, Proposal, Record, Version, VersionedHash, raw,
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

/// The mean time between two looks at the environment's record.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How often a part is stored before the proposal is given up.
const MAX_STORE_TRIES: u32 = 3;

/// How often the record is read back after a write without an answer.
const MAX_SETTLE_TRIES: u32 = 3;

/// The wait between two such reads.
const SETTLE_PAUSE: Duration = Duration::from_millis(300);

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record tells.
    Settled(record::ProposalOutcome),
    /// The platform's service is away; nothing was changed.
    Away(String),
    /// The platform's service did not answer, and reading back did not tell either.
    Unknown(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Settled(record::ProposalOutcome::Accepted(version)) => {
                write!(f, "accepted as version {version}")
            }
            Outcome::Settled(record::ProposalOutcome::VersionConflict(version)) => {
                write!(f, "version {version} is in force")
            }
            Outcome::Settled(record::ProposalOutcome::IdReused(version)) => {
                write!(f, "the operation id belongs to another document, version {version}")
            }
            Outcome::Away(reason) | Outcome::Unknown(reason) => f.write_str(reason),
        }
    }
}

/// Follows the environment's record for ever.
pub async fn watch(state: State) {
    let mut is_answering = true;
    loop {
        if state.registry.reads_store() || !state.is_ready() {
            let looked = look(&state).await;
            note_store(&state, &mut is_answering, &looked);
        }
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Records when the platform's store stops and starts to answer this host.
fn note_store(state: &State, is_answering: &mut bool, looked: &Result<(), Error>) {
    if let Err(error) = looked {
        debug!(state.log, "environment not read"; "error" => %error);
    }
    let answers = !matches!(looked, Err(Error::Store(_)));
    if std::mem::replace(is_answering, answers) != answers {
        let detail = if answers { "answers again" } else { "does not answer" };
        state.record(Kind::StoreChanged, "", detail);
    }
}

async fn look(state: &State) -> Result<(), Error> {
    let found = read(state, state.settings.environment.as_str()).await?;
    if let Some((version, record)) = found {
        let shown = VersionedHash { version, document: record.document };
        state.learn(shown, &state.store).await?;
    }
    state.note_store_told();
    Ok(())
}

/// Reads the record of an environment.
pub async fn read(state: &State, environment: &str) -> Result<Option<(Version, Record)>, Error> {
    let rows = state.store.read(vec![row_key(environment)]).await?;
    let Some(row) = rows.first() else { return Ok(None) };
    Ok(Some((Version(row.version), codec::from_json(row.value.as_bytes())?)))
}

/// Gathers a document; parts of the one in force are not fetched again.
pub async fn fetch(state: &State, document: Hash) -> Result<Parts, Error> {
    let known = state.accepted().map(|accepted| accepted.parts);
    Ok(Parts::gather(document, known.as_deref(), &state.store).await?.parts)
}

/// Stores the parts of a document, then moves the environment's record to it.
pub async fn propose(
    state: &State,
    environment: &str,
    base: Version,
    operation: &str,
    document: &raw::Document,
) -> Result<Outcome, Error> {
    let parts = Parts::split(document)?;
    let stored = state.accepted().map(|accepted| accepted.parts);
    let lacking: Vec<(Hash, Bytes)> =
        parts.lacking(stored.as_deref()).map(|(hash, bytes)| (*hash, bytes.clone())).collect();
    let puts = stream::iter(lacking).map(async |(hash, bytes)| store(state, hash, bytes).await);
    if let Err(error) = puts.buffer_unordered(MAX_OBJECTS_AT_ONCE).try_collect::<Vec<()>>().await {
        return Ok(Outcome::Away(error.to_string()));
    }
    let proposal = Proposal { base, operation, document: parts.root() };
    advance(state, environment, &proposal, parts).await
}

/// Stores one part; parts never change, so that a repetition is harmless.
async fn store(state: &State, hash: Hash, bytes: Bytes) -> Result<(), store::Error> {
    let name = source::object_name(&hash);
    let mut tries = 0;
    loop {
        let stored = state.store.put(&name, bytes.to_vec()).await;
        tries += 1;
        if stored.is_ok() || tries == MAX_STORE_TRIES {
            return stored;
        }
    }
}

/// Moves the environment's record to a document whose parts are stored; once accepted it is in
/// force here and spreads from here, also if the store goes away now.
pub async fn advance(
    state: &State,
    environment: &str,
    proposal: &Proposal<'_>,
    parts: Parts,
) -> Result<Outcome, Error> {
    let outcome = write(state, environment, proposal).await?;
    let detail = format!("{environment}, operation {}", proposal.operation);
    match &outcome {
        Outcome::Settled(record::ProposalOutcome::Accepted(version)) => {
            state.record(Kind::Accepted, version.to_string(), detail);
            if state.settings.environment.as_str() == environment {
                state.take_over(
                    VersionedHash { version: *version, document: parts.root() },
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
        Err(Error::Store(error)) => return Ok(Outcome::Away(error.to_string())),
        Err(error) => return Err(error),
    };
    let record = match proposal.decide(found.as_ref().map(|(version, record)| (*version, record))) {
        Decision::Write(record) => record,
        Decision::Settled(verdict) => return Ok(Outcome::Settled(verdict)),
    };
    let base = proposal.base;
    let expect = if base == Version::NONE { Expect::Absent } else { Expect::Version(base.0) };
    let value = String::from_utf8_lossy(&codec::to_json(&record)?).into_owned();
    let write = Write { key: row_key(environment), expect, value };
    match state.store.transact(&Transaction { writes: vec![write] }).await {
        Ok(()) => Ok(Outcome::Settled(record::ProposalOutcome::Accepted(base.next()))),
        Err(store::Error::Unavailable(reason)) => Ok(Outcome::Away(reason)),
        Err(store::Error::Conflict(_) | store::Error::Unanswered(_)) => {
            Ok(settle(state, environment, proposal).await)
        }
        Err(error) => Err(error.into()),
    }
}

/// Finds out by reading what became of a write whose answer did not tell.
async fn settle(state: &State, environment: &str, proposal: &Proposal<'_>) -> Outcome {
    let mut reason = "the write may yet take effect".to_owned();
    for _ in 0..MAX_SETTLE_TRIES {
        match read(state, environment).await {
            Ok(found) => {
                let current = found.as_ref().map(|(version, record)| (*version, record));
                if let Some(verdict) = proposal.outcome(current) {
                    return Outcome::Settled(verdict);
                }
            }
            Err(error) => reason = error.to_string(),
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    Outcome::Unknown(reason)
}

fn row_key(environment: &str) -> String {
    format!("environment/{environment}")
}
