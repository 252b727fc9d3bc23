//! Jobs as the table keeps them, JSON text. The row stays small, as scans read all of them: the
//! request is an object, and the answer is kept with the claim of the key.

use oleanderspan::request::{
    Job,
    job::{self, Runner},
};
use serde::{Deserialize, Serialize};

use crate::codec;

/// The row of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// How far it has come.
    pub job: Job,
    /// The name of the service.
    pub service: String,
    /// The object that has the request.
    pub object: String,
    /// The row of the claim of its key.
    pub claim_key: String,
    /// The version of that row while the job is not done.
    pub claim_version: u64,
    /// The operation that holds the claim.
    pub claim_operation: String,
}

/// The row of a job as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Raw {
    /// The latest operation that claimed the job.
    pub operation: String,
    /// The digest of the request.
    pub digest: String,
    /// How far it has come.
    pub state: RawState,
    /// Attempts that did not run.
    pub attempts: u32,
    /// When it may be tried again, in milliseconds since the epoch.
    pub due_ms: u64,
    /// The name of the service.
    pub service: String,
    /// The object that has the request.
    pub object: String,
    /// The row of the claim of its key.
    pub claim_key: String,
    /// The version of that row.
    pub claim_version: u64,
    /// The operation that holds the claim.
    pub claim_operation: String,
}

/// How far a job has come, as it is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RawState {
    /// It waits.
    Queued,
    /// A host has claimed it.
    Running {
        /// The host.
        host: String,
        /// The start of its entry daemon.
        incarnation: u64,
    },
    /// It ran.
    Done,
    /// It has no outcome.
    InDoubt,
}

/// Writes the row of a job.
pub fn encode(row: &Row) -> String {
    let state = match &row.job.state {
        job::State::Queued => RawState::Queued,
        job::State::Running(Runner { host, incarnation }) => {
            RawState::Running { host: host.to_string(), incarnation: *incarnation }
        }
        job::State::Done => RawState::Done,
        job::State::InDoubt => RawState::InDoubt,
    };
    let raw = Raw {
        operation: row.job.operation.to_string(),
        digest: row.job.digest.to_string(),
        state,
        attempts: row.job.attempts,
        due_ms: row.job.due_ms,
        service: row.service.clone(),
        object: row.object.clone(),
        claim_key: row.claim_key.clone(),
        claim_version: row.claim_version,
        claim_operation: row.claim_operation.clone(),
    };
    String::from_utf8(codec::to_json(&raw).unwrap_or_default()).unwrap_or_default()
}

/// Reads the row of a job.
pub fn decode(value: &str) -> Result<Row, codec::Error> {
    let raw: Raw = codec::from_json(value.as_bytes())?;
    let state = match raw.state {
        RawState::Queued => job::State::Queued,
        RawState::Running { host, incarnation } => {
            job::State::Running(Runner { host: host.into(), incarnation })
        }
        RawState::Done => job::State::Done,
        RawState::InDoubt => job::State::InDoubt,
    };
    let job = Job {
        operation: raw.operation.into(),
        digest: raw.digest.into(),
        state,
        attempts: raw.attempts,
        due_ms: raw.due_ms,
    };
    Ok(Row {
        job,
        service: raw.service,
        object: raw.object,
        claim_key: raw.claim_key,
        claim_version: raw.claim_version,
        claim_operation: raw.claim_operation,
    })
}
