//! Recent changes that one host of a zone reads from the platform's store and serves to the others.
//!
//! If every host read the store itself, each change would cost one call per host, so calls would
//! grow with hosts times changes. Instead one host per zone reads; it keeps the latest changes
//! and forwards them unmodified. See `docs/PLATFORM.md`.

use std::collections::VecDeque;

use crate::{entry::Version, prelude::*};

/// Number of entries kept, so that a host that was busy or disconnected for some seconds can
/// catch up.
const MAX_ENTRIES: usize = 64;

/// One response of the store: the changes between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<P> {
    /// Version before the changes.
    pub after: Version,
    /// Version after the changes.
    pub version: Version,
    /// The changes, as the store returned them.
    pub page: P,
}

/// Result of a lookup of the changes after a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<P> {
    /// The next changes; they may start before the requested version.
    Entry(Entry<P>),
    /// There are no changes after that version, according to a recent answer of the store.
    UpToDate,
    /// The journal no longer has, or never had, the changes after that version.
    Truncated,
    /// This host does not read from the store, or the store has not answered it lately. Silence of
    /// the store does not prove that nothing has changed: it may answer other hosts.
    Inactive,
}

/// A bounded log of the latest changes, kept by the host that reads the store.
#[derive(Clone, Debug)]
pub struct Journal<P> {
    is_active: bool,
    entries: VecDeque<Entry<P>>,
    version: Version,
    /// Until when the latest answer of the store shows that there are no later changes.
    valid_until: Instant,
}

impl<P> Default for Journal<P> {
    fn default() -> Journal<P> {
        let (entries, valid_until) = (VecDeque::new(), Instant::ZERO);
        Journal { is_active: false, entries, version: Version::default(), valid_until }
    }
}

impl<P: Clone> Journal<P> {
    /// Appends the next changes from the store, or the answer that there are none. A gap in
    /// versions discards the earlier entries.
    pub fn push(&mut self, entry: Entry<P>, valid_until: Instant) {
        if !self.is_active || self.version != entry.after {
            self.entries.clear();
        }
        self.is_active = true;
        self.version = entry.version;
        self.valid_until = valid_until;
        if entry.version > entry.after {
            self.entries.push_back(entry);
        }
        while self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Empties and activates the journal after a full read of the store at `version`.
    pub fn reset(&mut self, version: Version, valid_until: Instant) {
        *self = Journal { is_active: true, entries: VecDeque::new(), version, valid_until };
    }

    /// Deactivates the journal because the store does not answer or another host reads. Returns
    /// whether it was active.
    pub fn stop(&mut self) -> bool {
        let was_live = self.is_active;
        *self = Journal::default();
        was_live
    }

    /// Up to where the store has been read, or `None` if the journal is not active.
    pub fn version(&self) -> Option<Version> {
        self.is_active.then_some(self.version)
    }

    /// Until when the latest answer of the store counts, or `None` if the journal is not active.
    pub fn valid_until(&self) -> Option<Instant> {
        self.is_active.then_some(self.valid_until)
    }

    /// Looks up the changes that follow version `after`.
    pub fn next(&self, after: Version, now: Instant) -> Next<P> {
        // A host that has read a later era must not be told of changes in an earlier one.
        if !self.is_active || after.era > self.version.era {
            return Next::Inactive;
        }
        if after.era < self.version.era {
            return Next::Truncated;
        }
        if after >= self.version {
            return if now < self.valid_until { Next::UpToDate } else { Next::Inactive };
        }
        let entry = self.entries.iter().find(|entry| after < entry.version);
        match entry.filter(|entry| entry.after <= after) {
            Some(entry) => Next::Entry(entry.clone()),
            None => Next::Truncated,
        }
    }
}
