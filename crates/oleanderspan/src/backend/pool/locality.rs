//! Requests that wait for a slot of a server that knows their object.
//!
//! The load pattern that this answers: many objects, each asked for every now and then, on servers
//! that remember few and take several times as long on others. A request that goes wherever a slot
//! is free makes its server forget another object, so that soon all requests are slow, and the
//! slots that sufficed are too few. It is better to wait a little for the server that knows.

use std::sync::atomic::Ordering;

use crossbeam_queue::SegQueue;

use crate::{
    backend::{
        Object, Pool, Server, Waiter,
        pool::{
            Members,
            waiting::{Place, Rank, Wish},
        },
    },
    prelude::*,
};

/// Every so many returned slots of a server, one goes to the common queue although somebody waits
/// for just this server, so that objects that no server knows get their turn.
const COMMON_TURN: u32 = 8;

/// Those who wait for one server.
#[derive(Debug)]
pub(super) struct Lane<W> {
    in_time: SegQueue<Place<W>>,
    /// They go behind all others.
    late: SegQueue<Place<W>>,
}

impl<W> Lane<W> {
    pub(super) fn new() -> Lane<W> {
        Lane { in_time: SegQueue::new(), late: SegQueue::new() }
    }

    fn queue(&self, rank: Rank) -> &SegQueue<Place<W>> {
        if rank.is_late() { &self.late } else { &self.in_time }
    }

    fn is_empty(&self) -> bool {
        self.in_time.is_empty() && self.late.is_empty()
    }

    /// Those who would be served before one of `rank`.
    fn ahead_of(&self, rank: Rank) -> usize {
        self.in_time.len() + if rank.is_late() { self.late.len() } else { 0 }
    }

    fn pop(&self) -> Option<Place<W>> {
        self.in_time.pop().or_else(|| self.late.pop())
    }
}

/// Where a request about an object goes.
#[derive(Clone, Debug)]
pub enum Placement {
    /// To this server, of which a slot is taken.
    Taken(Arc<Server>),
    /// It waits for this server.
    Behind(Arc<Server>),
    /// To whichever server has a slot.
    Anywhere,
}

impl<W: Waiter> Pool<W> {
    /// Finds the server that suits the object of a request best, if it is worth to wait for it:
    /// no longer than `patience`.
    pub fn place(&self, wish: &Wish, rank: Rank, patience: Duration, now: Instant) -> Placement {
        let Some(object) = wish.object else { return Placement::Anywhere };
        self.placed.fetch_add(1, Ordering::Relaxed);
        let members = self.members.load();
        let known = || members.iter().filter(|(server, _)| self.suits(server, object, wish, now));
        let free = known().filter(|(server, lane)| server.free() > 0 && lane.is_empty());
        if let Some((server, _)) = free.max_by_key(|(server, _)| server.free())
            && self.try_take(server, now)
        {
            return Placement::Taken(Arc::clone(server));
        }
        let least =
            known().map(|(server, lane)| (self.expected_wait(server, lane.ahead_of(rank)), server));
        match least.min_by_key(|(wait, _)| *wait) {
            Some((wait, server)) if wait <= patience => Placement::Behind(Arc::clone(server)),
            _ => Placement::Anywhere,
        }
    }

    /// Queues a waiter for one server. It may give up by itself at any time.
    pub fn enqueue_behind(
        &self,
        waiter: W,
        server: &Arc<Server>,
        rank: Rank,
        limit: Duration,
        now: Instant,
    ) {
        let members = self.members.load();
        let place = Place { waiter, rank, wish: Wish::default(), since: now, limit };
        match members.lane_of(server) {
            Some(lane) => {
                lane.queue(rank).push(place);
                self.in_lanes.fetch_add(1, Ordering::SeqCst);
                self.serve_lane(server, lane, now);
            }
            // The server has gone since it was chosen.
            None => place.waiter.refuse(),
        }
    }

    /// Whether a server knows an object and is no worse than others otherwise.
    fn suits(&self, server: &Server, object: Object, wish: &Wish, now: Instant) -> bool {
        wish.allows(server)
            && self.warmth.is_warm(server.recall(object))
            && self.is_swift(server)
            && takes_requests(server, now)
    }

    fn expected_wait(&self, server: &Server, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX).saturating_add(1);
        self.mean_latency().saturating_mul(ahead) / server.own_slots().max(1)
    }

    /// Hands free slots of a server to those who wait for it.
    pub(super) fn serve_lane(&self, server: &Arc<Server>, lane: &Lane<W>, now: Instant) {
        while !lane.is_empty() && self.try_take(server, now) {
            let granted = match self.pop_lane(lane, now) {
                Some(place) => place.waiter.grant(Arc::clone(server)),
                None => Err(Arc::clone(server)),
            };
            if granted.is_err() {
                server.give_back();
                self.gate().release();
            }
        }
    }

    /// Hands free slots of all servers to those who wait for them.
    pub(super) fn serve_lanes(&self, now: Instant) {
        if self.in_lanes.load(Ordering::SeqCst) == 0 {
            return;
        }
        let members = self.members.load();
        members.iter().for_each(|(server, lane)| self.serve_lane(server, lane, now));
    }

    /// Hands a slot that a server got back to who waits for this one.
    pub(super) fn serve_lane_of(&self, server: &Server, now: Instant) {
        if self.in_lanes.load(Ordering::SeqCst) == 0 {
            return;
        }
        let members = self.members.load();
        let member = members.iter().find(|(member, _)| std::ptr::eq(&***member, server));
        if let Some((server, lane)) = member {
            self.serve_lane(server, lane, now);
        }
    }

    /// Whether a slot that was given back goes to the common queue first.
    pub(super) fn is_common_turn(&self) -> bool {
        self.returned.fetch_add(1, Ordering::Relaxed).is_multiple_of(COMMON_TURN)
    }

    fn pop_lane(&self, lane: &Lane<W>, now: Instant) -> Option<Place<W>> {
        loop {
            let place = lane.pop()?;
            self.in_lanes.fetch_sub(1, Ordering::SeqCst);
            if !place.is_older(100, now) {
                return Some(place);
            }
            place.waiter.refuse();
        }
    }

    /// Refuses those who wait for servers that get no more requests; they look for another one.
    pub(super) fn dissolve(&self, before: &Members<W>) {
        let members = self.members.load();
        for (server, lane) in before.iter() {
            let stays = members.lane_of(server).is_some() && server.own_slots() > 0;
            if stays && !server.is_leaving() && !server.is_barred() {
                continue;
            }
            while let Some(place) = lane.pop() {
                self.in_lanes.fetch_sub(1, Ordering::SeqCst);
                place.waiter.refuse();
            }
        }
    }
}

/// Whether a server gets requests now, if it has a free slot.
pub(super) fn takes_requests(server: &Server, now: Instant) -> bool {
    let is_usable = !server.is_leaving() && !server.is_barred() && server.own_slots() > 0;
    is_usable && server.cold().is_open(now) && !server.is_avoided(now)
}
