//! Bandwidth limits of the links between regions.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// The bucket size, as the time in which an empty bucket fills.
const MAX_BURST: Duration = Duration::from_millis(250);

/// A token bucket of bytes, stored as the time up to which its tokens are spent.
///
/// The state is a single atomic, so that spending needs neither a lock nor a timer.
#[derive(Debug)]
pub struct Budget {
    nanos_per_kib: u64,
    spent_until_nanos: AtomicU64,
}

impl Budget {
    /// Creates a bucket that refills at `bytes_per_second`; at zero it never has credit.
    pub fn new(bytes_per_second: u64) -> Budget {
        let nanos_per_kib = match bytes_per_second {
            0 => u64::MAX,
            rate => 1024 * 1_000_000_000 / rate,
        };
        Budget { nanos_per_kib, spent_until_nanos: AtomicU64::new(0) }
    }

    /// Whether the bucket is not overdrawn, so that more may be spent.
    pub fn has_credit(&self, now: Instant) -> bool {
        self.nanos_per_kib != u64::MAX
            && self.spent_until_nanos.load(Ordering::Acquire) <= now.as_nanos()
    }

    /// Charges `bytes` that have been sent already, and overdraws the bucket if necessary.
    pub fn spend(&self, bytes: u64, now: Instant) {
        let cost = self.cost(bytes);
        let earliest = (now - MAX_BURST).as_nanos();
        let spend = |until: u64| Some(until.max(earliest).saturating_add(cost));
        let _ = self.spent_until_nanos.fetch_update(Ordering::AcqRel, Ordering::Acquire, spend);
    }

    fn cost(&self, bytes: u64) -> u64 {
        bytes.saturating_mul(self.nanos_per_kib) / 1024
    }

    /// Spends `bytes` if the bucket is not overdrawn. One call may overdraw it.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket has credit again.
    pub fn try_spend(&self, bytes: u64, now: Instant) -> Result<(), Duration> {
        let cost = self.cost(bytes);
        let earliest = (now - MAX_BURST).as_nanos();
        let spend = |until: u64| {
            let start = until.max(earliest);
            (start <= now.as_nanos()).then(|| start.saturating_add(cost))
        };
        match self.spent_until_nanos.fetch_update(Ordering::AcqRel, Ordering::Acquire, spend) {
            Ok(_) => Ok(()),
            Err(until) => Err(Instant::from_nanos(until).since(now)),
        }
    }
}
