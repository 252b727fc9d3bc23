//! The servers of one service in one region, and the queue of requests before them.

mod locality;
mod waiting;

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use crossbeam_queue::SegQueue;

pub use locality::Placement;
pub use waiting::{Rank, Waiter, Wish};

use crate::{
    backend::{Object, Recall, Server, Warmth},
    entry::rank,
    prelude::*,
    region::Gate,
};

use locality::Lane;
use waiting::{Place, RANKS};

/// How many times the typical latency makes a server slow, in percent.
const SLOW_PERCENT: u64 = 250;

/// The most that one answer counts, in times of the typical latency, so that one request that
/// runs long by itself does not make its server slow.
const MAX_SAMPLE: u32 = 8;

/// The part by which one answer moves the typical latency, as a divisor.
const TYPICAL_DIVISOR: u64 = 64;

/// The part by which one answer moves the mean latency, as a divisor.
const MEAN_DIVISOR: u64 = 32;

/// The part of its limit, in percent, after which a waiter shows that the queue is hopeless.
const HOPELESS_PERCENT: u32 = 90;

/// The part of its limit, in percent, that a waiter may have waited in a hopeless queue.
const FRESH_PERCENT: u32 = 5;

/// How long an object may be unused until it is no loss if its server forgets it.
const UNUSED_AFTER: Duration = Duration::from_millis(5_000);

/// The grain in which the last uses of objects are compared.
const USE_GRAIN: Duration = Duration::from_millis(500);

/// What becomes of waiters when the queue is too long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Overload {
    /// Once a waiter has waited nearly as long as he may, only fresh ones are served until the
    /// queue has been empty.
    #[default]
    Cut,
    /// Waiters are admitted by the expected wait, so that each is served or expires.
    Admit,
}

/// Dispatches requests to servers, first come first served within a rank.
///
/// A slot is taken before a waiter is taken from the queue, and the queue is looked at again
/// after every return of a slot, so no waiter is left behind while a slot is free. Nothing here
/// takes a lock: the queue and all counts are atomics, and a waiter sleeps on its own signal.
#[derive(Debug)]
pub struct Pool<W> {
    members: ArcSwap<Members<W>>,
    gate: Gate,
    queues: [SegQueue<Place<W>>; RANKS],
    overload: Overload,
    /// Whether the queue has been hopeless since it was last empty.
    overloaded: AtomicBool,
    turn: AtomicU32,
    /// Counts slots that were given back. It is not `turn`: two steps for each request would begin
    /// every choice between two servers with the same one.
    returned: AtomicU32,
    /// Those who wait for one server each.
    in_lanes: AtomicU32,
    warmth: Warmth,
    placed: AtomicU64,
    typical_nanos: AtomicU64,
    mean_nanos: AtomicU64,
}

/// The servers, and who waits for each.
#[derive(Debug)]
struct Members<W> {
    servers: Arc<Vec<Arc<Server>>>,
    lanes: Vec<Arc<Lane<W>>>,
}

impl<W> Members<W> {
    fn iter(&self) -> impl Iterator<Item = (&Arc<Server>, &Arc<Lane<W>>)> {
        self.servers.iter().zip(&self.lanes)
    }

    fn lane_of(&self, server: &Arc<Server>) -> Option<&Arc<Lane<W>>> {
        let member = self.iter().find(|(member, _)| Arc::ptr_eq(member, server));
        member.map(|(_, lane)| lane)
    }
}

impl<W> Default for Members<W> {
    fn default() -> Members<W> {
        Members { servers: Arc::default(), lanes: Vec::new() }
    }
}

impl<W: Waiter> Pool<W> {
    /// A pool with no servers that cuts a hopeless queue.
    pub fn new() -> Pool<W> {
        Pool::with_overload(Overload::Cut)
    }

    /// A pool with no servers.
    pub fn with_overload(overload: Overload) -> Pool<W> {
        Pool {
            members: ArcSwap::default(),
            gate: Gate::new(0),
            queues: [const { SegQueue::new() }; RANKS],
            overload,
            overloaded: AtomicBool::new(false),
            turn: AtomicU32::new(0),
            returned: AtomicU32::new(0),
            in_lanes: AtomicU32::new(0),
            warmth: Warmth::new(),
            placed: AtomicU64::new(0),
            typical_nanos: AtomicU64::new(0),
            mean_nanos: AtomicU64::new(0),
        }
    }

    /// Replaces the servers and the ceiling; servers that stay keep their counts.
    pub fn update(&self, servers: Vec<Arc<Server>>, ceiling: u32) {
        let before = self.members.load_full();
        let lane = |server| before.lane_of(server).cloned();
        let lanes =
            servers.iter().map(|server| lane(server).unwrap_or_else(|| Arc::new(Lane::new())));
        let lanes = lanes.collect();
        self.members.store(Arc::new(Members { servers: Arc::new(servers), lanes }));
        self.gate.set_ceiling(ceiling);
        self.dissolve(&before);
        // At the origin of the clock nobody has waited yet, so that nobody is refused.
        self.pump(Instant::ZERO);
    }

    /// The servers in force.
    pub fn servers(&self) -> Arc<Vec<Arc<Server>>> {
        Arc::clone(&self.members.load().servers)
    }

    /// The count of requests in flight.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Whether no request is admitted although there is a server that could take one.
    pub fn is_held(&self) -> bool {
        self.gate.limit() == 0
            && self.members.load().servers.iter().any(|server| !server.is_leaving())
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(SegQueue::len).sum()
    }

    /// Requests that wait and would be served before one of `rank`.
    pub fn queued_before(&self, rank: Rank) -> usize {
        let common: usize =
            self.queues.iter().take(usize::from(rank.0) + 1).map(SegQueue::len).sum();
        common + self.in_lanes.load(Ordering::Relaxed) as usize
    }

    /// Requests about objects that were placed here since the start.
    pub fn placed(&self) -> u64 {
        self.placed.load(Ordering::Relaxed)
    }

    /// What answers have told of objects that servers know.
    pub fn warmth(&self) -> &Warmth {
        &self.warmth
    }

    /// The mean time for which requests hold a slot, or zero before the first answer.
    pub fn mean_latency(&self) -> Duration {
        Duration::from_nanos(self.mean_nanos.load(Ordering::Relaxed))
    }

    fn is_queue_empty(&self) -> bool {
        self.queues.iter().all(SegQueue::is_empty)
    }

    /// Takes the latency of an answer into account.
    pub fn observe(&self, server: &Server, latency: Duration) {
        self.observe_recalled(server, None, latency);
    }

    /// Takes the latency of an answer into account; `recall` says how well the server knew the
    /// object of the request when it was sent.
    pub fn observe_recalled(&self, server: &Server, recall: Option<Recall>, latency: Duration) {
        let sample = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        // Steps of one size up and down end where as many answers are faster as are slower.
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
        let latency = match recall {
            Some(recall) => {
                self.warmth.observe(recall, latency);
                self.relative(recall, latency)
            }
            None => latency,
        };
        server.observe(latency.min(self.typical_latency().saturating_mul(MAX_SAMPLE)));
    }

    /// The latency that a request would have had if it were a usual one: a server is not slow
    /// because it was sent objects that it does not know.
    fn relative(&self, recall: Recall, latency: Duration) -> Duration {
        let Some((known, unknown)) = self.warmth.latencies() else { return latency };
        let expected = if self.warmth.is_warm(recall) { known } else { unknown };
        let typical = self.typical_nanos.load(Ordering::Relaxed);
        let nanos = latency.as_nanos().saturating_mul(typical.into()) / expected.as_nanos().max(1);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// The median latency of all servers together, or zero before the first answer.
    pub fn typical_latency(&self) -> Duration {
        Duration::from_nanos(self.typical_nanos.load(Ordering::Relaxed))
    }

    /// Takes a slot at once if nobody waits before.
    pub fn try_acquire(&self) -> Option<Arc<Server>> {
        if self.is_queue_empty() { self.take(Instant::ZERO) } else { None }
    }

    /// Takes a slot at once for a request with a wish, if nobody waits before.
    pub fn try_acquire_for(&self, wish: &Wish, now: Instant) -> Option<Arc<Server>> {
        if !self.is_queue_empty() {
            return None;
        }
        self.take_where(wish.object, now, |server| wish.allows(server))
    }

    /// Takes a slot on a server other than `not`, for a retry or a hedge.
    pub fn try_acquire_other(&self, not: &Server) -> Option<Arc<Server>> {
        if !self.is_queue_empty() {
            return None;
        }
        self.take_where(None, Instant::ZERO, |server| !std::ptr::eq(server, not))
    }

    /// Queues a waiter, who is granted a free slot in turn or refused under overload.
    ///
    /// `limit` is how long it would wait; it may give up by itself at any time.
    pub fn enqueue(&self, waiter: W, limit: Duration, now: Instant) {
        self.enqueue_ranked(waiter, Rank::default(), Wish::default(), limit, now);
    }

    /// Queues a waiter behind those of its rank.
    pub fn enqueue_ranked(&self, waiter: W, rank: Rank, wish: Wish, limit: Duration, now: Instant) {
        if self.is_queue_empty() {
            self.overloaded.store(false, Ordering::Relaxed);
        }
        self.queues[usize::from(rank.0)].push(Place { waiter, rank, wish, since: now, limit });
        self.serve_queue(now);
    }

    /// Gives a slot back and hands it to the next waiter.
    pub fn release(&self, server: &Server, now: Instant) {
        server.give_back();
        self.gate.leave();
        if self.is_common_turn() {
            self.serve_queue(now);
        }
        self.serve_lane_of(server, now);
        self.serve_queue(now);
    }

    /// Hands free slots to waiters; also called by a timer, as cold servers free up with time.
    pub fn pump(&self, now: Instant) {
        self.serve_lanes(now);
        self.serve_queue(now);
    }

    /// Hands free slots to those who wait for any server.
    fn serve_queue(&self, now: Instant) {
        while !self.is_queue_empty() {
            let Some(server) = self.take(now) else { return };
            let granted = match self.next_place(now) {
                Some(place) => {
                    let server = self.exchange(server, &place.wish, now);
                    if place.wish.is_bound && server.is_borrowed() {
                        // Nothing near is free; the waiter keeps its limit, behind its rank.
                        server.give_back();
                        self.gate.leave();
                        self.queues[usize::from(place.rank.0)].push(place);
                        return;
                    }
                    place.waiter.grant(server)
                }
                None => Err(server),
            };
            if let Err(server) = granted {
                server.give_back();
                self.gate.leave();
            }
        }
    }

    /// The next waiter. Once the queue was hopeless, and until it has been empty, those who
    /// did not come lately are refused.
    ///
    /// Without that, an overload would leave a queue in which everybody waits nearly as long
    /// as he can, and it would stay for long after; see `docs/MEASURES.md`, "Overload".
    fn next_place(&self, now: Instant) -> Option<Place<W>> {
        let mut place = self.pop()?;
        if self.overload == Overload::Admit {
            while place.is_older(100, now) {
                place.waiter.refuse();
                place = self.pop()?;
            }
            return Some(place);
        }
        if place.is_older(HOPELESS_PERCENT, now) {
            self.overloaded.store(true, Ordering::Relaxed);
        }
        if self.overloaded.load(Ordering::Relaxed) {
            while place.is_older(FRESH_PERCENT, now) {
                place.waiter.refuse();
                place = self.pop()?;
            }
        }
        Some(place)
    }

    fn pop(&self) -> Option<Place<W>> {
        self.queues.iter().find_map(SegQueue::pop)
    }

    /// Exchanges a slot that is taken for a free one that suits the request better: one of a
    /// server that knows its object, or of another server than the one that failed it.
    fn exchange(&self, taken: Arc<Server>, wish: &Wish, now: Instant) -> Arc<Server> {
        let has_failed = !wish.allows(&taken);
        let knows = |server: &Server, object| self.warmth.is_warm(server.recall(object));
        let is_warm = wish.object.is_none_or(|object| knows(&taken, object));
        if !has_failed && is_warm {
            return taken;
        }
        let suits = |server: &Server| {
            wish.allows(server)
                && (has_failed || wish.object.is_some_and(|object| knows(server, object)))
        };
        let servers = self.servers();
        while let Some(server) = self.best(&servers, wish.object, now, suits) {
            if server.try_take() {
                if server.cold().try_pass(now) {
                    taken.give_back();
                    return Arc::clone(server);
                }
                server.give_back();
            }
        }
        taken
    }

    fn take(&self, now: Instant) -> Option<Arc<Server>> {
        self.take_where(None, now, |_| true)
    }

    fn take_where(
        &self,
        object: Option<Object>,
        now: Instant,
        usable: impl Fn(&Server) -> bool,
    ) -> Option<Arc<Server>> {
        if !self.gate.try_enter() {
            return None;
        }
        let servers = self.servers();
        // A lost race for the last slot of a server means that another request got it, so the
        // loop ends after at most as many rounds as there are slots.
        while let Some(server) = self.best(&servers, object, now, &usable) {
            if server.try_take() {
                if server.cold().try_pass(now) {
                    return Some(Arc::clone(server));
                }
                server.give_back();
            }
        }
        self.gate.leave();
        None
    }

    /// Takes a slot of this server.
    fn try_take(&self, server: &Server, now: Instant) -> bool {
        if !self.gate.try_enter() {
            return false;
        }
        if server.try_take() {
            if server.cold().try_pass(now) {
                return true;
            }
            server.give_back();
        }
        self.gate.leave();
        false
    }

    /// The server with the most free slots, or the one that suits an object best; among equals
    /// the turn decides.
    ///
    /// Suspect and slow servers come last and are not shut out: the ceiling leaves some slots
    /// idle, and those are then theirs, but under pressure every slot counts.
    fn best<'a>(
        &self,
        servers: &'a [Arc<Server>],
        object: Option<Object>,
        now: Instant,
        usable: impl Fn(&Server) -> bool,
    ) -> Option<&'a Arc<Server>> {
        if servers.is_empty() {
            return None;
        }
        let start = self.turn.fetch_add(1, Ordering::Relaxed) as usize % servers.len();
        let (behind, ahead) = servers.split_at(start);
        let candidates = ahead.iter().chain(behind).filter(|server| usable(server));
        let free =
            candidates.filter(|server| server.free() > 0 && locality::takes_requests(server, now));
        // Equal servers are told apart by a rank of the object, so that its requests meet again.
        let affinity = |server: &Server| match object {
            None => 0,
            Some(object) => rank::weight_for_hash(object.hash(), server.identity.name.as_str()),
        };
        free.max_by_key(|server| {
            let recall = object.map(|object| server.recall(object));
            let is_known = recall.is_some_and(|recall| self.warmth.is_warm(recall));
            // A server that two regions use has to remember the objects of both.
            let is_near = (!server.is_borrowed(), !server.is_shared());
            let speed = (!server.is_suspect(), self.is_quick(server));
            let room = if object.is_some() { self.room(server, now) } else { 0 };
            // The last free slot is left to requests for objects that the server knows.
            let is_last = object.is_some() && server.free() == 1;
            (speed, is_known, is_near, !is_last, room, affinity(server), server.free())
        })
    }

    /// Whether a server neither failed lately nor is much slower than others.
    fn is_swift(&self, server: &Server) -> bool {
        !server.is_suspect() && self.is_quick(server)
    }

    fn is_quick(&self, server: &Server) -> bool {
        let typical = self.typical_nanos.load(Ordering::Relaxed);
        server.latency() <= Duration::from_nanos(typical.saturating_mul(SLOW_PERCENT) / 100)
    }

    /// How little is lost if a server is sent a new object: the time, in grains, for which the
    /// object that it would forget has not been used.
    fn room(&self, server: &Server, now: Instant) -> u128 {
        let forgotten = server.last_use_of_next_forgotten(self.warmth.depth());
        let unused = forgotten.map_or(UNUSED_AFTER, |at| now.since(at).min(UNUSED_AFTER));
        unused.as_nanos() / USE_GRAIN.as_nanos()
    }
}

impl<W: Waiter> Default for Pool<W> {
    fn default() -> Pool<W> {
        Pool::new()
    }
}
