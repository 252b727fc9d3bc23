//! A backend server as seen by a dispatching host.

use std::sync::{
    OnceLock,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use crate::{
    availability::Location,
    backend::{
        self, Notice, cold,
        recent_objects::{Object, RecentObjects, ReuseDistance},
    },
    prelude::*,
};

value! {
    /// A particular start of a server: after a restart, a server has a new identity.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Identity {
        /// The name, which a restarted server may reuse.
        pub name: backend::Name,
        /// The start, as identified by the platform's listing.
        pub incarnation: u64,
    }
}

/// Number of consecutive failed attempts that make a server suspect: it is then chosen only if no
/// other server has a free slot.
const SUSPECT_FAILURES: u32 = 3;

/// Weight of a new sample in the moving average of latency (divisor).
const SAMPLE_DIVISOR: u64 = 8;

/// A backend server and the state that requests change.
///
/// The state outlives a snapshot, so snapshots share it by reference.
#[derive(Debug)]
pub struct Server {
    /// The name and the start of the server.
    pub identity: Identity,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// Where the server runs; it never moves.
    pub location: Location,
    slots: u32,
    in_flight: AtomicU32,
    leaving: AtomicBool,
    notice: Arc<Notice>,
    latency_nanos: AtomicU64,
    failures: AtomicU32,
    answered_at: AtomicU64,
    cold: cold::Limiter,
    evacuated: AtomicBool,
    reserved: AtomicU32,
    avoided_until: AtomicU64,
    /// Allocated with the first object, as most servers receive no requests that have one.
    objects: OnceLock<Box<RecentObjects>>,
}

impl Server {
    /// A server with `slots` slots and no recorded answers.
    pub fn new(identity: Identity, address: SocketAddr, location: Location, slots: u32) -> Server {
        Server {
            identity,
            address,
            location,
            slots,
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            notice: Arc::default(),
            latency_nanos: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            answered_at: AtomicU64::new(0),
            cold: cold::Limiter::warm(),
            evacuated: AtomicBool::new(false),
            reserved: AtomicU32::new(0),
            avoided_until: AtomicU64::new(0),
            objects: OnceLock::new(),
        }
    }

    /// The server with the notice of its start, which other states of that start share.
    pub fn with_notice(self, notice: Arc<Notice>) -> Server {
        Server { notice, ..self }
    }

    /// What this start of the server has said of itself in its answers.
    pub fn notice(&self) -> &Arc<Notice> {
        &self.notice
    }

    /// Takes a slot, or returns `false` if none is free, the server is leaving or its zone is
    /// evacuated.
    pub fn try_acquire_slot(&self) -> bool {
        if !self.accepts_requests() {
            return false;
        }
        self.in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                (n < self.own_slots()).then_some(n + 1)
            })
            .is_ok()
    }

    /// Releases a slot taken by [`Server::try_acquire_slot`].
    pub fn release_slot(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Number of requests from this host that the server is running.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Number of slots free by this host's own count; zero if the server accepts no requests.
    pub fn free(&self) -> u32 {
        let free = self.own_slots().saturating_sub(self.in_flight());
        // Under load most servers have none, so that this is asked first.
        if free > 0 && self.accepts_requests() { free } else { 0 }
    }

    /// Number of slots that this host may hand out.
    pub fn own_slots(&self) -> u32 {
        self.slots.saturating_sub(self.reserved.load(Ordering::SeqCst))
    }

    /// Whether another region allocates some of the slots.
    pub fn is_shared(&self) -> bool {
        self.reserved.load(Ordering::SeqCst) > 0
    }

    /// Sets the number of slots that another region allocates; see [`crate::region::loan`].
    pub fn set_reserved(&self, slots: u32) {
        self.reserved.store(slots, Ordering::SeqCst);
    }

    /// Allocates no slots until `until`, because another host reported the server as unusable.
    pub fn avoid(&self, until: Instant) {
        self.avoided_until.fetch_max(until.as_nanos(), Ordering::Relaxed);
    }

    /// Whether another host's report keeps the server from being used at `now`.
    pub fn is_avoided(&self, now: Instant) -> bool {
        now.as_nanos() < self.avoided_until.load(Ordering::Relaxed)
    }

    /// The rate limit that applies while the server is cold.
    pub fn cold(&self) -> &cold::Limiter {
        &self.cold
    }

    /// Sets whether the server's zone is evacuated, in which case the server accepts no new
    /// requests.
    pub fn set_evacuated(&self, evacuated: bool) {
        self.evacuated.store(evacuated, Ordering::SeqCst);
    }

    /// Whether the server's zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::SeqCst)
    }

    /// Records that the server was sent a request for `object`.
    pub fn record_object(&self, object: Object, now: Instant) {
        self.objects.get_or_init(Box::default).record(object, now);
    }

    /// The number of other objects requested of the server since the last request for `object`.
    pub fn reuse_distance(&self, object: Object) -> ReuseDistance {
        self.objects.get().map_or(ReuseDistance::UNKNOWN, |objects| objects.reuse_distance(object))
    }

    /// The `depth` most recently requested objects, latest first.
    pub fn objects(&self, depth: usize) -> Vec<(Object, Instant)> {
        self.objects.get().map_or_else(Vec::new, |objects| objects.latest(depth))
    }

    /// When the server was last sent a request with an object; the origin of the clock before the
    /// first.
    pub fn last_object_use(&self) -> Instant {
        self.objects.get().map_or(Instant::ZERO, |objects| objects.last_use())
    }

    /// Adds objects recorded by another host, most recently used first, as used at `at`.
    pub fn import_objects(&self, objects: &[Object], at: Instant) {
        self.objects.get_or_init(Box::default).add(objects, at);
    }

    /// Last use of the object that the server would evict for a new one, if it caches `depth`
    /// objects; `None` while it has room.
    pub fn last_use_of_next_evicted(&self, depth: usize) -> Option<Instant> {
        self.objects.get()?.last_use_of_next_evicted(depth)
    }

    /// Total number of slots, including reserved ones.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Marks the server as leaving; this is never undone for this start of the server.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the server was marked as leaving, or has said so in an answer.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst) || self.notice.is_leaving()
    }

    /// Whether the server may be sent requests: it is neither leaving nor evacuated.
    pub fn accepts_requests(&self) -> bool {
        !self.is_leaving() && !self.is_evacuated()
    }

    /// Adds the latency of an answer to the moving average and resets the count of failures.
    pub fn observe(&self, latency: Duration) {
        self.failures.store(0, Ordering::Relaxed);
        let sample = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        let mix = |old: u64| match old {
            0 => Some(sample),
            old => Some(old - old / SAMPLE_DIVISOR + sample / SAMPLE_DIVISOR),
        };
        let _ = self.latency_nanos.fetch_update(Ordering::Relaxed, Ordering::Relaxed, mix);
    }

    /// Records that the server sent any answer, also one to a health check.
    pub fn record_answer(&self, now: Instant) {
        self.answered_at.fetch_max(now.as_nanos(), Ordering::Relaxed);
    }

    /// Whether the server sent any answer after `since`; one that did not may be frozen.
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answered_at.load(Ordering::Relaxed) > since.as_nanos()
    }

    /// Counts a failed attempt.
    pub fn observe_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes the server suspect until it answers a request.
    pub fn suspect(&self) {
        self.failures.fetch_max(SUSPECT_FAILURES, Ordering::Relaxed);
    }

    /// Whether the server has failed so often that it is chosen last.
    pub fn is_suspect(&self) -> bool {
        self.failures() >= SUSPECT_FAILURES
    }

    /// Number of failed attempts since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Moving average of latency; zero before the first answer.
    pub fn latency(&self) -> Duration {
        Duration::from_nanos(self.latency_nanos.load(Ordering::Relaxed))
    }
}
