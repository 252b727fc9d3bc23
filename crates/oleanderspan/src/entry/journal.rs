//! What one host of a zone reads from the platform's store for the others.
//!
//! The load that this answers: a change of a list costs each host that follows it a call to the
//! store, so that calls grow with hosts times changes. Hosts of a zone have one of them read; it
//! keeps the latest changes and hands them on as they came. See `docs/PLATFORM.md`.

use std::collections::VecDeque;

/// Changes that are kept, so that a host that was busy or away for some seconds finds the ones
/// that it missed.
const MAX_ENTRIES: usize = 64;

/// One answer of the store: what changed from one version to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<P> {
    /// The version that the changes follow on.
    pub after: u64,
    /// The version with the changes.
    pub version: u64,
    /// The changes.
    pub page: P,
}

/// What a journal has for a host that knows a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<P> {
    /// These changes; they may begin before what the host knows.
    Entry(Entry<P>),
    /// Nothing yet.
    UpToDate,
    /// The changes since that version are not kept here.
    Truncated,
    /// This host does not read from the store, or gets no answers.
    Inactive,
}

/// The latest changes, kept by the host that reads them.
#[derive(Clone, Debug)]
pub struct Journal<P> {
    is_active: bool,
    entries: VecDeque<Entry<P>>,
    version: u64,
}

impl<P> Default for Journal<P> {
    fn default() -> Journal<P> {
        Journal { is_active: false, entries: VecDeque::new(), version: 0 }
    }
}

impl<P: Clone> Journal<P> {
    /// Takes the next changes that the store told.
    pub fn push(&mut self, entry: Entry<P>) {
        if !self.is_active || self.version != entry.after {
            self.entries.clear();
        }
        self.is_active = true;
        self.version = entry.version;
        if entry.version > entry.after {
            self.entries.push_back(entry);
        }
        while self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Starts over after the whole was read, at a version.
    pub fn reset(&mut self, version: u64) {
        *self = Journal { is_active: true, entries: VecDeque::new(), version };
    }

    /// Ends: the store gives no answers, or another host reads. Returns whether that is news.
    pub fn stop(&mut self) -> bool {
        let was_live = self.is_active;
        *self = Journal::default();
        was_live
    }

    /// The changes after a version.
    pub fn next(&self, after: u64) -> Next<P> {
        if !self.is_active {
            return Next::Inactive;
        }
        if after >= self.version {
            return Next::UpToDate;
        }
        let entry = self.entries.iter().find(|entry| after < entry.version);
        match entry.filter(|entry| entry.after <= after) {
            Some(entry) => Next::Entry(entry.clone()),
            None => Next::Truncated,
        }
    }
}
