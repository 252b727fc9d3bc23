//! Admission control for one service in one region, by the number of requests in flight.

use std::sync::atomic::{AtomicU32, Ordering};

/// Counts requests in flight and admits no more than a limit.
///
/// Reports of other hosts only lower the limit: they may be late or wrong, whereas the local count
/// is exact; see `docs/DESIGN.md`, "Headroom".
#[derive(Debug)]
pub struct Limiter {
    in_flight: AtomicU32,
    ceiling: AtomicU32,
    reserved: AtomicU32,
}

impl Limiter {
    /// Creates a limiter that admits up to `ceiling` concurrent requests.
    pub const fn new(ceiling: u32) -> Limiter {
        Limiter {
            in_flight: AtomicU32::new(0),
            ceiling: AtomicU32::new(ceiling),
            reserved: AtomicU32::new(0),
        }
    }

    /// Admits one request, or returns `false` if the limit is reached.
    pub fn try_acquire(&self) -> bool {
        let ceiling = self.limit();
        self.in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| (n < ceiling).then_some(n + 1))
            .is_ok()
    }

    /// Ends one admitted request; called once for each successful [`Self::try_acquire`].
    pub fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// The maximum number of concurrent requests: the ceiling less the slots reserved for other
    /// hosts.
    pub fn limit(&self) -> u32 {
        let ceiling = self.ceiling.load(Ordering::Relaxed);
        ceiling.saturating_sub(self.reserved.load(Ordering::Relaxed))
    }

    /// Sets the ceiling, which results from the document and the number of live servers.
    pub fn set_ceiling(&self, ceiling: u32) {
        self.ceiling.store(ceiling, Ordering::Relaxed);
    }

    /// Sets the number of slots reserved for the requests of other hosts; see
    /// [`Handover::reserved_slots`](super::Handover::reserved_slots).
    pub fn set_reserved(&self, reserved: u32) {
        self.reserved.store(reserved, Ordering::Relaxed);
    }
}
