//! Whether other hosts have read later changes of the platform's store than this host.
//!
//! A long poll that is not answered looks like a store without changes. Hosts therefore tell each
//! other which change they have read last; see `docs/PLATFORM.md`.

use crate::{
    entry::{self, Version},
    prelude::*,
};

/// What this host has read of a topic, compared with the reports of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    /// The version up to which this host has read; `None` until it has read the topic in full.
    position: Option<Version>,
    /// The latest change of the topic that this host has read; zero if there is none.
    latest: Version,
    missing: Option<Missing>,
}

/// A change that another host has read and this one has not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// The version of the change.
    pub version: Version,
    /// The host that reported it.
    pub host: entry::Name,
    /// When it was first reported, or when this host last asked the store again because of it.
    pub since: Instant,
    /// How often this host has asked the store again because of it.
    pub retries: u32,
}

/// The longest time between two retries. It doubles up to this with each of them, so that the
/// answer of a slow store still arrives; a store that was silent answers soon after it has come
/// back.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);

/// The time between two retries has reached its limit after so many.
const MAX_DOUBLINGS: u32 = 8;

impl Missing {
    /// When to ask the store again, if a change may be `max_lag` later here than at other hosts.
    pub fn due_at(&self, max_lag: Duration) -> Instant {
        let interval = max_lag * 2_u32.pow(self.retries.min(MAX_DOUBLINGS));
        self.since + interval.min(MAX_RETRY_INTERVAL.max(max_lag))
    }
}

impl Lag {
    /// Records that this host has read the topic up to `position`; `latest` is the latest change
    /// that it has read, or zero if there was none.
    pub fn advance(&mut self, position: Version, latest: Version) {
        self.position = Some(position);
        self.latest = self.latest.max(latest);
        if self.missing.as_ref().is_some_and(|missing| missing.version <= position) {
            self.missing = None;
        }
    }

    /// Records the latest change that another host has read; returns whether it is the first one
    /// that this host misses.
    ///
    /// Later ones do not replace it: while changes follow one another closely, a host that keeps up
    /// always misses some, but none of them for long.
    pub fn record_report(&mut self, host: &entry::Name, version: Version, now: Instant) -> bool {
        let is_missing = self.position.is_some_and(|position| version > position);
        if !is_missing || self.missing.is_some() {
            return false;
        }
        self.missing = Some(Missing { version, host: host.clone(), since: now, retries: 0 });
        true
    }

    /// Records that this host asks the store again, so that it waits for the answer for a while.
    pub fn retry(&mut self, now: Instant) {
        if let Some(missing) = &mut self.missing {
            missing.since = now;
            missing.retries += 1;
        }
    }

    /// The latest change that this host has read, for other hosts; zero if there is none.
    pub fn latest(&self) -> Version {
        self.latest
    }

    /// The change that this host has missed for longest; `None` if it keeps up.
    pub fn missing(&self) -> Option<&Missing> {
        self.missing.as_ref()
    }
}
