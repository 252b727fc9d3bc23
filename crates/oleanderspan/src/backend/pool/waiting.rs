//! Who waits for a slot, in which order, and what for.

use crate::{
    backend::{self, Object, Server},
    prelude::*,
};

/// Someone who waits for a slot.
pub trait Waiter {
    /// Hands over a server that has a slot taken, or returns it if nobody waits any more.
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>>;

    /// Tells that the wait is over without a slot; dropping the waiter must tell as much.
    fn refuse(self)
    where
        Self: Sized,
    {
    }
}

/// The ranks of waiters: those in time by priority, then those that are late, by priority.
pub(super) const RANKS: usize = 2 * PRIORITIES;

/// Priorities that are told apart; lower ones share the last.
const PRIORITIES: usize = 4;

key! {
    /// The place of a waiter among others: lower ranks are served first.
    #[derive(Default)]
    pub struct Rank(pub(super) u8);
}

impl Rank {
    /// The rank of a request: whoever can still be served within its objective goes before those
    /// who can't, and within both the priority decides.
    pub fn new(priority: u8, is_late: bool) -> Rank {
        let priority = usize::from(priority).min(PRIORITIES - 1);
        let rank = if is_late { PRIORITIES + priority } else { priority };
        Rank(u8::try_from(rank).unwrap_or(u8::MAX))
    }

    /// Whether the request can no longer be served within its objective.
    pub(super) fn is_late(self) -> bool {
        usize::from(self.0) >= PRIORITIES
    }
}

/// What a request wants of its server.
#[derive(Clone, Debug, Default)]
pub struct Criteria {
    /// The object that it is about, if a server that knows it is faster.
    pub object: Option<Object>,
    /// A server that has failed it.
    pub excluded: Option<backend::Name>,
    /// Whether it must not leave the region.
    pub is_bound: bool,
}

impl Criteria {
    pub(super) fn allows(&self, server: &Server) -> bool {
        self.excluded.as_ref() != Some(&server.identity.name)
            && !(self.is_bound && server.is_borrowed())
    }
}

/// A place in the queue.
#[derive(Debug)]
pub(super) struct QueuedWaiter<W> {
    pub(super) waiter: W,
    pub(super) rank: Rank,
    pub(super) criteria: Criteria,
    pub(super) since: Instant,
    pub(super) limit: Duration,
}

impl<W> QueuedWaiter<W> {
    /// Whether more than `percent` of the limit has passed.
    pub(super) fn has_waited_over(&self, percent: u32, now: Instant) -> bool {
        now.since(self.since) > self.limit * percent / 100
    }
}
