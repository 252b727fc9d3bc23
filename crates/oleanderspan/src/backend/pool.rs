//! The servers of one service in one region, and the queues of requests that wait for their slots.

mod failure_rate;
mod locality;
mod priority;
mod sharing;
mod waiting;

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use crossbeam_queue::SegQueue;

pub use failure_rate::FailureRate;
pub use locality::Placement;
pub use priority::LessUrgent;
pub use waiting::{Criteria, Rank, Waiter};

use crate::{
    backend::{CacheModel, Object, ReuseDistance, Sender, Server},
    customer::Shares,
    entry::rank,
    prelude::*,
    region::{self, Limiter},
};

use locality::ServerQueue;
use priority::AdmittedWaits;
use waiting::{QueuedWaiter, RANKS, Unservable};

/// A server whose latency exceeds this percentage of the pool's typical latency counts as slow.
const SLOW_PERCENT: u64 = 250;

/// Upper bound of one latency sample, as a multiple of the typical latency, so that a single
/// long-running request does not make its server count as slow.
const MAX_SAMPLE_RATIO: u32 = 8;

/// Each answer moves the typical latency by this fraction (divisor).
const TYPICAL_DIVISOR: u64 = 64;

/// Weight of one answer in the mean latency (divisor).
const MEAN_DIVISOR: u64 = 32;

/// Once a waiter has spent this percentage of its limit in the queue, the pool is overloaded.
const OVERLOAD_WAIT_PERCENT: u32 = 90;

/// Under overload, waiters that have spent more than this percentage of their limit are refused.
const MAX_OVERLOADED_WAIT_PERCENT: u32 = 5;

/// Upper bound of the eviction age: forgetting an object unused for this long costs nothing.
const MAX_EVICTION_AGE: Duration = Duration::from_millis(5_000);

/// Resolution at which eviction ages are compared.
const EVICTION_AGE_STEP: Duration = Duration::from_millis(500);

/// How the queue behaves under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadPolicy {
    /// Once a waiter has used most of its limit, refuses all but recently queued waiters until the
    /// queue has been empty.
    #[default]
    ShedStale,
    /// Serves every waiter whose limit has not expired. Admission by expected wait, before a
    /// request is queued, keeps the queue short.
    ServeUntilLimit,
}

/// Dispatches requests to servers, first come first served within a rank.
///
/// The queue is served after every event that may free a slot, so no waiter is left behind while a
/// slot that it may use is free. No operation takes a lock: the queues and all counts are atomics,
/// and each waiter is woken by its own signal.
#[derive(Debug)]
pub struct Pool<W> {
    /// The region whose servers are preferred; `None` if all are equally near.
    region: Option<region::Index>,
    members: ArcSwap<Members<W>>,
    limiter: Limiter,
    queues: [SegQueue<QueuedWaiter<W>>; RANKS],
    /// Waiters that were passed over because they could use none of the free slots. They precede
    /// the other waiters of their rank as soon as a slot that suits them is free.
    passed_over: [SegQueue<QueuedWaiter<W>>; RANKS],
    /// Number of calls to serve the queue that the thread serving it has yet to cover.
    serve_calls: AtomicU32,
    /// The latest time of such a call, in nanoseconds of the clock.
    serve_nanos: AtomicU64,
    examined: AtomicU64,
    overload: OverloadPolicy,
    /// Whether the pool has been overloaded since the queue was last empty.
    overloaded: AtomicBool,
    next_server: AtomicU32,
    /// Number of released slots. Separate from `next_server`: if each request advanced one counter
    /// twice, every choice between two servers would start with the same one.
    returned_slots: AtomicU32,
    /// Number of waiters in all server queues.
    in_server_queues: AtomicU32,
    cache_model: CacheModel,
    shares: Shares,
    /// Whether any request beyond its customer's share has been queued in the shared queue.
    has_ranked_by_share: AtomicBool,
    admitted_waits: AdmittedWaits,
    failure_rate: FailureRate,
    placed: AtomicU64,
    typical_nanos: AtomicU64,
    mean_nanos: AtomicU64,
}

/// The servers, each with the queue of requests that wait for it alone.
#[derive(Debug)]
struct Members<W> {
    servers: Arc<Vec<Arc<Server>>>,
    server_queues: Vec<Arc<ServerQueue<W>>>,
}

impl<W> Members<W> {
    fn iter(&self) -> impl Iterator<Item = (&Arc<Server>, &Arc<ServerQueue<W>>)> {
        self.servers.iter().zip(&self.server_queues)
    }

    fn queue_of(&self, server: &Arc<Server>) -> Option<&Arc<ServerQueue<W>>> {
        let member = self.iter().find(|(member, _)| Arc::ptr_eq(member, server));
        member.map(|(_, queue)| queue)
    }
}

impl<W> Default for Members<W> {
    fn default() -> Members<W> {
        Members { servers: Arc::default(), server_queues: Vec::new() }
    }
}

impl<W: Waiter> Pool<W> {
    /// A pool without servers that follows [`OverloadPolicy::ShedStale`].
    pub fn new() -> Pool<W> {
        Pool::with_overload(OverloadPolicy::ShedStale)
    }

    /// A pool without servers.
    pub fn with_overload(overload: OverloadPolicy) -> Pool<W> {
        Pool::build(None, overload)
    }

    /// A pool without servers for the requests of a region, which may borrow servers of others.
    pub fn for_region(region: region::Index, overload: OverloadPolicy) -> Pool<W> {
        Pool::build(Some(region), overload)
    }

    fn build(region: Option<region::Index>, overload: OverloadPolicy) -> Pool<W> {
        Pool {
            region,
            members: ArcSwap::default(),
            limiter: Limiter::new(0),
            queues: [const { SegQueue::new() }; RANKS],
            passed_over: [const { SegQueue::new() }; RANKS],
            serve_calls: AtomicU32::new(0),
            serve_nanos: AtomicU64::new(0),
            examined: AtomicU64::new(0),
            overload,
            overloaded: AtomicBool::new(false),
            next_server: AtomicU32::new(0),
            returned_slots: AtomicU32::new(0),
            in_server_queues: AtomicU32::new(0),
            cache_model: CacheModel::new(),
            shares: Shares::default(),
            has_ranked_by_share: AtomicBool::new(false),
            admitted_waits: AdmittedWaits::default(),
            failure_rate: FailureRate::default(),
            placed: AtomicU64::new(0),
            typical_nanos: AtomicU64::new(0),
            mean_nanos: AtomicU64::new(0),
        }
    }

    /// Replaces the servers and the ceiling of requests in flight; servers that stay keep their
    /// counts.
    pub fn update(&self, servers: Vec<Arc<Server>>, ceiling: u32) {
        let previous = self.members.load_full();
        let queue = |server| previous.queue_of(server).cloned();
        let server_queues = servers
            .iter()
            .map(|server| queue(server).unwrap_or_else(|| Arc::new(ServerQueue::new())));
        let server_queues = server_queues.collect();
        self.members.store(Arc::new(Members { servers: Arc::new(servers), server_queues }));
        self.limiter.set_ceiling(ceiling);
        self.refuse_unservable(&previous);
        // No waiter has waited at the origin of the clock, so this call refuses none.
        self.serve_waiting(Instant::ZERO);
    }

    /// The servers set by the latest [`Pool::update`].
    pub fn servers(&self) -> Arc<Vec<Arc<Server>>> {
        Arc::clone(&self.members.load().servers)
    }

    /// Whether the slots of a server are borrowed from another region.
    pub fn is_borrowed(&self, server: &Server) -> bool {
        self.region.is_some_and(|region| region != server.location.region)
    }

    /// The limit and the count of requests in flight.
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// Whether the ceiling admits no request although some server is not leaving.
    pub fn is_held(&self) -> bool {
        self.limiter.limit() == 0
            && self.members.load().servers.iter().any(|server| !server.is_leaving())
    }

    /// Number of requests in the shared queue, without those that wait for a single server.
    pub fn queued(&self) -> usize {
        self.queues.iter().chain(&self.passed_over).map(SegQueue::len).sum()
    }

    /// Number of waiting requests that would be served before one of `rank`, by the servers that
    /// the region of `criteria` allows.
    pub fn queued_before(&self, rank: Rank, criteria: &Criteria) -> usize {
        let length = |queues: &[SegQueue<_>]| -> usize {
            queues.iter().take(usize::from(rank.0) + 1).map(SegQueue::len).sum()
        };
        let common = length(&self.queues) + self.in_server_queues.load(Ordering::Relaxed) as usize;
        if criteria.region.is_none() {
            return common;
        }
        // The other waiters use all slots alike, so only a part of them competes for these.
        let (mut allowed, mut total) = (0, 0);
        for server in self.members.load().servers.iter() {
            let slots = server.own_slots() as usize;
            total += slots;
            allowed += if criteria.allows_region_of(server) { slots } else { 0 };
        }
        length(&self.passed_over) + common * allowed / total.max(1)
    }

    /// Number of times that a waiter of the shared queue was compared with the free slots since the
    /// start of the process.
    pub fn examined(&self) -> u64 {
        self.examined.load(Ordering::Relaxed)
    }

    /// Number of requests with an object that were placed since the start of the process.
    pub fn placed(&self) -> u64 {
        self.placed.load(Ordering::Relaxed)
    }

    /// The estimate of how many objects a server caches, and of the latency of hits and misses.
    pub fn cache_model(&self) -> &CacheModel {
        &self.cache_model
    }

    /// Mean time that a request holds a slot; zero before the first answer.
    pub fn mean_latency(&self) -> Duration {
        Duration::from_nanos(self.mean_nanos.load(Ordering::Relaxed))
    }

    fn is_queue_empty(&self) -> bool {
        self.queues.iter().step_by(self.rank_step()).all(SegQueue::is_empty)
    }

    fn has_passed_over(&self) -> bool {
        !self.passed_over.iter().step_by(self.rank_step()).all(SegQueue::is_empty)
    }

    /// Whether some slot is free.
    fn has_free(&self, now: Instant) -> bool {
        self.limiter.in_flight() < self.limiter.limit()
            && self.best_server(&self.servers(), None, now, |_| true).is_some()
    }

    /// Records the latency of an answer to a request without an object.
    pub fn observe(&self, server: &Server, latency: Duration) {
        self.observe_for_object(server, None, latency);
    }

    /// Records the latency of an answer; `reuse_distance` is that of the request's object when the
    /// request was sent, or `None` if it has no object.
    pub fn observe_for_object(
        &self,
        server: &Server,
        reuse_distance: Option<ReuseDistance>,
        latency: Duration,
    ) {
        self.failure_rate.record(false);
        let sample = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        // Steps of equal size up and down converge to the median.
        let step = |typical: u64| match typical {
            0 => Some(sample),
            _ if sample > typical => Some(typical + typical / TYPICAL_DIVISOR),
            _ => Some(typical - typical / TYPICAL_DIVISOR),
        };
        let _ = self.typical_nanos.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        let mean = |mean: u64| match mean {
            0 => Some(sample),
            _ => Some(mean - mean / MEAN_DIVISOR + sample / MEAN_DIVISOR),
        };
        let _ = self.mean_nanos.fetch_update(Ordering::Relaxed, Ordering::Relaxed, mean);
        let latency = match reuse_distance {
            Some(reuse_distance) => {
                self.cache_model.observe(reuse_distance, latency);
                self.normalized(reuse_distance, latency)
            }
            None => latency,
        };
        server.observe(latency.min(self.typical_latency().saturating_mul(MAX_SAMPLE_RATIO)));
    }

    /// Scales a latency by the expected latency of a cache hit or miss, so that a server does not
    /// count as slow because it was sent objects that it has not cached.
    fn normalized(&self, reuse_distance: ReuseDistance, latency: Duration) -> Duration {
        let Some((known, unknown)) = self.cache_model.latencies() else { return latency };
        let expected = if self.cache_model.is_cached(reuse_distance) { known } else { unknown };
        let typical = self.typical_nanos.load(Ordering::Relaxed);
        let nanos = latency.as_nanos().saturating_mul(typical.into()) / expected.as_nanos().max(1);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// How often requests fail, over all servers.
    pub fn failure_rate(&self) -> &FailureRate {
        &self.failure_rate
    }

    /// Records that a request failed on a server.
    pub fn observe_failure(&self, server: &Server) {
        server.observe_failure();
        self.failure_rate.record(true);
    }

    /// Median latency over all servers; zero before the first answer.
    pub fn typical_latency(&self) -> Duration {
        Duration::from_nanos(self.typical_nanos.load(Ordering::Relaxed))
    }

    /// Takes a free slot, or returns `None` if none is free or requests are queued.
    pub fn try_acquire(&self) -> Option<Arc<Server>> {
        if self.is_queue_empty() {
            self.take_where(None, None, Instant::ZERO, |_| true)
        } else {
            None
        }
    }

    /// Takes a free slot that meets `criteria`, or returns `None` if there is none or requests are
    /// queued.
    pub fn try_acquire_for(&self, criteria: &Criteria, now: Instant) -> Option<Arc<Server>> {
        let is_behind = criteria.region.is_some() && self.has_passed_over();
        if is_behind || !self.is_queue_empty() {
            return None;
        }
        self.take_where(criteria.object, criteria.sender, now, |server| {
            criteria.allows(server, now)
        })
    }

    /// Takes a free slot on a server other than `excluded`, for a retry or a hedged request.
    pub fn try_acquire_other(&self, excluded: &Server) -> Option<Arc<Server>> {
        if !self.is_queue_empty() {
            return None;
        }
        self.take_where(None, None, Instant::ZERO, |server| !std::ptr::eq(server, excluded))
    }

    /// Queues a waiter with the default rank; it is granted a slot in turn or refused under
    /// overload.
    ///
    /// `limit` is how long the waiter may be queued; it may cancel at any time.
    pub fn enqueue(&self, waiter: W, limit: Duration, now: Instant) {
        self.enqueue_ranked(waiter, Rank::default(), Criteria::default(), limit, now);
    }

    /// Queues a waiter behind those of its rank and of lower ranks.
    pub fn enqueue_ranked(
        &self,
        waiter: W,
        rank: Rank,
        criteria: Criteria,
        limit: Duration,
        now: Instant,
    ) {
        if self.is_queue_empty() {
            self.overloaded.store(false, Ordering::Relaxed);
        }
        self.record_rank(rank);
        self.queues[usize::from(rank.0)].push(QueuedWaiter {
            waiter,
            rank,
            criteria,
            since: now,
            limit,
        });
        self.serve_queue(now);
    }

    /// Releases a slot and hands it to the next waiter.
    pub fn release(&self, server: &Server, now: Instant) {
        server.release_slot();
        self.limiter.release();
        if self.is_shared_queue_turn() {
            self.serve_queue(now);
        }
        self.serve_queue_of(server, now);
        self.serve_queue(now);
    }

    /// Hands free slots to waiters. Also called by a timer, because the rate limit of cold servers
    /// admits requests as time passes.
    pub fn serve_waiting(&self, now: Instant) {
        self.serve_server_queues(now);
        self.serve_queue(now);
    }

    /// Hands free slots to the waiters of the shared queue.
    ///
    /// One thread at a time does so, and serves the queue once more for calls made meanwhile. A
    /// waiter that it holds is thus never missed by another thread that has just freed a slot.
    fn serve_queue(&self, now: Instant) {
        self.serve_nanos.fetch_max(now.as_nanos(), Ordering::SeqCst);
        let is_idle = self.serve_calls.load(Ordering::SeqCst) == 0;
        if is_idle && self.is_queue_empty() && !self.has_passed_over() {
            return;
        }
        if self.serve_calls.fetch_add(1, Ordering::SeqCst) > 0 {
            return;
        }
        let (mut covered, mut now) = (1, now);
        // Each round covers at least one further call, so the rounds end with the calls.
        loop {
            self.serve_each(now);
            let done =
                self.serve_calls.compare_exchange(covered, 0, Ordering::SeqCst, Ordering::SeqCst);
            let Err(calls) = done else { return };
            covered = calls;
            now = Instant::from_nanos(self.serve_nanos.load(Ordering::SeqCst));
        }
    }

    /// Compares each waiter with the free slots, in order, until no slot is free.
    fn serve_each(&self, now: Instant) {
        let mut unservable = Unservable::default();
        for (queue, passed_over) in self.queues.iter().zip(&self.passed_over) {
            self.serve_passed_over(passed_over, &mut unservable, now);
            // Waiters that join meanwhile are served by the call of their own thread, so that the
            // count falls with each waiter.
            let mut remaining = queue.len();
            while remaining > 0 && self.has_free(now) {
                remaining -= 1;
                let Some(queued) = queue.pop() else { break };
                if let Some(queued) = self.serve_waiter(queued, &mut unservable, now) {
                    passed_over.push(queued);
                }
            }
        }
    }

    /// Compares the passed-over waiters of a rank with the free slots; those left keep their order.
    fn serve_passed_over(
        &self,
        passed_over: &SegQueue<QueuedWaiter<W>>,
        unservable: &mut Unservable,
        now: Instant,
    ) {
        let mut has_left = false;
        // Only the serving thread adds waiters here, so that each is taken out once.
        for _ in 0..passed_over.len() {
            let has_free = self.has_free(now);
            if !has_free && !has_left {
                return;
            }
            let Some(queued) = passed_over.pop() else { return };
            let left = match has_free {
                true => self.serve_waiter(queued, unservable, now),
                false => Some(queued),
            };
            if let Some(queued) = left {
                passed_over.push(queued);
                has_left = true;
            }
        }
    }

    /// Hands a free slot to a waiter. Returns the waiter if none of the free slots suits it.
    fn serve_waiter(
        &self,
        queued: QueuedWaiter<W>,
        unservable: &mut Unservable,
        now: Instant,
    ) -> Option<QueuedWaiter<W>> {
        self.examined.fetch_add(1, Ordering::Relaxed);
        if self.is_stale(&queued, now) {
            queued.waiter.refuse();
            return None;
        }
        let criteria = &queued.criteria;
        if unservable.contains(criteria) {
            return Some(queued);
        }
        let preferred = |server: &Server| criteria.allows(server, now);
        let usable = |server: &Server| criteria.allows_excluded(server, now);
        let server = self.take_where(None, criteria.sender, now, preferred);
        let server = match criteria.excluded {
            Some(_) => server.or_else(|| self.take_where(None, criteria.sender, now, usable)),
            None => server,
        };
        let Some(server) = server else {
            // At the origin of the clock, times that have ended long since look as if they lay
            // ahead.
            let may_wait = |server: &Arc<Server>| criteria.may_wait_for(server, now);
            if now == Instant::ZERO || self.servers().iter().any(may_wait) {
                unservable.insert(criteria);
                return Some(queued);
            }
            queued.waiter.refuse();
            return None;
        };
        let server = self.swap_for_cached(server, criteria, now);
        if let Err(server) = queued.waiter.grant(server) {
            server.release_slot();
            self.limiter.release();
        }
        None
    }

    /// Whether a waiter has waited too long. From the onset of overload until the queue has been
    /// empty, that holds for all waiters that were not queued recently.
    ///
    /// Otherwise an overload would leave a queue in which every request waits almost as long as its
    /// limit, and which persists long after the overload; see `docs/MEASURES.md`, "Overload".
    fn is_stale(&self, queued: &QueuedWaiter<W>, now: Instant) -> bool {
        if self.overload == OverloadPolicy::ServeUntilLimit {
            return queued.has_waited_over(100, now);
        }
        if queued.has_waited_over(OVERLOAD_WAIT_PERCENT, now) {
            self.overloaded.store(true, Ordering::Relaxed);
        }
        self.overloaded.load(Ordering::Relaxed)
            && queued.has_waited_over(MAX_OVERLOADED_WAIT_PERCENT, now)
    }

    /// Exchanges a taken slot for a free one on a server that has cached the object of the request.
    fn swap_for_cached(
        &self,
        taken: Arc<Server>,
        criteria: &Criteria,
        now: Instant,
    ) -> Arc<Server> {
        let Some(object) = criteria.object else { return taken };
        let has_cached =
            |server: &Server| self.cache_model.is_cached(server.reuse_distance(object));
        if has_cached(&taken) {
            return taken;
        }
        let usable = |server: &Server| criteria.allows(server, now) && has_cached(server);
        match self.take_slot(Some(object), criteria.sender, now, usable) {
            Some(server) => {
                taken.release_slot();
                server
            }
            None => taken,
        }
    }

    fn take_where(
        &self,
        object: Option<Object>,
        sender: Option<Sender>,
        now: Instant,
        usable: impl Fn(&Server) -> bool,
    ) -> Option<Arc<Server>> {
        if !self.limiter.try_acquire() {
            return None;
        }
        let taken = self.take_slot(object, sender, now, usable);
        if taken.is_none() {
            self.limiter.release();
        }
        taken
    }

    /// Takes a slot of the best server, for a request that the ceiling admits.
    fn take_slot(
        &self,
        object: Option<Object>,
        sender: Option<Sender>,
        now: Instant,
        usable: impl Fn(&Server) -> bool,
    ) -> Option<Arc<Server>> {
        let servers = self.servers();
        // Each round either returns or leaves out one more server, so there are at most as many
        // rounds as servers. Another thread that takes the last slot serves the queue later.
        let mut failed: Vec<&Arc<Server>> = Vec::new();
        let is_left = |server: &Server, failed: &[&Arc<Server>]| {
            !failed.iter().any(|failed| std::ptr::eq(&***failed, server))
        };
        loop {
            let best = self.best_server(&servers, object, now, |server| {
                is_left(server, &failed) && usable(server)
            });
            let server = best?;
            if server.try_acquire_slot() {
                if passes(server, sender, now) {
                    return Some(Arc::clone(server));
                }
                server.release_slot();
            }
            failed.push(server);
        }
    }

    /// Takes a slot of this server if the ceiling and the server's cold-start limit admit it.
    fn try_acquire_slot(&self, server: &Server, sender: Option<Sender>, now: Instant) -> bool {
        if !self.limiter.try_acquire() {
            return false;
        }
        if server.try_acquire_slot() {
            if passes(server, sender, now) {
                return true;
            }
            server.release_slot();
        }
        self.limiter.release();
        false
    }

    /// The server with the most free slots, or the one best suited to an object; ties are broken
    /// round-robin.
    ///
    /// Suspect and slow servers rank last but are not excluded: the ceiling normally leaves some
    /// slots idle, which are then those of these servers, but at full load every slot is needed.
    fn best_server<'a>(
        &self,
        servers: &'a [Arc<Server>],
        object: Option<Object>,
        now: Instant,
        usable: impl Fn(&Server) -> bool,
    ) -> Option<&'a Arc<Server>> {
        if servers.is_empty() {
            return None;
        }
        let start = self.next_server.fetch_add(1, Ordering::Relaxed) as usize % servers.len();
        let (behind, ahead) = servers.split_at(start);
        let candidates = ahead.iter().chain(behind).filter(|server| usable(server));
        let free =
            candidates.filter(|server| server.free() > 0 && locality::takes_requests(server, now));
        // Ties are broken by rendezvous weight, so that requests for one object go to the same
        // server.
        let affinity = |server: &Server| match object {
            None => 0,
            Some(object) => rank::weight_for_hash(object.hash(), server.identity.name.as_str()),
        };
        free.max_by_key(|server| {
            let reuse_distance = object.map(|object| server.reuse_distance(object));
            let is_known = reuse_distance
                .is_some_and(|reuse_distance| self.cache_model.is_cached(reuse_distance));
            // A server used by two regions has to cache the objects of both.
            let is_near = (!self.is_borrowed(server), !server.is_shared());
            let speed = (!server.is_suspect(), self.is_fast(server));
            let eviction_age = if object.is_some() { self.eviction_age(server, now) } else { 0 };
            // The last free slot is kept for requests whose object the server has cached.
            let is_last = object.is_some() && server.free() == 1;
            (speed, is_known, is_near, !is_last, eviction_age, affinity(server), server.free())
        })
    }

    /// Whether a server is neither suspect nor slow.
    fn is_responsive(&self, server: &Server) -> bool {
        !server.is_suspect() && self.is_fast(server)
    }

    fn is_fast(&self, server: &Server) -> bool {
        let typical = self.typical_nanos.load(Ordering::Relaxed);
        server.latency() <= Duration::from_nanos(typical.saturating_mul(SLOW_PERCENT) / 100)
    }

    /// The time, in steps of [`EVICTION_AGE_STEP`], since the object that the server would evict
    /// for a new one was last used. A higher value means a cheaper eviction.
    fn eviction_age(&self, server: &Server, now: Instant) -> u128 {
        let forgotten = server.last_use_of_next_evicted(self.cache_model.depth());
        let unused = forgotten.map_or(MAX_EVICTION_AGE, |at| now.since(at).min(MAX_EVICTION_AGE));
        unused.as_nanos() / EVICTION_AGE_STEP.as_nanos()
    }
}

/// Whether the rates that limit a cold server and one after a backoff admit a request.
fn passes(server: &Server, sender: Option<Sender>, now: Instant) -> bool {
    server.notice().try_pass(sender, now) && server.cold().try_pass(now)
}

impl<W: Waiter> Default for Pool<W> {
    fn default() -> Pool<W> {
        Pool::new()
    }
}
