//! Slow start: limits the request rate of a server until it is warm.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

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

    /// The part of the rate for one of `hosts` hosts that each count requests.
    pub fn part(self, hosts: usize) -> Rate {
        Rate(self.0 / u64::try_from(hosts.max(1)).unwrap_or(u64::MAX))
    }

    /// The interval between requests, or `None` if the rate is zero.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_nanos(1_000_000_000_000 / self.0))
    }
}

/// Limits the request rate of a recently started server.
///
/// The rate is the server's limit for all hosts together, so one host of the server's region counts
/// its requests. Requests follow at intervals without a burst: two hosts that both count, while
/// their views of the region differ, then stay within twice the rate and two requests.
#[derive(Debug)]
pub struct Limiter {
    /// When the server is warm, in nanoseconds of the clock.
    warm_at: AtomicU64,
    /// When the next request is due, in nanoseconds of the clock.
    due: AtomicU64,
    interval_nanos: AtomicU64,
    /// Whether hosts of another region count the requests while the server is cold.
    is_remote: AtomicBool,
}

impl Limiter {
    /// A limiter without a limit, as for a warm server.
    pub const fn warm() -> Limiter {
        Limiter {
            warm_at: AtomicU64::new(0),
            due: AtomicU64::new(0),
            interval_nanos: AtomicU64::new(0),
            is_remote: AtomicBool::new(false),
        }
    }

    /// Sets whether the server is in another region. While it is cold, this host then admits none
    /// of its requests, as a host over there counts them.
    pub fn set_remote(&self, is_remote: bool) {
        self.is_remote.store(is_remote, Ordering::Relaxed);
    }

    /// Limits requests to `rate` until `warm_at`, or until an already set later time.
    pub fn limit_until(&self, warm_at: Instant, rate: Rate) {
        let interval = rate.interval().unwrap_or(Duration::MAX);
        let nanos = u64::try_from(interval.as_nanos()).unwrap_or(u64::MAX);
        self.interval_nanos.store(nanos, Ordering::Relaxed);
        self.warm_at.fetch_max(warm_at.as_nanos(), Ordering::Relaxed);
    }

    /// Blocks all requests before `opens_at` while the server is cold. A host that has just started
    /// does not know yet which host allocates the server's slots, and one that succeeds another does
    /// not know which requests that one has admitted; each applying the full rate, they would
    /// exceed it together.
    pub fn hold_until(&self, opens_at: Instant) {
        self.due.fetch_max(opens_at.as_nanos(), Ordering::Relaxed);
    }

    /// Whether requests are limited at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        now.as_nanos() < self.warm_at.load(Ordering::Relaxed)
    }

    /// Whether [`Limiter::try_pass`] would admit a request at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.is_cold(now) || (self.is_counted_here() && self.is_due(now))
    }

    /// Admits one request, or returns `false` if it would exceed the rate.
    pub fn try_pass(&self, now: Instant) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let interval = self.interval_nanos.load(Ordering::Relaxed);
        let now = now.as_nanos();
        let pass = |due: u64| (due <= now).then_some(now.saturating_add(interval));
        self.is_counted_here()
            && self.due.fetch_update(Ordering::Relaxed, Ordering::Relaxed, pass).is_ok()
    }

    fn is_counted_here(&self) -> bool {
        !self.is_remote.load(Ordering::Relaxed)
    }

    fn is_due(&self, now: Instant) -> bool {
        self.due.load(Ordering::Relaxed) <= now.as_nanos()
    }
}
