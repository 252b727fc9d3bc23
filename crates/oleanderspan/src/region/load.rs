//! Load and backpressure of one service in one region.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// The utilisation of its limit, in percent, at which a region has no headroom for larger shares.
const BUSY_PERCENT: u64 = 90;

/// The time after a refusal for which no requests spill over to the region.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

key! {
    /// Whether a region can take a larger share of requests. The order is from best to worst.
    pub enum Headroom {
        /// A recent measurement shows free capacity.
        Available,
        /// A recent measurement shows no free capacity.
        Insufficient,
        /// There is no recent measurement.
        Unknown,
    }

    /// The load of one service in one region, as counted by its dispatcher.
    pub struct Load {
        /// The number of requests in flight.
        pub in_flight: u32,
        /// The maximum number of concurrent requests that the dispatcher admits.
        pub limit: u32,
        /// The number of requests that wait for a slot.
        pub queued: u32,
    }
}

impl Load {
    /// The headroom that this load leaves: none if requests wait or the limit is nearly reached.
    pub fn headroom(&self) -> Headroom {
        let is_busy = u64::from(self.in_flight) * 100 >= u64::from(self.limit) * BUSY_PERCENT;
        if self.queued > 0 || is_busy { Headroom::Insufficient } else { Headroom::Available }
    }
}

/// The backpressure of a region: the time at which it last refused a request of this host for lack
/// of capacity.
#[derive(Debug, Default)]
pub struct Backpressure {
    refused_at: AtomicU64,
}

impl Backpressure {
    /// Records a refusal for lack of capacity.
    pub fn record_refusal(&self, now: Instant) {
        self.refused_at.fetch_max(now.as_nanos(), Ordering::Relaxed);
    }

    /// Whether the region refused a request recently, so that none should spill over to it.
    pub fn is_active(&self, now: Instant) -> bool {
        match self.refused_at.load(Ordering::Relaxed) {
            0 => false,
            at => now.since(Instant::from_nanos(at)) < REFUSAL_BACKOFF,
        }
    }
}
