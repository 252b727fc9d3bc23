//! The JSON encoding of jobs in the table. Scans read all rows, so rows are kept small: the request
//! is stored as an object, and the answer with the claim of its key.

use oleanderspan::request::{
    Job,
    job::{self, Runner},
};
use serde::{Deserialize, Serialize};

use crate::codec;

/// The row of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The progress of the job.
    pub job: Job,
    /// The name of the service that the request is addressed to.
    pub service: String,
    /// The name of the object that holds the request.
    pub object: String,
    /// The key of the row that holds the claim.
    pub claim_key: String,
    /// The version of the claim's row while the job is not done.
    pub claim_version: u64,
    /// The id of the operation that holds the claim.
    pub claim_operation: String,
}

/// The encoded form of the row of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Raw {
    /// The id of the operation that last claimed the job.
    pub operation: String,
    /// The hash of method, path and body of the request.
    pub digest: String,
    /// The progress of the job.
    pub state: RawState,
    /// The number of attempts that provably did not run.
    pub attempts: u32,
    /// The earliest time of the next attempt, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// The name of the service that the request is addressed to.
    pub service: String,
    /// The name of the object that holds the request.
    pub object: String,
    /// The key of the row that holds the claim.
    pub claim_key: String,
    /// The version of the claim's row while the job is not done.
    pub claim_version: u64,
    /// The id of the operation that holds the claim.
    pub claim_operation: String,
}

/// The encoded form of the progress of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RawState {
    /// The job waits to be run.
    Queued,
    /// A host has claimed the job and may be running it.
    Running {
        /// The name of the host.
        host: String,
        /// The incarnation of the entry daemon on that host.
        incarnation: u64,
    },
    /// The job ran and was answered.
    Done,
    /// It is unknown whether the job ran.
    InDoubt,
}

/// Encodes the row of a job as JSON.
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

/// Decodes the row of a job. Fails if the JSON is invalid.
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
