//! Events of the time line over all processes, ordered by hybrid logical clocks.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

use crate::prelude::*;

key! {
    /// A point in hybrid logical time: milliseconds of the wall clock and a counter that orders
    /// events within one millisecond and behind clocks that run late.
    pub struct HybridTimestamp(u64);
}

/// Bits of a stamp that hold the counter.
const COUNTER_BITS: u32 = 16;

impl HybridTimestamp {
    /// The stamp as a number that sorts like the stamp.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// The stamp of such a number.
    pub const fn from_u64(number: u64) -> HybridTimestamp {
        HybridTimestamp(number)
    }

    /// Milliseconds since the epoch.
    pub const fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The counter within the millisecond.
    pub const fn counter(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}

/// Hands out stamps that never go back and always lie behind every stamp seen.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: AtomicU64,
}

impl HybridClock {
    /// The stamp of a new event at `wall_millis` of the wall clock.
    pub fn tick(&self, wall_millis: u64) -> HybridTimestamp {
        let next = |last: u64| (last + 1).max(wall_millis << COUNTER_BITS);
        let last =
            self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)));
        HybridTimestamp(last.map_or(0, next))
    }

    /// Takes note of a stamp that another process sent.
    pub fn observe(&self, seen: HybridTimestamp) {
        self.last.fetch_max(seen.0, Ordering::AcqRel);
    }
}

/// What happened; each kind has a name that logs, metrics and the time line share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A process started.
    Started,
    /// A process was asked to stop.
    Stopping,
    /// A document came into force on a host.
    InForce,
    /// A document was accepted.
    Accepted,
    /// A proposed document was refused.
    Refused,
    /// A document was shown whose content contradicts its version or its hash.
    Corrupt,
    /// The state of a host changed in the eyes of another.
    HostChanged,
    /// A backend server was seen to leave.
    ServerLeaving,
    /// A backend server seems frozen and became the last choice.
    ServerSuspect,
    /// Shares moved.
    ShareMoved,
    /// The platform's store stopped or started to answer.
    StoreChanged,
    /// A request that may wait ended in doubt.
    JobChanged,
}

impl Kind {
    /// Every kind.
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

    /// The name of the kind.
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
    /// One event of the time line.
    pub struct Event {
        /// When it happened.
        pub stamp: HybridTimestamp,
        /// The process: `entry-a/control`, for example.
        pub process: Arc<str>,
        /// What happened.
        pub kind: Kind,
        /// To what or whom.
        pub subject: String,
        /// How, in words.
        pub detail: String,
    }
}

/// Merges events of several processes into one order; the same event twice counts once.
pub fn merge(batches: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = batches.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events.dedup();
    events
}
