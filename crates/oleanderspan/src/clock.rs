//! Monotonic time, passed in by the caller so that tests and simulations can use virtual time.

use std::ops::{Add, Sub};

use crate::prelude::*;

key! {
    /// A point on a monotonic clock, in nanoseconds since the clock's arbitrary origin.
    #[derive(Default)]
    pub struct Instant(u64);
}

impl Instant {
    /// The clock's origin, 0 ns.
    pub const ZERO: Instant = Instant(0);

    /// Creates an instant from nanoseconds since the origin.
    pub const fn from_nanos(nanos: u64) -> Instant {
        Instant(nanos)
    }

    /// Nanoseconds since the origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Instant) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)))
    }
}

/// A source of monotonic time.
pub trait Clock {
    /// The current time; never earlier than a value returned before.
    fn now(&self) -> Instant;
}
