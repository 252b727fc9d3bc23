//! Waiters: their order in the queue, and which servers they accept.

use crate::{
    backend::{self, Object, Sender, Server},
    prelude::*,
    region,
};

/// A request that waits for a slot.
pub trait Waiter {
    /// Hands over a server with a slot taken; returns it if the request no longer waits.
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>>;

    /// Ends the wait without a slot. Dropping the waiter must have the same effect.
    fn refuse(self)
    where
        Self: Sized,
    {
    }

    /// The host that sends the request, if it may have been asked to back off from servers.
    fn sender(&self) -> Option<Sender> {
        None
    }
}

/// Number of ranks: requests in time by priority, then late requests by priority. Within each
/// priority, requests beyond their customer's share follow the others.
pub(super) const RANKS: usize = 2 * PRIORITIES * SHARES;

/// Ranks of one priority: within the customer's share, and beyond it.
pub(super) const SHARES: usize = 2;

/// Number of distinct priorities; all lower ones share the last.
pub(super) const PRIORITIES: usize = 4;

key! {
    /// The queue class of a waiter; lower ranks are served first.
    #[derive(Default)]
    pub struct Rank(pub(super) u8);
}

impl Rank {
    /// The rank of a request: those that can still meet their objective precede those that cannot,
    /// ordered by `priority` within each group (0 is the highest).
    pub fn new(priority: u8, is_late: bool) -> Rank {
        let priority = usize::from(priority).min(PRIORITIES - 1);
        let rank = if is_late { PRIORITIES + priority } else { priority };
        Rank(u8::try_from(rank * SHARES).unwrap_or(u8::MAX))
    }

    /// The rank of a request that is beyond its customer's share: behind those of its priority that
    /// are not, and before lower priorities.
    #[must_use]
    pub fn beyond_share(self) -> Rank {
        Rank(self.0 | 1)
    }

    /// Whether the request is beyond its customer's share.
    pub(super) fn is_beyond_share(self) -> bool {
        self.0 & 1 == 1
    }

    /// Whether the request can no longer meet its objective.
    pub(super) fn is_late(self) -> bool {
        usize::from(self.0) >= PRIORITIES * SHARES
    }
}

/// Which servers a request accepts or prefers.
#[derive(Clone, Debug, Default)]
pub struct Criteria {
    /// The object of the request, if servers are faster on an object that they have cached.
    pub object: Option<Object>,
    /// A server on which the request has failed, not to be used again.
    pub excluded: Option<backend::Name>,
    /// The only region whose servers may run the request; `None` if any may.
    pub region: Option<region::Index>,
    /// The host that sends the request, which servers may have asked for backoff.
    pub sender: Option<Sender>,
}

impl Criteria {
    pub(super) fn allows(&self, server: &Server, now: Instant) -> bool {
        self.excluded.as_ref() != Some(&server.identity.name) && self.allows_excluded(server, now)
    }

    /// Whether the server may run the request, even if it is the excluded one.
    pub(super) fn allows_excluded(&self, server: &Server, now: Instant) -> bool {
        self.allows_region_of(server) && server.notice().is_open(self.sender, now)
    }

    /// Whether the server may be sent the request once it has a free slot.
    pub fn may_wait_for(&self, server: &Server, now: Instant) -> bool {
        server.accepts_requests()
            && self.allows_region_of(server)
            && self.backoff_until(server, now).is_none()
    }

    /// Until when the host of the request must back off from the server; `None` if it may send.
    pub fn backoff_until(&self, server: &Server, now: Instant) -> Option<Instant> {
        self.sender.and_then(|sender| server.notice().backoff_until(sender, now))
    }

    /// Whether the request may run in the server's region. Unlike `excluded`, this is binding even
    /// if no other server has a free slot.
    pub fn allows_region_of(&self, server: &Server) -> bool {
        self.region.is_none_or(|region| region == server.location.region)
    }
}

/// A waiter in a queue.
#[derive(Debug)]
pub(super) struct QueuedWaiter<W> {
    pub(super) waiter: W,
    pub(super) rank: Rank,
    pub(super) criteria: Criteria,
    pub(super) since: Instant,
    pub(super) limit: Duration,
}

impl<W> QueuedWaiter<W> {
    /// Whether the waiter has been queued for more than `percent` of its limit.
    pub(super) fn has_waited_over(&self, percent: u32, now: Instant) -> bool {
        now.since(self.since) > self.limit * percent / 100
    }
}

/// The criteria of waiters that no free slot suits, so that others with the same need not be
/// compared with all servers again.
#[derive(Debug, Default)]
pub(super) struct Unservable(Vec<(Option<region::Index>, Option<Sender>)>);

impl Unservable {
    /// Whether no free slot suits a waiter with these criteria.
    pub(super) fn contains(&self, criteria: &Criteria) -> bool {
        self.0.contains(&(criteria.region, criteria.sender))
    }

    /// Records that no free slot suits a waiter, not even one on its excluded server.
    pub(super) fn insert(&mut self, criteria: &Criteria) {
        self.0.push((criteria.region, criteria.sender));
    }
}
