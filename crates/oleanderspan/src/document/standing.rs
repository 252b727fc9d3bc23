//! What is in force on a host: the highest version that any peer or the store has shown.

use crate::document::{Hash, Version};

key! {
    /// An accepted document as somebody shows it.
    pub struct Shown {
        /// Its version.
        pub version: Version,
        /// Its content hash.
        pub document: Hash,
    }
}

/// What is in force on a host; it only ever goes up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    current: Option<Shown>,
}

/// What a host makes of a document that it was shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lesson {
    /// It is later than the one in force, so its parts are wanted.
    Later,
    /// It is the one in force.
    Same,
    /// It is earlier than the one in force: whoever shows it has yet to learn.
    Earlier,
    /// It has the version in force but other content, which no acceptance can lead to; the one
    /// in force stays.
    Corrupt,
}

impl Standing {
    /// What is in force.
    pub const fn current(&self) -> Option<Shown> {
        self.current
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.current.map_or(Version::NONE, |current| current.version)
    }

    /// Judges a document without putting it into force.
    pub fn judge(&self, shown: Shown) -> Lesson {
        let Some(current) = self.current else { return Lesson::Later };
        match shown.version.cmp(&current.version) {
            std::cmp::Ordering::Greater => Lesson::Later,
            std::cmp::Ordering::Less => Lesson::Earlier,
            std::cmp::Ordering::Equal if shown.document == current.document => Lesson::Same,
            std::cmp::Ordering::Equal => Lesson::Corrupt,
        }
    }

    /// Puts a document into force whose parts are at hand, if it is later.
    pub fn advance(&mut self, shown: Shown) -> Lesson {
        let lesson = self.judge(shown);
        if lesson == Lesson::Later {
            self.current = Some(shown);
        }
        lesson
    }
}
