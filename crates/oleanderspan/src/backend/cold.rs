//! Slow start: limits the request rate of a server until it is warm.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

key! {
    /// A request rate, in requests per 1,000 seconds.
    pub struct Rate(u64);
}

impl Rate {
    /// A rate of `requests` per 1,000 seconds.
    pub const fn per_1000_s(requests: u64) -> Rate {
        Rate(requests)
    }

    /// The interval between requests, or `None` if the rate is zero.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_nanos(1_000_000_000_000 / self.0))
    }
}

/// Number of requests that may follow at once after a pause.
const BURST_REQUESTS: u32 = 2;

/// Limits the request rate of a recently started server.
///
/// The rate is the server's limit for all hosts together. The burst is small so that the number of
/// requests in any one second stays near that rate.
#[derive(Debug)]
pub struct Limiter {
    /// When the server is warm, in nanoseconds of the clock.
    warm_at: AtomicU64,
    /// When the next request is due, in nanoseconds of the clock.
    due: AtomicU64,
    interval_nanos: AtomicU64,
}

impl Limiter {
    /// A limiter without a limit, as for a warm server.
    pub const fn warm() -> Limiter {
        Limiter {
            warm_at: AtomicU64::new(0),
            due: AtomicU64::new(0),
            interval_nanos: AtomicU64::new(0),
        }
    }

    /// Limits requests to `rate` until `warm_at`, or until an already set later time.
    pub fn limit_until(&self, warm_at: Instant, rate: Rate) {
        let interval = rate.interval().unwrap_or(Duration::MAX);
        let nanos = u64::try_from(interval.as_nanos()).unwrap_or(u64::MAX);
        self.interval_nanos.store(nanos, Ordering::Relaxed);
        self.warm_at.fetch_max(warm_at.as_nanos(), Ordering::Relaxed);
    }

    /// Blocks all requests before `opens_at` while the server is cold. A host that has just started
    /// does not know yet which host allocates the server's slots; several hosts that each applied
    /// the full rate would exceed it together.
    pub fn hold_until(&self, opens_at: Instant) {
        let due = opens_at.as_nanos().saturating_add(self.burst_allowance());
        self.due.fetch_max(due, Ordering::Relaxed);
    }

    /// Whether requests are limited at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        now.as_nanos() < self.warm_at.load(Ordering::Relaxed)
    }

    /// Whether [`Limiter::try_pass`] would admit a request at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.due.load(Ordering::Relaxed) <= self.latest_due(now)
    }

    /// Admits one request, or returns `false` if it would exceed the rate.
    pub fn try_pass(&self, now: Instant) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let interval = self.interval_nanos.load(Ordering::Relaxed);
        let latest = self.latest_due(now);
        let pass =
            |due: u64| (due <= latest).then_some(due.max(now.as_nanos()).saturating_add(interval));
        self.due.fetch_update(Ordering::Relaxed, Ordering::Relaxed, pass).is_ok()
    }

    /// The latest due time at which a request is admitted at `now`.
    fn latest_due(&self, now: Instant) -> u64 {
        now.as_nanos().saturating_add(self.burst_allowance())
    }

    /// How long before its due time a request may be admitted, in nanoseconds.
    fn burst_allowance(&self) -> u64 {
        let interval = self.interval_nanos.load(Ordering::Relaxed);
        let burst_allowance =
            interval.checked_mul(u64::from(BURST_REQUESTS - 1)).filter(|_| interval < u64::MAX);
        // At a rate of zero there is no burst.
        burst_allowance.unwrap_or(0)
    }
}
