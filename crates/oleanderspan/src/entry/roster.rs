//! Which hosts take requests, as one host sees the others of its region.
//!
//! The platform's store tells who exists; whether one lives is told by its answers alone, so that
//! a host that is dead, frozen or cut off is no longer named to clients after a short while.
//!
//! In a small region each host asks all others. In a large one it asks those of its zone, and one
//! of each other zone, which passes on whose answers it has; questions then grow with the hosts of
//! a zone and not with those of the region.

use crate::{
    availability,
    entry::{self, rank},
    prelude::*,
    region,
};

/// How long a host is believed to live after its last answer: three missed questions.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_600);

/// How long a host is believed to live after its last answer to a host of its zone: the news of it
/// takes two more rounds.
pub const INDIRECT_LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_600);

/// How long after its start a host may not know yet which of the others live: two rounds of
/// questions, as the first one may come before the others listen, and their answers.
pub const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_500);

/// The most hosts of a region that all ask each other.
const FULL_MESH_MAX_HOSTS: usize = 8;

/// How often each host is asked.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A host of the same region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: entry::Name,
    /// Where clients reach it.
    pub caller_address: SocketAddr,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: availability::Index,
}

#[derive(Debug)]
struct PeerState {
    peer: Peer,
    /// Its last answer, to this host or to one of its zone; none since it was listed or failed.
    answered_at: Option<Instant>,
    /// Whether that answer came to this host.
    is_direct: bool,
    /// When it last refused a connection of this host or broke one.
    failed_at: Option<Instant>,
    is_leaving: bool,
}

/// What one host tells another of a third one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LivenessReport {
    /// The host.
    pub name: entry::Name,
    /// How long ago it answered.
    pub age: Duration,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// For how long a host of another region that failed to answer is not asked again.
const REMOTE_RETRY_DELAY: Duration = Duration::from_millis(3_000);

/// A host of another region: it is not asked whether it lives, only passed over after a failure.
#[derive(Debug)]
struct RemotePeer {
    peer: Peer,
    region: region::Index,
    failed_at: Option<Instant>,
}

/// The fewest hosts of a zone that have one of them read from the store for all: fewer save too
/// few calls to depend on another host.
const SHARED_READER_MIN_HOSTS: usize = 4;

/// The other hosts, those of the own region and those of others.
#[derive(Debug, Default)]
pub struct Roster {
    peers: Map<entry::Name, PeerState>,
    remote: Map<entry::Name, RemotePeer>,
}

impl Roster {
    /// Takes a listed host; returns whether that is news. A host that is listed with new
    /// addresses has to answer there first.
    pub fn insert(&mut self, peer: Peer) -> bool {
        if self.peers.get(&peer.name).is_some_and(|state| state.peer == peer) {
            return false;
        }
        let name = peer.name.clone();
        let state = PeerState {
            peer,
            answered_at: None,
            is_direct: false,
            failed_at: None,
            is_leaving: false,
        };
        self.peers.insert(name, state);
        true
    }

    /// Takes a listed host of another region.
    pub fn insert_remote(&mut self, peer: Peer, region: region::Index) {
        let name = peer.name.clone();
        self.remote.insert(name, RemotePeer { peer, region, failed_at: None });
    }

    /// Takes note that a host of another region gave no answer.
    pub fn record_remote_failure(&mut self, name: &entry::Name, now: Instant) {
        if let Some(remote) = self.remote.get_mut(name) {
            remote.failed_at = Some(now);
        }
    }

    /// The hosts of another region that have not failed lately.
    pub fn remote_peers(&self, region: region::Index, now: Instant) -> impl Iterator<Item = &Peer> {
        let has_failed = move |remote: &RemotePeer| {
            remote.failed_at.is_some_and(|failed| now.since(failed) < REMOTE_RETRY_DELAY)
        };
        let in_region = self.remote.values().filter(move |remote| remote.region == region);
        in_region.filter(move |remote| !has_failed(remote)).map(|remote| &remote.peer)
    }

    /// Takes a host that is no longer listed.
    pub fn remove(&mut self, name: &entry::Name) -> bool {
        self.peers.remove(name).is_some() | self.remote.remove(name).is_some()
    }

    /// The number of all listed hosts.
    pub fn len(&self) -> usize {
        self.peers.len() + self.remote.len()
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
        let state = self.peers.values().filter(|state| is_live(state, now) && !state.is_leaving);
        let near = state.map(|state| &state.peer).filter(|peer| peer.zone == zone);
        let near: Vec<&Peer> = near.collect();
        if near.len() + 1 < SHARED_READER_MIN_HOSTS {
            return None;
        }
        let first = rank::highest(near, topic, |peer| peer.name.as_str())?;
        let weight = |host: &entry::Name| rank::weight(topic, host.as_str());
        (weight(&first.name) > weight(own)).then_some(first)
    }

    /// How many hosts read from the store, if all hear of each other.
    pub fn expected_readers(&self) -> usize {
        let peers = self.peers.values().map(|state| &state.peer);
        let mut hosts: Map<availability::Index, usize> = Map::default();
        for peer in peers.chain(self.remote.values().map(|remote| &remote.peer)) {
            *hosts.entry(peer.zone).or_default() += 1;
        }
        hosts.values().map(|hosts| if *hosts < SHARED_READER_MIN_HOSTS { *hosts } else { 1 }).sum()
    }

    /// The names of all listed hosts.
    pub fn names(&self) -> impl Iterator<Item = &entry::Name> {
        self.peers.keys().chain(self.remote.keys())
    }

    /// The hosts to ask in a round: all of a small region, else those of the own zone and one of
    /// each other zone, in turn.
    pub fn probe_targets(&self, zone: availability::Index, round: usize) -> Vec<&Peer> {
        let peers = self.peers.values().map(|state| &state.peer);
        if self.peers.len() < FULL_MESH_MAX_HOSTS {
            return peers.collect();
        }
        let mut by_zone: std::collections::BTreeMap<availability::Index, Vec<&Peer>> =
            Default::default();
        peers.for_each(|peer| by_zone.entry(peer.zone).or_default().push(peer));
        let mut targets = by_zone.remove(&zone).unwrap_or_default();
        for mut others in by_zone.into_values() {
            others.sort_by(|a, b| a.name.cmp(&b.name));
            targets.extend(others.get(round % others.len()));
        }
        targets
    }

    /// What this host has seen itself of the others of a zone, to pass it on.
    pub fn liveness_reports(&self, zone: availability::Index, now: Instant) -> Vec<LivenessReport> {
        if self.peers.len() < FULL_MESH_MAX_HOSTS {
            return Vec::new();
        }
        let own = self.peers.values().filter(|state| state.is_direct && state.peer.zone == zone);
        let report = |state: &PeerState| {
            let age = now.since(state.answered_at?);
            let (name, is_leaving) = (state.peer.name.clone(), state.is_leaving);
            (age <= LIVENESS_TIMEOUT).then_some(LivenessReport { name, age, is_leaving })
        };
        own.filter_map(report).collect()
    }

    /// Takes what another host has seen; returns whether a host became live or began to leave.
    ///
    /// Answers to this host count for more: news of others only replace older ones.
    pub fn record_report(&mut self, report: &LivenessReport, now: Instant) -> bool {
        let Some(state) = self.peers.get_mut(&report.name) else { return false };
        let at = now - report.age;
        // What this host found out by itself after that sighting counts for more.
        if state.answered_at.max(state.failed_at).is_some_and(|known| known >= at) {
            return false;
        }
        let was_live = is_live(state, now);
        let was_leaving = std::mem::replace(&mut state.is_leaving, report.is_leaving);
        state.answered_at = Some(at);
        state.is_direct = false;
        was_live != is_live(state, now) || was_leaving != report.is_leaving
    }

    /// Takes an answer of a host; returns whether it became live or began to leave.
    pub fn record_answer(&mut self, name: &entry::Name, is_leaving: bool, now: Instant) -> bool {
        let Some(state) = self.peers.get_mut(name) else { return false };
        let was_live = is_live(state, now);
        let was_leaving = std::mem::replace(&mut state.is_leaving, is_leaving);
        state.answered_at = Some(now);
        state.is_direct = true;
        !was_live || was_leaving != is_leaving
    }

    /// Takes note that a host refused a connection or broke one.
    pub fn record_failure(&mut self, name: &entry::Name, now: Instant) -> bool {
        match self.peers.get_mut(name) {
            Some(state) => {
                state.failed_at = Some(now);
                state.answered_at.take().is_some()
            }
            None => false,
        }
    }

    /// The hosts that live and are not about to stop, by name.
    pub fn live_peers(&self, now: Instant) -> Vec<Peer> {
        let live = self.peers.values().filter(|state| is_live(state, now) && !state.is_leaving);
        let mut live: Vec<Peer> = live.map(|state| state.peer.clone()).collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }
}

fn is_live(state: &PeerState, now: Instant) -> bool {
    let timeout = if state.is_direct { LIVENESS_TIMEOUT } else { INDIRECT_LIVENESS_TIMEOUT };
    state.answered_at.is_some_and(|answered| now.since(answered) <= timeout)
}
