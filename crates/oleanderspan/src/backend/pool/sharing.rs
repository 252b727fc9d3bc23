//! Sharing of a pool's slots among customers; the decision is in [`crate::customer::share`].

use std::sync::atomic::Ordering;

use crate::{
    backend::{
        Pool, Waiter,
        pool::waiting::{Rank, SHARES},
    },
    customer::{
        Shares,
        share::{Account, Place},
    },
    prelude::*,
};

impl<W: Waiter> Pool<W> {
    /// The customers with requests in the pool, and the slots that they use.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Enters a request of a customer into the queue, before it is ranked. The place is held for as
    /// long as the request waits.
    pub fn enter(&self, account: &Arc<Account>) -> Place {
        let members = self.members.load();
        let usable = members.servers.iter().filter(|server| server.accepts_requests());
        let slots: u32 = usable.map(|server| server.own_slots()).sum();
        self.shares.enter(account, slots.min(self.limiter.limit()))
    }

    /// Records that a request of this rank is about to be queued.
    pub(super) fn record_rank(&self, rank: Rank) {
        if rank.is_beyond_share() && !self.has_ranked_by_share.load(Ordering::Relaxed) {
            self.has_ranked_by_share.store(true, Ordering::SeqCst);
        }
    }

    /// The step from one rank in use to the next: without customers, the ranks beyond a share are
    /// never used, so that each request looks into no more queues than before there were any.
    ///
    /// Another thread may miss a request that is being queued for the first time beyond a share;
    /// the call that queues it then serves the queue.
    pub(super) fn rank_step(&self) -> usize {
        if self.has_ranked_by_share.load(Ordering::SeqCst) { 1 } else { SHARES }
    }
}
