//! The share of requests that fail, over all servers of a pool.

use std::sync::atomic::{AtomicU32, Ordering};

/// Each outcome moves the rate by this fraction (divisor).
const DIVISOR: u32 = 16;

/// A run of failures that a server with the rate of the pool has less often than this, in permille,
/// says something about the server.
const MIN_LIKELIHOOD_PERMILLE: u32 = 100;

/// A moving average of the failures among the latest requests.
///
/// Answers the load of a service all of whose servers reject or fail many requests at random. Each
/// failure then says little about its server, and pausing the slots of all of them would take away
/// capacity that the next request could use.
#[derive(Debug, Default)]
pub struct FailureRate {
    permille: AtomicU32,
}

impl FailureRate {
    /// Records the outcome of a request. A sample lost to a concurrent one does not matter.
    pub(super) fn record(&self, is_failure: bool) {
        let rate = self.permille.load(Ordering::Relaxed);
        let sample = if is_failure { 1_000 } else { 0 };
        let next = (rate * (DIVISOR - 1) + sample).div_ceil(DIVISOR);
        // Rounding up keeps a rate of a few permille for good, which no run of failures meets.
        self.permille.store(next, Ordering::Relaxed);
    }

    /// Whether so many failures in a row are no surprise for a server like the others.
    pub fn expects(&self, failures: u32) -> bool {
        let rate = f64::from(self.permille.load(Ordering::Relaxed)) / 1_000.0;
        let likelihood = rate.powi(i32::try_from(failures.max(1)).unwrap_or(i32::MAX));
        likelihood * 1_000.0 >= f64::from(MIN_LIKELIHOOD_PERMILLE)
    }
}
