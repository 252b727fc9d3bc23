//! The budget of bytes that the request bodies on a host may take up together.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

use crate::prelude::*;

/// The part of a host's memory that request bodies may take up, in percent. Hosts have 160 MB or
/// 512 MB, of which a process without requests takes 10 to 30 MB. Answers need as much room as
/// bodies, and a body takes up to twice its size while its parts are joined.
const MEMORY_PERCENT: u64 = 25;

/// The bytes of request bodies that a host may hold at once. Reservations only add to one counter,
/// so that requests never wait for each other.
#[derive(Debug)]
pub struct Budget {
    capacity: u64,
    reserved: AtomicU64,
}

/// A part of a [`Budget`], which is given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Budget>,
    bytes: u64,
}

/// The budget has no room for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

impl Budget {
    /// A budget of this many bytes.
    pub fn new(capacity: u64) -> Budget {
        Budget { capacity, reserved: AtomicU64::new(0) }
    }

    /// The budget of a host whose process may take up this many bytes.
    pub fn of_memory(bytes: u64) -> Budget {
        Budget::new(bytes / 100 * MEMORY_PERCENT)
    }

    /// Reserves room for a body, or fails at once.
    pub fn reserve(self: &Arc<Budget>, bytes: u64) -> Result<Reservation, Exhausted> {
        let add = |reserved: u64| reserved.checked_add(bytes).filter(|sum| *sum <= self.capacity);
        let reserved = self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        reserved.map_err(|_| Exhausted)?;
        Ok(Reservation { budget: Arc::clone(self), bytes })
    }

    /// The bytes that are reserved now.
    pub fn reserved(&self) -> u64 {
        self.reserved.load(Ordering::Relaxed)
    }

    /// The most bytes that may be reserved at once.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no memory is left for request bodies")
    }
}

impl std::error::Error for Exhausted {}
