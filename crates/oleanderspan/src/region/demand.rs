//! How many slots the requests of a region need.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::prelude::*;

/// The weight of a new second in the moving average, as a divisor: waves of load last for many
/// seconds, and single seconds vary by a third.
const SECOND_DIVISOR: u64 = 4;

/// Seconds with requests after which the average is worth more than a guess.
const LEAST_SECONDS: u32 = 4;

/// Thousandths, in which the rate is kept.
const MILLI: u64 = 1_000;

/// Counts requests, also those that are refused, as a rate.
#[derive(Debug, Default)]
pub struct Demand {
    arrived: AtomicU64,
    milli_rate: AtomicU64,
    seconds: AtomicU32,
}

impl Demand {
    /// Counts a request.
    pub fn count(&self) {
        self.arrived.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends a second.
    pub fn tick(&self) {
        let arrived = self.arrived.swap(0, Ordering::Relaxed) * MILLI;
        let seconds = self.seconds.load(Ordering::Relaxed);
        if arrived > 0 || seconds > 0 {
            self.seconds.store(seconds.saturating_add(1), Ordering::Relaxed);
        }
        let rate = self.milli_rate.load(Ordering::Relaxed);
        let rate = match seconds {
            0 => arrived,
            _ => rate - rate / SECOND_DIVISOR + arrived / SECOND_DIVISOR,
        };
        self.milli_rate.store(rate, Ordering::Relaxed);
    }

    /// Whether requests have come for long enough to trust the rate.
    pub fn is_known(&self) -> bool {
        self.seconds.load(Ordering::Relaxed) >= LEAST_SECONDS
    }

    /// Whether no request came since the start.
    pub fn is_idle(&self) -> bool {
        self.seconds.load(Ordering::Relaxed) == 0
    }

    /// The slots that the requests need if each holds one for `latency`, in thousandths.
    pub fn milli_slots(&self, latency: Duration) -> u64 {
        let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        self.milli_rate.load(Ordering::Relaxed).saturating_mul(millis) / MILLI
    }
}
