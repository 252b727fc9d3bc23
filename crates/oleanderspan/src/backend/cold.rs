//! Slow start: how many requests a second a server gets until it is warm.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

key! {
    /// Requests in 1,000 seconds.
    pub struct Rate(u64);
}

impl Rate {
    /// So many requests in 1,000 seconds.
    pub const fn per_1000_s(requests: u64) -> Rate {
        Rate(requests)
    }

    /// The time from one request to the next, or `None` if there may be no request at all.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_nanos(1_000_000_000_000 / self.0))
    }
}

/// How many requests may follow at once on a pause.
const BURST_REQUESTS: u32 = 2;

/// Spaces the requests of a server that started a short while ago.
///
/// The server's own limit is a rate for all hosts together; the burst is small so that any
/// second stays near that rate.
#[derive(Debug)]
pub struct Limiter {
    /// When the server is warm, in nanoseconds of the clock.
    warm_at: AtomicU64,
    /// When the next request would be on time, in nanoseconds of the clock.
    due: AtomicU64,
    interval_nanos: AtomicU64,
}

impl Limiter {
    /// A limiter of a server that is warm.
    pub const fn warm() -> Limiter {
        Limiter {
            warm_at: AtomicU64::new(0),
            due: AtomicU64::new(0),
            interval_nanos: AtomicU64::new(0),
        }
    }

    /// Limits requests to `rate` until `warm_at`.
    pub fn limit_until(&self, warm_at: Instant, rate: Rate) {
        let interval = rate.interval().unwrap_or(Duration::MAX);
        let nanos = u64::try_from(interval.as_nanos()).unwrap_or(u64::MAX);
        self.interval_nanos.store(nanos, Ordering::Relaxed);
        self.warm_at.fetch_max(warm_at.as_nanos(), Ordering::Relaxed);
    }

    /// Lets no request through before `opens_at` while the server is cold: a host that has just
    /// started does not know yet which host gives out the slots, and several that each keep the
    /// rate by themselves would exceed it together.
    pub fn hold_until(&self, opens_at: Instant) {
        let due = opens_at.as_nanos().saturating_add(self.burst_allowance());
        self.due.fetch_max(due, Ordering::Relaxed);
    }

    /// Whether requests are limited now.
    pub fn is_cold(&self, now: Instant) -> bool {
        now.as_nanos() < self.warm_at.load(Ordering::Relaxed)
    }

    /// Whether a request would be let through now.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.due.load(Ordering::Relaxed) <= self.latest_due(now)
    }

    /// Lets one request through, or returns `false`.
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

    /// The latest due time at which a request may go ahead of it.
    fn latest_due(&self, now: Instant) -> u64 {
        now.as_nanos().saturating_add(self.burst_allowance())
    }

    /// How far requests may go ahead of the rate.
    fn burst_allowance(&self) -> u64 {
        let interval = self.interval_nanos.load(Ordering::Relaxed);
        let burst_allowance =
            interval.checked_mul(u64::from(BURST_REQUESTS - 1)).filter(|_| interval < u64::MAX);
        // Without a rate there is nothing to go ahead of.
        burst_allowance.unwrap_or(0)
    }
}
