//! Which hosts take requests, as one host sees the others of its region.
//!
//! The platform's store tells who exists; whether one lives is told by its answers alone, so that
//! a host that is dead, frozen or cut off is no longer named to clients after a short while.

use crate::{
    availability,
    entry::{self, rank},
    prelude::*,
    region,
};

/// How long a host is believed to live after its last answer: three missed questions.
pub const SILENCE: Duration = Duration::from_millis(1_600);

/// How often each host is asked.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// A host of the same region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: entry::Name,
    /// Where clients reach it.
    pub callers: SocketAddr,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: availability::Index,
}

#[derive(Debug)]
struct Seen {
    peer: Peer,
    /// Its last answer; none since it was listed or failed.
    answered_at: Option<Instant>,
    is_leaving: bool,
}

/// For how long a host of another region that failed to answer is not asked again.
const DISTANT_PAUSE: Duration = Duration::from_millis(3_000);

/// A host of another region: it is not asked whether it lives, only passed over after a failure.
#[derive(Debug)]
struct Distant {
    peer: Peer,
    region: region::Index,
    failed_at: Option<Instant>,
}

/// The fewest hosts of a zone that have one of them read from the store for all: fewer save too
/// few calls to depend on another host.
const LEAST_READERS: usize = 4;

/// The other hosts, those of the own region and those of others.
#[derive(Debug, Default)]
pub struct Roster {
    seen: Map<entry::Name, Seen>,
    distant: Map<entry::Name, Distant>,
}

impl Roster {
    /// Takes a listed host; returns whether that is news. A host that is listed with new
    /// addresses has to answer there first.
    pub fn list(&mut self, peer: Peer) -> bool {
        if self.seen.get(&peer.name).is_some_and(|seen| seen.peer == peer) {
            return false;
        }
        let name = peer.name.clone();
        self.seen.insert(name, Seen { peer, answered_at: None, is_leaving: false });
        true
    }

    /// Takes a listed host of another region.
    pub fn list_distant(&mut self, peer: Peer, region: region::Index) {
        let name = peer.name.clone();
        self.distant.insert(name, Distant { peer, region, failed_at: None });
    }

    /// Takes note that a host of another region gave no answer.
    pub fn distant_failed(&mut self, name: &entry::Name, now: Instant) {
        if let Some(distant) = self.distant.get_mut(name) {
            distant.failed_at = Some(now);
        }
    }

    /// The hosts of another region that have not failed lately.
    pub fn distant(&self, region: region::Index, now: Instant) -> impl Iterator<Item = &Peer> {
        let has_failed = move |distant: &Distant| {
            distant.failed_at.is_some_and(|failed| now.since(failed) < DISTANT_PAUSE)
        };
        let there = self.distant.values().filter(move |distant| distant.region == region);
        there.filter(move |distant| !has_failed(distant)).map(|distant| &distant.peer)
    }

    /// Takes a host that is no longer listed.
    pub fn unlist(&mut self, name: &entry::Name) -> bool {
        self.seen.remove(name).is_some() | self.distant.remove(name).is_some()
    }

    /// The number of all listed hosts.
    pub fn len(&self) -> usize {
        self.seen.len() + self.distant.len()
    }

    /// Whether no other host is listed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The host that reads `topic` from the store for all hosts of a zone; none if `own`, which is
    /// one of them, should read for itself.
    pub fn reader(
        &self,
        own: &entry::Name,
        zone: availability::Index,
        topic: &str,
        now: Instant,
    ) -> Option<&Peer> {
        let seen = self.seen.values().filter(|seen| is_live(seen, now) && !seen.is_leaving);
        let near = seen.map(|seen| &seen.peer).filter(|peer| peer.zone == zone);
        let near: Vec<&Peer> = near.collect();
        if near.len() + 1 < LEAST_READERS {
            return None;
        }
        let first = rank::first(near, topic, |peer| peer.name.as_str())?;
        let weight = |host: &entry::Name| rank::weight(topic, host.as_str());
        (weight(&first.name) > weight(own)).then_some(first)
    }

    /// How many hosts read from the store, if all hear of each other.
    pub fn readers(&self) -> usize {
        let peers = self.seen.values().map(|seen| &seen.peer);
        let mut hosts: Map<availability::Index, usize> = Map::default();
        for peer in peers.chain(self.distant.values().map(|distant| &distant.peer)) {
            *hosts.entry(peer.zone).or_default() += 1;
        }
        hosts.values().map(|hosts| if *hosts < LEAST_READERS { *hosts } else { 1 }).sum()
    }

    /// The names of all listed hosts.
    pub fn names(&self) -> impl Iterator<Item = &entry::Name> {
        self.seen.keys().chain(self.distant.keys())
    }

    /// The listed hosts of the own region.
    pub fn listed(&self) -> impl Iterator<Item = &Peer> {
        self.seen.values().map(|seen| &seen.peer)
    }

    /// Takes an answer of a host; returns whether it became live or began to leave.
    pub fn answered(&mut self, name: &entry::Name, is_leaving: bool, now: Instant) -> bool {
        let Some(seen) = self.seen.get_mut(name) else { return false };
        let was_live = is_live(seen, now);
        let was_leaving = std::mem::replace(&mut seen.is_leaving, is_leaving);
        seen.answered_at = Some(now);
        !was_live || was_leaving != is_leaving
    }

    /// Takes note that a host refused a connection or broke one.
    pub fn failed(&mut self, name: &entry::Name) -> bool {
        match self.seen.get_mut(name) {
            Some(seen) => seen.answered_at.take().is_some(),
            None => false,
        }
    }

    /// The hosts that live and are not about to stop, by name.
    pub fn live(&self, now: Instant) -> Vec<Peer> {
        let live = self.seen.values().filter(|seen| is_live(seen, now) && !seen.is_leaving);
        let mut live: Vec<Peer> = live.map(|seen| seen.peer.clone()).collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }
}

fn is_live(seen: &Seen, now: Instant) -> bool {
    seen.answered_at.is_some_and(|answered| now.since(answered) <= SILENCE)
}
