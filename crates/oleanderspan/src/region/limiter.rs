//! Admission of requests to one service in one region, where the requests in flight are counted.

use std::sync::atomic::{AtomicU32, Ordering};

/// Counts requests in flight and refuses entry above a ceiling.
///
/// Reports from elsewhere only ever lower the ceiling, because our own count is the one number
/// that is neither late nor wrong; see `docs/DESIGN.md`, "Headroom".
#[derive(Debug)]
pub struct ConcurrencyLimiter {
    in_flight: AtomicU32,
    ceiling: AtomicU32,
    reserved: AtomicU32,
}

impl ConcurrencyLimiter {
    /// A gate that admits up to `ceiling` requests at once.
    pub const fn new(ceiling: u32) -> ConcurrencyLimiter {
        ConcurrencyLimiter {
            in_flight: AtomicU32::new(0),
            ceiling: AtomicU32::new(ceiling),
            reserved: AtomicU32::new(0),
        }
    }

    /// Takes one place, or returns `false` if the ceiling is reached.
    pub fn try_acquire(&self) -> bool {
        let ceiling = self.limit();
        self.in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| (n < ceiling).then_some(n + 1))
            .is_ok()
    }

    /// Gives one place back.
    pub fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Requests now in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Places in all, after what others are known to hold.
    pub fn limit(&self) -> u32 {
        let ceiling = self.ceiling.load(Ordering::Relaxed);
        ceiling.saturating_sub(self.reserved.load(Ordering::Relaxed))
    }

    /// Sets the ceiling that the document and the live servers allow.
    pub fn set_ceiling(&self, ceiling: u32) {
        self.ceiling.store(ceiling, Ordering::Relaxed);
    }

    /// Records how many requests of other dispatchers the servers reserved.
    pub fn set_reserved(&self, reserved: u32) {
        self.reserved.store(reserved, Ordering::Relaxed);
    }
}
