//! One backend server as a dispatching host sees it.

use std::sync::{
    OnceLock,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use crate::{
    availability,
    backend::{
        self, cold,
        recent_objects::{Object, RecentObjects, ReuseDistance},
    },
    prelude::*,
};

value! {
    /// Which start of which server: a server that comes back is a new one.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Identity {
        /// Its name.
        pub name: backend::Name,
        /// Its latest start, as the platform's list counts them.
        pub incarnation: u64,
    }
}

/// Failed attempts in a row after which a server is chosen only if no other has a free slot.
const SUSPECT_FAILURES: u32 = 3;

/// The weight of a new sample in the moving average of latency, as a divisor.
const SAMPLE_DIVISOR: u64 = 8;

/// A backend server, with the counts that requests change.
///
/// The counts stay with the server over snapshots, so they are shared by reference.
#[derive(Debug)]
pub struct Server {
    /// Which server this is.
    pub identity: Identity,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The zone it is in.
    pub zone: availability::Index,
    slots: u32,
    in_flight: AtomicU32,
    leaving: AtomicBool,
    latency_nanos: AtomicU64,
    failures: AtomicU32,
    answered_at: AtomicU64,
    cold: cold::Limiter,
    evacuated: AtomicBool,
    borrowed: AtomicBool,
    withheld: AtomicU32,
    avoided_until: AtomicU64,
    /// Made with the first object, as most servers serve nothing that has one here.
    objects: OnceLock<Box<RecentObjects>>,
}

impl Server {
    /// A server that has `slots` slots and has answered nothing yet.
    pub fn new(
        identity: Identity,
        address: SocketAddr,
        zone: availability::Index,
        slots: u32,
    ) -> Server {
        Server {
            identity,
            address,
            zone,
            slots,
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            latency_nanos: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            answered_at: AtomicU64::new(0),
            cold: cold::Limiter::warm(),
            evacuated: AtomicBool::new(false),
            borrowed: AtomicBool::new(false),
            withheld: AtomicU32::new(0),
            avoided_until: AtomicU64::new(0),
            objects: OnceLock::new(),
        }
    }

    /// Takes a slot, or returns `false` if none is free or the server is leaving.
    pub fn try_acquire_slot(&self) -> bool {
        if self.is_leaving() || self.is_evacuated() {
            return false;
        }
        self.in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                (n < self.own_slots()).then_some(n + 1)
            })
            .is_ok()
    }

    /// Gives a slot back.
    pub fn release_slot(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Requests of this host that the server is running.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Slots that are free by this host's own count.
    pub fn free(&self) -> u32 {
        let takes_none = self.is_leaving() || self.is_evacuated();
        if takes_none { 0 } else { self.own_slots().saturating_sub(self.in_flight()) }
    }

    /// Slots that this host may give out.
    pub fn own_slots(&self) -> u32 {
        self.slots.saturating_sub(self.withheld.load(Ordering::SeqCst))
    }

    /// Whether another region gives out some of the slots.
    pub fn is_shared(&self) -> bool {
        self.withheld.load(Ordering::SeqCst) > 0
    }

    /// Withholds slots that another region gives out; see [`crate::region::loan`].
    pub fn withhold(&self, slots: u32) {
        self.withheld.store(slots, Ordering::SeqCst);
    }

    /// Gives out no slots until `until`: another host knows that the server is not to be used.
    pub fn avoid(&self, until: Instant) {
        self.avoided_until.fetch_max(until.as_nanos(), Ordering::Relaxed);
    }

    /// Whether another host has said that the server is not to be used.
    pub fn is_avoided(&self, now: Instant) -> bool {
        now.as_nanos() < self.avoided_until.load(Ordering::Relaxed)
    }

    /// Sets whether the server's slots are borrowed from another region.
    pub fn set_borrowed(&self, borrowed: bool) {
        self.borrowed.store(borrowed, Ordering::SeqCst);
    }

    /// Whether the server's slots are borrowed from another region.
    pub fn is_borrowed(&self) -> bool {
        self.borrowed.load(Ordering::SeqCst)
    }

    /// The limit of requests while the server is cold.
    pub fn cold(&self) -> &cold::Limiter {
        &self.cold
    }

    /// Bars the server from new requests, or lifts the bar, as its zone is evacuated or taken
    /// back.
    pub fn set_evacuated(&self, evacuated: bool) {
        self.evacuated.store(evacuated, Ordering::SeqCst);
    }

    /// Whether the server's zone is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::SeqCst)
    }

    /// Remembers an object that the server has been sent a request for.
    pub fn record_object(&self, object: Object, now: Instant) {
        self.objects.get_or_init(Box::default).record(object, now);
    }

    /// How long ago, in other objects, the server was sent a request for this one.
    pub fn reuse_distance(&self, object: Object) -> ReuseDistance {
        self.objects.get().map_or(ReuseDistance::UNKNOWN, |objects| objects.reuse_distance(object))
    }

    /// The objects that the server was sent requests for last, from the latest on.
    pub fn objects(&self, depth: usize) -> Vec<(Object, Instant)> {
        self.objects.get().map_or_else(Vec::new, |objects| objects.latest(depth))
    }

    /// Takes over what another host knew of the server's objects, the one used last first.
    pub fn import_objects(&self, objects: &[Object], at: Instant) {
        self.objects.get_or_init(Box::default).add(objects, at);
    }

    /// When the object was last used that the server would forget for another one, if it remembers
    /// `depth` of them; none while it has room.
    pub fn last_use_of_next_evicted(&self, depth: usize) -> Option<Instant> {
        self.objects.get()?.last_use_of_next_evicted(depth)
    }

    /// Slots in all.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Marks the server as leaving; the mark holds for this incarnation.
    pub fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Whether any sign of leaving was seen.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Takes the latency of an answer into the moving average.
    pub fn observe(&self, latency: Duration) {
        self.failures.store(0, Ordering::Relaxed);
        let sample = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        let mix = |old: u64| match old {
            0 => Some(sample),
            old => Some(old - old / SAMPLE_DIVISOR + sample / SAMPLE_DIVISOR),
        };
        let _ = self.latency_nanos.fetch_update(Ordering::Relaxed, Ordering::Relaxed, mix);
    }

    /// Takes note that the server answered something.
    pub fn record_answer(&self, now: Instant) {
        self.answered_at.fetch_max(now.as_nanos(), Ordering::Relaxed);
    }

    /// Whether the server answered anything after `since`; one that did not may be frozen.
    pub fn has_answered_since(&self, since: Instant) -> bool {
        self.answered_at.load(Ordering::Relaxed) > since.as_nanos()
    }

    /// Counts a failed attempt.
    pub fn observe_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes the server the last choice until it answers a request, as after many failures.
    pub fn suspect(&self) {
        self.failures.fetch_max(SUSPECT_FAILURES, Ordering::Relaxed);
    }

    /// Whether the server is the last choice because of failures.
    pub fn is_suspect(&self) -> bool {
        self.failures() >= SUSPECT_FAILURES
    }

    /// Failed attempts since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// The moving average of latency.
    pub fn latency(&self) -> Duration {
        Duration::from_nanos(self.latency_nanos.load(Ordering::Relaxed))
    }
}
