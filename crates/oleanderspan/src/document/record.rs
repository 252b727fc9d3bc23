//! The record of an environment: what was accepted last, and by which operations.
//!
//! A record is replaced by a conditional write on its version. An operation that is still in
//! the record is settled, so a repeated command learns its outcome instead of writing again.

use serde::{Deserialize, Serialize};

use crate::document::{Hash, Version};

/// The most operations that a record remembers.
pub const MAX_OPERATIONS: usize = 32;

/// The record of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The content hash of the document in force.
    pub document: Hash,
    /// The last operations, the latest first.
    pub operations: Vec<Operation>,
}

/// An operation that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The id that the operator gave.
    pub id: String,
    /// The version that it made.
    pub version: u64,
    /// The content hash of that version.
    pub document: Hash,
}

/// What an operator wants to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proposal<'a> {
    /// The version that the operator saw.
    pub base: Version,
    /// The operation id.
    pub operation: &'a str,
    /// The content hash of the document.
    pub document: Hash,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It is accepted as this version.
    Accepted(Version),
    /// This version is in force instead of the one that the operator saw.
    VersionConflict(Version),
    /// The operation id belongs to another document, accepted as this version.
    IdReused(Version),
}

/// What to do about a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Replace the record that was read by this one, on condition that it has not changed.
    Write(Record),
    /// Nothing: the outcome is known.
    Settled(ProposalOutcome),
}

/// A record and the version that it is stored under.
pub type StoredRecord<'a> = Option<(Version, &'a Record)>;

impl Proposal<'_> {
    /// Decides on the record that was read.
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

    /// The outcome as far as a record tells: `None` means that a write on the base may still
    /// take effect.
    pub fn outcome(&self, current: StoredRecord<'_>) -> Option<ProposalOutcome> {
        let found = current.and_then(|(_, record)| record.find(self.operation));
        if let Some(operation) = found {
            let version = Version(operation.version);
            let same = operation.document == self.document;
            return Some(if same {
                ProposalOutcome::Accepted(version)
            } else {
                ProposalOutcome::IdReused(version)
            });
        }
        let version = current.map_or(Version::NONE, |(version, _)| version);
        (version != self.base).then_some(ProposalOutcome::VersionConflict(version))
    }
}

impl Record {
    fn find(&self, id: &str) -> Option<&Operation> {
        self.operations.iter().find(|operation| operation.id == id)
    }
}
