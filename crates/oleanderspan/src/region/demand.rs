//! How many slots the requests of a region need.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::prelude::*;

/// The weight of a new second in the moving average, as a divisor: waves of load last for many
/// seconds, and single seconds vary by a third.
const SMOOTHING_DIVISOR: u64 = 4;

/// Seconds with requests after which the average is worth more than a guess.
const MIN_OBSERVED_SECONDS: u32 = 4;

/// Thousandths, in which the rate is kept.
const MILLI_PER_UNIT: u64 = 1_000;

/// Counts requests, also those that are refused, as a rate.
#[derive(Debug, Default)]
pub struct Demand {
    requests_this_second: AtomicU64,
    milli_requests_per_second: AtomicU64,
    observed_seconds: AtomicU32,
}

impl Demand {
    /// Counts a request.
    pub fn record_request(&self) {
        self.requests_this_second.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends a second.
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

    /// Whether requests have come for long enough to trust the rate.
    pub fn is_reliable(&self) -> bool {
        self.observed_seconds.load(Ordering::Relaxed) >= MIN_OBSERVED_SECONDS
    }

    /// Whether no request came since the start.
    pub fn is_idle(&self) -> bool {
        self.observed_seconds.load(Ordering::Relaxed) == 0
    }

    /// The slots that the requests need if each holds one for `latency`, in thousandths.
    pub fn required_milli_slots(&self, latency: Duration) -> u64 {
        let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        self.milli_requests_per_second.load(Ordering::Relaxed).saturating_mul(millis)
            / MILLI_PER_UNIT
    }
}
