//! Cache-aware placement: requests that wait for a server that has cached their object.
//!
//! Addresses a load of many objects, each requested occasionally, on servers that cache few of them
//! and take several times as long on a miss. If each request went to any server with a free slot,
//! it would evict another object there; soon most requests would miss, and slots that sufficed
//! before would be too few. Waiting briefly for the server that has cached the object avoids this.

use std::{cmp::Reverse, sync::atomic::Ordering};

use crossbeam_queue::SegQueue;

use crate::{
    backend::{
        Object, Pool, Server, Waiter,
        pool::{
            Members,
            waiting::{Criteria, QueuedWaiter, Rank},
        },
    },
    prelude::*,
};

/// One in this many slots released to the pool is offered to the shared queue first, even if
/// requests wait for that server, so that requests for uncached objects are not starved.
const SHARED_QUEUE_INTERVAL: u32 = 8;

/// The requests that wait for one server.
#[derive(Debug)]
pub(super) struct ServerQueue<W> {
    in_time: SegQueue<QueuedWaiter<W>>,
    /// Requests in time that are beyond their customer's share.
    beyond_share: SegQueue<QueuedWaiter<W>>,
    /// Requests that can no longer meet their objective; served after all others.
    late: SegQueue<QueuedWaiter<W>>,
}

impl<W> ServerQueue<W> {
    pub(super) fn new() -> ServerQueue<W> {
        ServerQueue {
            in_time: SegQueue::new(),
            beyond_share: SegQueue::new(),
            late: SegQueue::new(),
        }
    }

    fn queue_for(&self, rank: Rank) -> &SegQueue<QueuedWaiter<W>> {
        match (rank.is_late(), rank.is_beyond_share()) {
            (true, _) => &self.late,
            (false, true) => &self.beyond_share,
            (false, false) => &self.in_time,
        }
    }

    fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.beyond_share.is_empty() && self.late.is_empty()
    }

    /// Number of waiters that would be served before one of `rank`.
    fn len_before(&self, rank: Rank) -> usize {
        let is_first = !rank.is_late() && !rank.is_beyond_share();
        let beyond_share = if is_first { 0 } else { self.beyond_share.len() };
        let late = if rank.is_late() { self.late.len() } else { 0 };
        self.in_time.len() + beyond_share + late
    }

    fn pop(&self) -> Option<QueuedWaiter<W>> {
        self.in_time.pop().or_else(|| self.beyond_share.pop()).or_else(|| self.late.pop())
    }
}

/// The next waiter of a server's queue.
enum Next<W> {
    Waiter(QueuedWaiter<W>),
    Empty,
    /// Whether the next one may have the slot is not known at the origin of the clock.
    Undecided,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub enum Placement {
    /// To this server, on which a slot is already taken.
    Taken(Arc<Server>),
    /// To the queue of this server; see [`Pool::enqueue_for_server`].
    ServerQueue(Arc<Server>),
    /// To any server with a free slot, or to the shared queue.
    AnyServer,
}

impl<W: Waiter> Pool<W> {
    /// Chooses a server that has cached the object of a request, if one has a free slot or its
    /// expected wait is at most `max_wait`.
    pub fn place(
        &self,
        criteria: &Criteria,
        rank: Rank,
        max_wait: Duration,
        now: Instant,
    ) -> Placement {
        let Some(object) = criteria.object else { return Placement::AnyServer };
        // Most released slots go to the queue of their server first, so that a customer beyond its
        // share would precede those that wait in the shared queue.
        if rank.is_beyond_share() && !self.is_queue_empty() {
            return Placement::AnyServer;
        }
        self.placed.fetch_add(1, Ordering::Relaxed);
        let members = self.members.load();
        let (mut most_free, mut shortest_wait) = (None, None);
        let caching =
            members.iter().filter(|(server, _)| self.is_preferred(server, object, criteria, now));
        for (server, queue) in caching {
            let wait = self.expected_wait(server, queue.len_before(rank));
            if shortest_wait.is_none_or(|(shortest, _)| wait < shortest) {
                shortest_wait = Some((wait, server));
            }
            let free = server.free();
            // If always the same one of several idle servers were chosen, all objects that they
            // have in common would be requested of that server.
            let key = (free, Reverse(server.last_object_use()));
            if free > 0 && queue.is_empty() && most_free.is_none_or(|(most, _)| key > most) {
                most_free = Some((key, server));
            }
        }
        let Some((wait, server)) = shortest_wait else { return Placement::AnyServer };
        if let Some((_, server)) = most_free
            && self.try_acquire_slot(server, criteria.sender, now)
        {
            return Placement::Taken(Arc::clone(server));
        }
        match wait <= max_wait {
            true => Placement::ServerQueue(Arc::clone(server)),
            false => Placement::AnyServer,
        }
    }

    /// Queues a waiter for one server; it is refused if the server is no longer in the pool. The
    /// waiter may cancel at any time.
    pub fn enqueue_for_server(
        &self,
        waiter: W,
        server: &Arc<Server>,
        rank: Rank,
        limit: Duration,
        now: Instant,
    ) {
        let members = self.members.load();
        let queued =
            QueuedWaiter { waiter, rank, criteria: Criteria::default(), since: now, limit };
        match members.queue_of(server) {
            Some(queue) => {
                // Counted first: other threads count down as soon as it is in the queue.
                self.in_server_queues.fetch_add(1, Ordering::SeqCst);
                queue.queue_for(rank).push(queued);
                self.serve_server_queue(server, queue, now);
                let current = self.members.load();
                if !current.queue_of(server).is_some_and(|current| Arc::ptr_eq(current, queue)) {
                    // The server was removed meanwhile, maybe after its queue had been emptied.
                    self.refuse_all(queue);
                }
            }
            // The server was removed after it was chosen.
            None => queued.waiter.refuse(),
        }
    }

    /// Whether a server meets `criteria`, has cached the object and is neither suspect nor slow.
    fn is_preferred(
        &self,
        server: &Server,
        object: Object,
        criteria: &Criteria,
        now: Instant,
    ) -> bool {
        criteria.allows(server, now)
            && self.cache_model.is_cached(server.reuse_distance(object))
            && self.is_responsive(server)
            && takes_requests(server, now)
    }

    fn expected_wait(&self, server: &Server, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.mean_latency().saturating_mul(ahead) / server.own_slots().max(1)
    }

    /// Hands free slots of a server to the waiters of its queue.
    pub(super) fn serve_server_queue(
        &self,
        server: &Arc<Server>,
        queue: &ServerQueue<W>,
        now: Instant,
    ) {
        if !queue.is_empty() && !server.accepts_requests() {
            // They would wait in vain; the callers choose another server.
            return self.refuse_all(queue);
        }
        while !queue.is_empty() && self.try_acquire_slot(server, None, now) {
            let queued = self.pop_server_queue(server, queue, now);
            let is_undecided = matches!(queued, Next::Undecided);
            let is_granted = match queued {
                Next::Waiter(queued) => queued.waiter.grant(Arc::clone(server)).is_ok(),
                Next::Empty | Next::Undecided => false,
            };
            if !is_granted {
                server.release_slot();
                self.limiter().release();
            }
            if is_undecided {
                return;
            }
        }
    }

    /// Hands free slots of all servers to the waiters of their queues.
    pub(super) fn serve_server_queues(&self, now: Instant) {
        if self.in_server_queues.load(Ordering::SeqCst) == 0 {
            return;
        }
        let members = self.members.load();
        members.iter().for_each(|(server, queue)| self.serve_server_queue(server, queue, now));
    }

    /// Hands a released slot of a server to the waiters of its queue.
    pub(super) fn serve_queue_of(&self, server: &Server, now: Instant) {
        if self.in_server_queues.load(Ordering::SeqCst) == 0 {
            return;
        }
        let members = self.members.load();
        let member = members.iter().find(|(member, _)| std::ptr::eq(&***member, server));
        if let Some((server, queue)) = member {
            self.serve_server_queue(server, queue, now);
        }
    }

    /// Whether a released slot goes to the shared queue first.
    pub(super) fn is_shared_queue_turn(&self) -> bool {
        self.returned_slots.fetch_add(1, Ordering::Relaxed).is_multiple_of(SHARED_QUEUE_INTERVAL)
    }

    fn pop_server_queue(&self, server: &Server, queue: &ServerQueue<W>, now: Instant) -> Next<W> {
        loop {
            let Some(queued) = queue.pop() else { return Next::Empty };
            self.in_server_queues.fetch_sub(1, Ordering::SeqCst);
            let sender = queued.waiter.sender();
            if !queued.has_waited_over(100, now) && server.notice().try_pass(sender, now) {
                return Next::Waiter(queued);
            }
            if now == Instant::ZERO {
                // Times that have ended long since look as if they lay ahead.
                self.in_server_queues.fetch_add(1, Ordering::SeqCst);
                queue.queue_for(queued.rank).push(queued);
                return Next::Undecided;
            }
            queued.waiter.refuse();
        }
    }

    /// Refuses the waiters of servers that accept no more requests; the caller then chooses another
    /// server.
    pub(super) fn refuse_unservable(&self, previous: &Members<W>) {
        let members = self.members.load();
        for (server, queue) in previous.iter() {
            let is_usable = members.queue_of(server).is_some() && server.own_slots() > 0;
            if is_usable && server.accepts_requests() {
                continue;
            }
            self.refuse_all(queue);
        }
    }

    fn refuse_all(&self, queue: &ServerQueue<W>) {
        while let Some(queued) = queue.pop() {
            self.in_server_queues.fetch_sub(1, Ordering::SeqCst);
            queued.waiter.refuse();
        }
    }
}

/// Whether a server accepts requests now, free slots aside.
pub(super) fn takes_requests(server: &Server, now: Instant) -> bool {
    let is_usable = server.accepts_requests() && server.own_slots() > 0;
    is_usable && server.cold().is_open(now) && !server.is_avoided(now)
}
