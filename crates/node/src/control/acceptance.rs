//! Acceptance of documents through the platform's service, and the watch for accepted ones.

use oleanderspan::{
    document::{Version, raw},
    event::Kind,
    prelude::*,
};
use serde::{Deserialize, Serialize};
use slog::debug;

use crate::{
    codec,
    control::{State, state::Accepted, state::Error},
    store::{self, Expect, Transaction, Write},
};

/// The mean time between two looks at the environment's row.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The row of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The content hash of the document in force.
    pub document: String,
    /// The operation that put it into force.
    pub operation: String,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force, or was already by the same operation.
    Accepted(Version),
    /// Another version is in force than the one that the operator saw.
    Raced(Version),
    /// The platform's service is away; nothing was changed.
    Away(String),
    /// The platform's service did not answer, and reading back did not tell either.
    Unknown(String),
}

/// Follows the environment's row for ever.
pub async fn watch(state: State) {
    loop {
        if state.roster.reads_store()
            && let Err(error) = look(&state).await
        {
            debug!(state.log, "environment not read"; "error" => %error);
        }
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
    }
}

async fn look(state: &State) -> Result<(), Error> {
    let environment = state.settings.environment.as_str();
    let Some((version, standing)) = read(state, environment).await? else { return Ok(()) };
    let known = state.lock().accepted.as_ref().map(|accepted| accepted.version);
    if known.is_some_and(|known| known >= version) {
        return Ok(());
    }
    if let Some(raw) = fetch(state, &standing.document).await? {
        state.put_in_force(Accepted::new(version, standing.document, raw)?);
    }
    Ok(())
}

/// Reads the row of an environment.
pub async fn read(state: &State, environment: &str) -> Result<Option<(Version, Standing)>, Error> {
    let rows = state.store.read(vec![row_key(environment)]).await?;
    let Some(row) = rows.first() else { return Ok(None) };
    Ok(Some((Version(row.version), codec::from_json(row.value.as_bytes())?)))
}

/// Fetches a document by its content hash.
pub async fn fetch(state: &State, hash: &str) -> Result<Option<raw::Document>, Error> {
    let Some(bytes) = state.store.get(&object_name(hash)).await? else { return Ok(None) };
    Ok(Some(codec::from_wire(&bytes)?))
}

/// Stores the document, then moves the environment's row from `base` to the next version.
pub async fn propose(
    state: &State,
    environment: &str,
    base: Version,
    operation: &str,
    document: &raw::Document,
) -> Result<Verdict, Error> {
    let bytes = codec::to_wire(document)?;
    let hash = codec::hash(&bytes);
    if let Err(error) = state.store.put(&object_name(&hash), bytes).await {
        return Ok(Verdict::Away(error.to_string()));
    }
    advance(state, environment, base, Standing { document: hash, operation: operation.to_owned() })
        .await
}

/// Moves the environment's row from `base` to the next version.
pub async fn advance(
    state: &State,
    environment: &str,
    base: Version,
    standing: Standing,
) -> Result<Verdict, Error> {
    let expect = if base == Version::NONE { Expect::Absent } else { Expect::Version(base.0) };
    let value = String::from_utf8_lossy(&codec::to_json(&standing)?).into_owned();
    let write = Write { key: row_key(environment), expect, value };
    let verdict = match state.store.transact(&Transaction { writes: vec![write] }).await {
        Ok(()) => Verdict::Accepted(base.next()),
        Err(store::Error::Away(reason)) => Verdict::Away(reason),
        Err(store::Error::Conflict(_)) => settle(state, environment, &standing).await,
        Err(store::Error::Unanswered(_)) => settle(state, environment, &standing).await,
        Err(error) => return Err(error.into()),
    };
    match &verdict {
        Verdict::Accepted(version) => {
            state.record(Kind::Accepted, version.to_string(), environment);
        }
        other => state.record(Kind::Refused, environment, format!("{other:?}")),
    }
    Ok(verdict)
}

/// Finds out by reading what became of a write whose answer did not tell.
async fn settle(state: &State, environment: &str, wanted: &Standing) -> Verdict {
    match read(state, environment).await {
        Ok(Some((version, found))) if found.operation == wanted.operation => {
            Verdict::Accepted(version)
        }
        Ok(Some((version, _))) => Verdict::Raced(version),
        Ok(None) => Verdict::Unknown("the write may yet take effect".to_owned()),
        Err(error) => Verdict::Unknown(error.to_string()),
    }
}

fn row_key(environment: &str) -> String {
    format!("environment/{environment}")
}

fn object_name(hash: &str) -> String {
    format!("document-{hash}")
}
