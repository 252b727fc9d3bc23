//! The record of an environment: the last accepted document and the operations that led to it.
//!
//! A record is replaced by a compare-and-set on its version. The outcome of an operation that is
//! still in the record is known, so that a retried command returns it instead of writing again.

use serde::{Deserialize, Serialize};

use crate::document::{Hash, Version};

/// Maximum number of operations kept in a record; older ones are dropped.
pub const MAX_OPERATIONS: usize = 32;

/// The stored state of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The content hash of the document in force.
    pub document: Hash,
    /// Up to [`MAX_OPERATIONS`] accepted operations, newest first.
    pub operations: Vec<Operation>,
}

/// An accepted operation, kept so that retries can be recognized.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The operation id, chosen by the operator.
    pub id: String,
    /// The version under which its document was accepted.
    pub version: u64,
    /// The content hash of its document.
    pub document: Hash,
}

/// An operator's request to put a document into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proposal<'a> {
    /// The version that the operator based the document on.
    pub base: Version,
    /// The operation id; a retry has the same one.
    pub operation: &'a str,
    /// The content hash of the proposed document.
    pub document: Hash,
}

/// The outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal was accepted as this version.
    Accepted(Version),
    /// Refused: this version is in force, not the one that the proposal is based on.
    VersionConflict(Version),
    /// Refused: the operation id was already used for a different document, accepted as this
    /// version.
    IdReused(Version),
}

/// The next step for a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Replace the record by this one, on condition that it has not changed since it was read.
    Write(Record),
    /// Write nothing: the outcome is already known.
    Settled(Outcome),
}

/// A record and its stored version; `None` if the environment has no record yet.
pub type StoredRecord<'a> = Option<(Version, &'a Record)>;

impl Proposal<'_> {
    /// Decides the next step from the record as it was read.
    pub fn decide(&self, current: StoredRecord<'_>) -> Decision {
        if let Some(outcome) = self.outcome(current) {
            return Decision::Settled(outcome);
        }
        let made = Operation {
            id: self.operation.to_owned(),
            version: self.base.next().0,
            document: self.document,
        };
        let earlier = current.into_iter().flat_map(|(_, record)| record.operations.iter().cloned());
        let operations = std::iter::once(made).chain(earlier).take(MAX_OPERATIONS).collect();
        Decision::Write(Record { document: self.document, operations })
    }

    /// The outcome according to the record; `None` if it is not known yet, because a write based
    /// on [`base`](Proposal::base) may still take effect.
    pub fn outcome(&self, current: StoredRecord<'_>) -> Option<Outcome> {
        let found = current.and_then(|(_, record)| record.find(self.operation));
        if let Some(operation) = found {
            let version = Version(operation.version);
            let same = operation.document == self.document;
            return Some(if same {
                Outcome::Accepted(version)
            } else {
                Outcome::IdReused(version)
            });
        }
        let version = current.map_or(Version::NONE, |(version, _)| version);
        (version != self.base).then_some(Outcome::VersionConflict(version))
    }
}

impl Record {
    fn find(&self, id: &str) -> Option<&Operation> {
        self.operations.iter().find(|operation| operation.id == id)
    }
}
