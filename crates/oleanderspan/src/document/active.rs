//! The document in force on a host: the highest version received from the store or any peer.

use crate::document::{Hash, Version};

key! {
    /// The version and content hash of an accepted document, as the store or a peer reports them.
    pub struct Revision {
        /// The version under which the document was accepted.
        pub version: Version,
        /// The content hash of the document.
        pub document: Hash,
    }
}

/// The document in force on a host; its version never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveDocument {
    current: Option<Revision>,
}

/// How a reported document compares with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// It is newer than the one in force; its parts have to be fetched.
    Newer,
    /// It has the version and the content of the one in force.
    Same,
    /// It is older than the one in force: the peer has yet to receive the newer one.
    Older,
    /// It has the version in force but a different hash. Acceptance never produces this, so the
    /// document is corrupt and the one in force is kept.
    Conflict,
}

impl ActiveDocument {
    /// The document in force; `None` before the first one.
    pub const fn current(&self) -> Option<Revision> {
        self.current
    }

    /// The version in force; [`Version::NONE`] before the first one.
    pub fn version(&self) -> Version {
        self.current.map_or(Version::NONE, |current| current.version)
    }

    /// Compares a document with the one in force, without replacing it.
    pub fn compare(&self, other: Revision) -> Comparison {
        let Some(current) = self.current else { return Comparison::Newer };
        match other.version.cmp(&current.version) {
            std::cmp::Ordering::Greater => Comparison::Newer,
            std::cmp::Ordering::Less => Comparison::Older,
            std::cmp::Ordering::Equal if other.document == current.document => Comparison::Same,
            std::cmp::Ordering::Equal => Comparison::Conflict,
        }
    }

    /// Puts a document into force if it is newer; the caller must already have all its parts.
    pub fn advance(&mut self, other: Revision) -> Comparison {
        let comparison = self.compare(other);
        if comparison == Comparison::Newer {
            self.current = Some(other);
        }
        comparison
    }
}
