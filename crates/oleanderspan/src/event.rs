//! Events of all processes, ordered into one timeline by hybrid logical clocks.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

use crate::prelude::*;

key! {
    /// A timestamp of a hybrid logical clock: wall-clock milliseconds and a counter.
    ///
    /// The counter orders events within one millisecond, and events of a process whose wall clock
    /// is behind that of its peers.
    pub struct HybridTimestamp(u64);
}

/// Number of low bits of a timestamp that hold the counter.
const COUNTER_BITS: u32 = 16;

impl HybridTimestamp {
    /// The timestamp as an integer with the same order.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Restores a timestamp from the integer of [`as_u64`](HybridTimestamp::as_u64).
    pub const fn from_u64(number: u64) -> HybridTimestamp {
        HybridTimestamp(number)
    }

    /// Milliseconds since the Unix epoch; ahead of the local clock if a peer's clock is.
    pub const fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The counter that orders timestamps of the same millisecond.
    pub const fn counter(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}

/// A hybrid logical clock: each timestamp is later than all those issued or observed before.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// Issues the timestamp of a new event; `wall_millis` is the wall clock, in milliseconds since
    /// the Unix epoch.
    pub fn tick(&self, wall_millis: u64) -> HybridTimestamp {
        let next = |last: u64| (last + 1).max(wall_millis << COUNTER_BITS);
        let last =
            self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)));
        HybridTimestamp(last.map_or(0, next))
    }

    /// Advances the clock past a timestamp received from another process.
    pub fn observe(&self, seen: HybridTimestamp) {
        self.last.fetch_max(seen.0, Ordering::AcqRel);
    }
}

/// The kind of an event, under one name in logs, metrics and the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A process started.
    Started,
    /// A process was asked to stop.
    Stopping,
    /// A host put a new document into force.
    InForce,
    /// A proposed document was accepted.
    Accepted,
    /// A proposed document was refused.
    Refused,
    /// A received document does not match its hash, or differs from the known document of the
    /// same version.
    Corrupt,
    /// A host saw the state of another host change.
    HostChanged,
    /// A backend server was found to be leaving.
    ServerLeaving,
    /// A backend server appears to be frozen; it is used only if there is no other.
    ServerSuspect,
    /// The traffic shares of regions started or stopped changing.
    ShareMoved,
    /// The platform's store became unavailable or available again.
    StoreChanged,
    /// An asynchronous request ended without a known outcome.
    JobChanged,
}

impl Kind {
    /// All kinds, in order of declaration.
    pub const ALL: [Kind; 12] = [
        Kind::Started,
        Kind::Stopping,
        Kind::InForce,
        Kind::Accepted,
        Kind::Refused,
        Kind::Corrupt,
        Kind::HostChanged,
        Kind::ServerLeaving,
        Kind::ServerSuspect,
        Kind::ShareMoved,
        Kind::StoreChanged,
        Kind::JobChanged,
    ];

    /// The name used in logs, metrics and the timeline.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Started => "started",
            Kind::Stopping => "stopping",
            Kind::InForce => "in-force",
            Kind::Accepted => "accepted",
            Kind::Refused => "refused",
            Kind::Corrupt => "corrupt",
            Kind::HostChanged => "host-changed",
            Kind::ServerLeaving => "server-leaving",
            Kind::ServerSuspect => "server-suspect",
            Kind::ShareMoved => "share-moved",
            Kind::StoreChanged => "store-changed",
            Kind::JobChanged => "job-changed",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

value! {
    /// One event of the timeline.
    pub struct Event {
        /// When it happened.
        pub stamp: HybridTimestamp,
        /// The process that recorded it, such as `entry-a/control`.
        pub process: Arc<str>,
        /// The kind of event.
        pub kind: Kind,
        /// What the event is about, such as a version, a host or a server.
        pub subject: String,
        /// Further details, as free text.
        pub detail: String,
    }
}

/// Merges the events of several processes into one ordered list, without duplicates.
pub fn merge(batches: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = batches.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events.dedup();
    events
}
