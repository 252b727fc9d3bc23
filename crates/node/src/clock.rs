//! The clocks and the random numbers of the machine.

use std::time::{SystemTime, UNIX_EPOCH};

use oleanderspan::{entry::membership::Random, prelude::*};

/// The monotonic clock, counted from when it was made.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    origin: std::time::Instant,
}

impl Monotonic {
    /// A clock whose origin is now.
    pub fn start() -> Monotonic {
        Monotonic { origin: std::time::Instant::now() }
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }
}

/// Milliseconds of the wall clock since the epoch.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The random numbers of the thread.
#[derive(Clone, Copy, Debug)]
pub struct Entropy;

impl Random for Entropy {
    fn below(&mut self, bound: usize) -> usize {
        rand::random_range(0..bound)
    }
}
