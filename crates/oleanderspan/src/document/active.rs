//! What is in force on a host: the highest version that any peer or the store has shown.

use crate::document::{Hash, Version};

key! {
    /// An accepted document as somebody shows it.
    pub struct VersionedHash {
        /// Its version.
        pub version: Version,
        /// Its content hash.
        pub document: Hash,
    }
}

/// What is in force on a host; it only ever goes up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveDocument {
    current: Option<VersionedHash>,
}

/// What a host makes of a document that it was shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// It is later than the one in force, so its parts are wanted.
    Newer,
    /// It is the one in force.
    Same,
    /// It is earlier than the one in force: whoever shows it has yet to learn.
    Older,
    /// It has the version in force but other content, which no acceptance can lead to; the one
    /// in force stays.
    Conflict,
}

impl ActiveDocument {
    /// What is in force.
    pub const fn current(&self) -> Option<VersionedHash> {
        self.current
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.current.map_or(Version::NONE, |current| current.version)
    }

    /// Judges a document without putting it into force.
    pub fn compare(&self, other: VersionedHash) -> Comparison {
        let Some(current) = self.current else { return Comparison::Newer };
        match other.version.cmp(&current.version) {
            std::cmp::Ordering::Greater => Comparison::Newer,
            std::cmp::Ordering::Less => Comparison::Older,
            std::cmp::Ordering::Equal if other.document == current.document => Comparison::Same,
            std::cmp::Ordering::Equal => Comparison::Conflict,
        }
    }

    /// Puts a document into force whose parts are at hand, if it is later.
    pub fn advance(&mut self, other: VersionedHash) -> Comparison {
        let comparison = self.compare(other);
        if comparison == Comparison::Newer {
            self.current = Some(other);
        }
        comparison
    }
}
