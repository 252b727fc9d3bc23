//! What is known of the load of one service in one region.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// The part of its limit above which a region takes no more shares, in percent.
const BUSY_PERCENT: u64 = 90;

/// How long a refusal keeps other regions from spilling over to this one.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

key! {
    /// Whether a region can take more.
    pub enum Headroom {
        /// A fresh measurement shows room.
        Available,
        /// A fresh measurement shows none.
        Insufficient,
        /// There is no fresh measurement.
        Unknown,
    }

    /// What a dispatching host counts for one service in one region.
    pub struct Load {
        /// Requests in flight by its own count.
        pub in_flight: u32,
        /// The most that it would admit.
        pub limit: u32,
        /// Requests that wait.
        pub queued: u32,
    }
}

impl Load {
    /// Whether shares may rise.
    pub fn headroom(&self) -> Headroom {
        let is_busy = u64::from(self.in_flight) * 100 >= u64::from(self.limit) * BUSY_PERCENT;
        if self.queued > 0 || is_busy { Headroom::Insufficient } else { Headroom::Available }
    }
}

/// When a region last refused a request of this host for want of headroom.
#[derive(Debug, Default)]
pub struct Backpressure {
    refused_at: AtomicU64,
}

impl Backpressure {
    /// Takes note of a refusal.
    pub fn record_refusal(&self, now: Instant) {
        self.refused_at.fetch_max(now.as_nanos(), Ordering::Relaxed);
    }

    /// Whether the region refused lately, so that nothing more should spill over to it.
    pub fn is_active(&self, now: Instant) -> bool {
        match self.refused_at.load(Ordering::Relaxed) {
            0 => false,
            at => now.since(Instant::from_nanos(at)) < REFUSAL_BACKOFF,
        }
    }
}
