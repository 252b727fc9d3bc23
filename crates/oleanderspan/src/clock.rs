//! Time as it is passed into the decisions, so that tests and measures can run in virtual time.

use std::ops::{Add, Sub};

use crate::prelude::*;

key! {
    /// A point on a monotonic clock, in nanoseconds since an arbitrary origin.
    pub struct Instant(u64);
}

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Instant = Instant(0);

    /// The point `nanos` nanoseconds after the origin.
    pub const fn from_nanos(nanos: u64) -> Instant {
        Instant(nanos)
    }

    /// Nanoseconds since the origin.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, or zero if `earlier` lies ahead.
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

/// A monotonic clock.
pub trait Clock {
    /// The current point in time.
    fn now(&self) -> Instant;
}
