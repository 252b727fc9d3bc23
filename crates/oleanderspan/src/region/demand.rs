//! Estimation of the slots that the requests of a region need.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::prelude::*;

/// The inverse weight of the newest second in the moving average. Load changes last for many
/// seconds, while the rate of single seconds varies by a third.
const SMOOTHING_DIVISOR: u64 = 4;

/// Seconds since the first request, until which a default estimate is better than the average.
const MIN_OBSERVED_SECONDS: u32 = 4;

/// Scale of the fixed-point rate and slot counts, which are in thousandths.
const MILLI_PER_UNIT: u64 = 1_000;

/// The moving average of the request rate, refused requests included.
#[derive(Debug, Default)]
pub struct Demand {
    requests_this_second: AtomicU64,
    milli_requests_per_second: AtomicU64,
    observed_seconds: AtomicU32,
}

impl Demand {
    /// Counts a request, whether it is admitted or not.
    pub fn record_request(&self) {
        self.requests_this_second.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the requests since the previous call to the average; called once a second.
    pub fn end_second(&self) {
        let arrived = self.requests_this_second.swap(0, Ordering::Relaxed) * MILLI_PER_UNIT;
        let seconds = self.observed_seconds.load(Ordering::Relaxed);
        if arrived > 0 || seconds > 0 {
            self.observed_seconds.store(seconds.saturating_add(1), Ordering::Relaxed);
        }
        let rate = self.milli_requests_per_second.load(Ordering::Relaxed);
        let rate = match seconds {
            0 => arrived,
            _ => rate - rate / SMOOTHING_DIVISOR + arrived / SMOOTHING_DIVISOR,
        };
        self.milli_requests_per_second.store(rate, Ordering::Relaxed);
    }

    /// Whether enough seconds have passed since the first request for a stable average.
    pub fn is_reliable(&self) -> bool {
        self.observed_seconds.load(Ordering::Relaxed) >= MIN_OBSERVED_SECONDS
    }

    /// Whether no request has been counted in any completed second.
    pub fn is_idle(&self) -> bool {
        self.observed_seconds.load(Ordering::Relaxed) == 0
    }

    /// The average number of slots in use if each request holds one for `latency` (Little's law),
    /// in thousandths.
    pub fn required_milli_slots(&self, latency: Duration) -> u64 {
        let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        self.milli_requests_per_second.load(Ordering::Relaxed).saturating_mul(millis)
            / MILLI_PER_UNIT
    }
}
