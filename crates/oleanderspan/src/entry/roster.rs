//! Liveness of the other hosts, as seen by one host of a region.
//!
//! The platform's store lists the hosts that exist. Only answers to probes show that a host is
//! live, so a host that is dead, frozen or partitioned is soon no longer named to clients.
//!
//! In a small region each host probes all others (full mesh). In a large region it probes the
//! hosts of its own zone and one host of each other zone, which reports the hosts that it has
//! answers from. The number of probes then grows with the hosts of a zone, not of the region.

use crate::{
    availability,
    entry::{self, rank},
    prelude::*,
    region,
};

/// How long a host is considered live after its last answer to this host: three missed probes.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_600);

/// How long a host is considered live after its last answer to a host of its own zone; the report
/// of it arrives up to two rounds later.
pub const INDIRECT_LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_600);

/// How long after its start a host may not know yet which other hosts are live: two probe rounds,
/// as the others may not listen yet during the first one, and the answers.
pub const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_500);

/// How long a host that does not answer may be paused or cut off rather than gone. One that goes on
/// later finds no other host live and limits itself.
const MAX_PAUSE: Duration = Duration::from_millis(10_000);

/// Maximum number of hosts in a region, this one included, that all probe each other.
const FULL_MESH_MAX_HOSTS: usize = 8;

/// Interval between two probe rounds.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A host as listed in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Unique among the hosts.
    pub name: entry::Name,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: availability::Index,
    /// Processor time in thousandths of a core; 0 if unknown.
    pub millicores: u32,
}

/// A host that may read the store for the others of its zone.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Unique among the hosts.
    pub name: &'a entry::Name,
    /// Availability zone.
    pub zone: availability::Index,
    /// Processor time in thousandths of a core; 0 if unknown.
    pub millicores: u32,
}

#[derive(Debug)]
struct PeerState {
    peer: Peer,
    /// Last answer to this host or to one of its zone; `None` if there was none since the host was
    /// listed or failed.
    answered_at: Option<Instant>,
    /// Whether that answer was to this host.
    is_direct: bool,
    /// When it last refused or broke a connection of this host.
    failed_at: Option<Instant>,
    is_leaving: bool,
}

/// A report from one host to another that a third host answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The host that answered.
    pub name: entry::Name,
    /// Time since the answer.
    pub age: Duration,
    /// Whether the host is about to stop.
    pub is_leaving: bool,
}

/// How long a host of another region is not used after it failed to answer.
const REMOTE_RETRY_DELAY: Duration = Duration::from_millis(3_000);

/// A host of another region. It is not probed, only skipped for a while after a failure.
#[derive(Debug)]
struct RemotePeer {
    peer: Peer,
    region: region::Index,
    failed_at: Option<Instant>,
}

/// Minimum number of hosts in a zone to share one reader of the store; with fewer hosts the saved
/// calls do not justify depending on another host.
const SHARED_READER_MIN_HOSTS: usize = 4;

/// All other listed hosts: the peers of the own region with their liveness, and remote hosts.
#[derive(Debug, Default)]
pub struct Roster {
    peers: Map<entry::Name, PeerState>,
    remote: Map<entry::Name, RemotePeer>,
}

impl Roster {
    /// Adds a listed host of this region; returns whether it is new or has changed. A host with
    /// changed addresses is not live until it answers there.
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

    /// Adds a listed host of another region, or replaces it and clears its failure.
    pub fn insert_remote(&mut self, peer: Peer, region: region::Index) {
        let name = peer.name.clone();
        self.remote.insert(name, RemotePeer { peer, region, failed_at: None });
    }

    /// Records that a host of another region did not answer.
    pub fn record_remote_failure(&mut self, name: &entry::Name, now: Instant) {
        if let Some(remote) = self.remote.get_mut(name) {
            remote.failed_at = Some(now);
        }
    }

    /// The hosts of another region without a recent failure.
    pub fn remote_peers(&self, region: region::Index, now: Instant) -> impl Iterator<Item = &Peer> {
        let has_failed = move |remote: &RemotePeer| {
            remote.failed_at.is_some_and(|failed| now.since(failed) < REMOTE_RETRY_DELAY)
        };
        let in_region = self.remote.values().filter(move |remote| remote.region == region);
        in_region.filter(move |remote| !has_failed(remote)).map(|remote| &remote.peer)
    }

    /// Removes a host that is no longer listed; returns whether it was known.
    pub fn remove(&mut self, name: &entry::Name) -> bool {
        self.peers.remove(name).is_some() | self.remote.remove(name).is_some()
    }

    /// Number of other listed hosts, in all regions.
    pub fn len(&self) -> usize {
        self.peers.len() + self.remote.len()
    }

    /// Whether no other host is listed in any region.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The host that reads `topic` from the store for all hosts of a zone, or `None` if `own`, a
    /// host of that zone, should read the store itself.
    ///
    /// Only a host with the most processor time reads for others: all of them learn of changes as
    /// late as it does, and a small one is behind with its work when clients press.
    pub fn reader(&self, own: Candidate<'_>, topic: &str, now: Instant) -> Option<&Peer> {
        if !self.shares_reader(own.zone, now) {
            return None;
        }
        let near = || self.live_near(own.zone, now);
        let most = near().map(|peer| peer.millicores).max()?;
        if own.millicores > most {
            return None;
        }
        let largest = near().filter(|peer| peer.millicores == most);
        let first = rank::highest(largest, topic, |peer| peer.name.as_str())?;
        let weight = |host: &entry::Name| rank::weight(topic, host.as_str());
        (own.millicores < most || weight(&first.name) > weight(own.name)).then_some(first)
    }

    /// Whether one host of this zone, which is that of this host, reads the store for all.
    pub fn shares_reader(&self, zone: availability::Index, now: Instant) -> bool {
        self.live_near(zone, now).count() + 1 >= SHARED_READER_MIN_HOSTS
    }

    /// Whether this host confirms for its region that the store answers: the live host with the
    /// highest rank for it. The others rely on its reports.
    pub fn confirms_store(&self, own: &entry::Name, now: Instant) -> bool {
        const TOPIC: &str = "store";
        let live = self.peers.values().filter(|state| is_live(state, now) && !state.is_leaving);
        let mut names = live.map(|state| state.peer.name.as_str());
        names.all(|name| rank::weight(TOPIC, name) < rank::weight(TOPIC, own.as_str()))
    }

    /// Whether no other host of the region is live, so that none reports what this host misses.
    pub fn is_alone(&self, now: Instant) -> bool {
        !self.peers.values().any(|state| is_live(state, now) && !state.is_leaving)
    }

    /// Number of other hosts of the region that may still allocate slots although this host does not
    /// ask them: those about to stop, and those that answered until lately.
    pub fn possible_arbiters(&self, now: Instant) -> usize {
        let is_possible = |state: &&PeerState| {
            let age = state.answered_at.map(|answered| now.since(answered));
            age.is_some_and(|age| age <= MAX_PAUSE) && (state.is_leaving || !is_live(state, now))
        };
        self.peers.values().filter(is_possible).count()
    }

    /// The live hosts of a zone, except this one.
    fn live_near(&self, zone: availability::Index, now: Instant) -> impl Iterator<Item = &Peer> {
        let live =
            self.peers.values().filter(move |state| is_live(state, now) && !state.is_leaving);
        live.map(|state| &state.peer).filter(move |peer| peer.zone == zone)
    }

    /// The listed host of this region with this name, other than this one.
    pub fn peer(&self, name: &entry::Name) -> Option<&Peer> {
        self.peers.get(name).map(|state| &state.peer)
    }

    /// Number of hosts that read a topic from the store when all hosts see each other as live. This
    /// host is not counted.
    pub fn expected_readers(&self) -> usize {
        let peers = self.peers.values().map(|state| &state.peer);
        let mut hosts: Map<availability::Index, usize> = Map::default();
        for peer in peers.chain(self.remote.values().map(|remote| &remote.peer)) {
            *hosts.entry(peer.zone).or_default() += 1;
        }
        hosts.values().map(|hosts| if *hosts < SHARED_READER_MIN_HOSTS { *hosts } else { 1 }).sum()
    }

    /// Names of the other listed hosts of this region.
    pub fn peer_names(&self) -> impl Iterator<Item = &entry::Name> {
        self.peers.keys()
    }

    /// The other regions that have listed hosts.
    pub fn remote_regions(&self) -> Vec<region::Index> {
        let regions: Set<region::Index> = self.remote.values().map(|peer| peer.region).collect();
        regions.into_iter().collect()
    }

    /// Names of the other listed hosts, in all regions.
    pub fn names(&self) -> impl Iterator<Item = &entry::Name> {
        self.peers.keys().chain(self.remote.keys())
    }

    /// The hosts to probe in a round: all hosts of a small region; otherwise those of the own zone
    /// and one of each other zone, by rotation.
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

    /// Reports of the hosts of `zone` that recently answered this host itself; empty in a small
    /// region, where every host probes all others.
    pub fn liveness_reports(&self, zone: availability::Index, now: Instant) -> Vec<Report> {
        if self.peers.len() < FULL_MESH_MAX_HOSTS {
            return Vec::new();
        }
        let own = self.peers.values().filter(|state| state.is_direct && state.peer.zone == zone);
        let report = |state: &PeerState| {
            let age = now.since(state.answered_at?);
            let (name, is_leaving) = (state.peer.name.clone(), state.is_leaving);
            (age <= LIVENESS_TIMEOUT).then_some(Report { name, age, is_leaving })
        };
        own.filter_map(report).collect()
    }

    /// Records a report from another host; returns whether the liveness or leaving state changed.
    ///
    /// A report is ignored if this host has an answer, a report or a failure at least as recent.
    pub fn record_report(&mut self, report: &Report, now: Instant) -> bool {
        let Some(state) = self.peers.get_mut(&report.name) else { return false };
        let at = now - report.age;
        if state.answered_at.max(state.failed_at).is_some_and(|known| known >= at) {
            return false;
        }
        let was_live = is_live(state, now);
        let was_leaving = std::mem::replace(&mut state.is_leaving, report.is_leaving);
        state.answered_at = Some(at);
        state.is_direct = false;
        was_live != is_live(state, now) || was_leaving != report.is_leaving
    }

    /// Records an answer to this host; returns whether the host became live or its leaving state
    /// changed.
    pub fn record_answer(&mut self, name: &entry::Name, is_leaving: bool, now: Instant) -> bool {
        let Some(state) = self.peers.get_mut(name) else { return false };
        let was_live = is_live(state, now);
        let was_leaving = std::mem::replace(&mut state.is_leaving, is_leaving);
        state.answered_at = Some(now);
        state.is_direct = true;
        !was_live || was_leaving != is_leaving
    }

    /// Records that a host refused or broke a connection; returns whether it had an answer on
    /// record.
    pub fn record_failure(&mut self, name: &entry::Name, now: Instant) -> bool {
        match self.peers.get_mut(name) {
            Some(state) => {
                state.failed_at = Some(now);
                state.answered_at.take().is_some()
            }
            None => false,
        }
    }

    /// The live hosts of this region that are not about to stop, sorted by name.
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
