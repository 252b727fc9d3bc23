//! SWIM-style group membership. In each round every host probes a few peers, preferably near
//! ones. A peer that answers neither direct nor indirect probes is suspected; it refutes the
//! suspicion with a higher incarnation or is declared gone after a time-out.
//!
//! This module performs no I/O: the caller supplies the time and random numbers, sends what
//! [`Membership::gossip`] returns and passes in received messages. See `docs/DESIGN.md`.

pub mod broadcast;
pub mod digest;
pub mod member;
pub mod proximity;

use std::collections::BTreeMap;

pub use digest::Digest;
pub use member::Member;
pub use proximity::{Proximity, Random, jitter};

use crate::{
    availability,
    entry::{
        self,
        host::{Incarnation, State},
        rank,
    },
    prelude::*,
    region,
};

/// Mean interval between probe rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time-out of a direct or an indirect probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time that a suspected host has to refute, for each doubling of the number of hosts.
const SUSPICION_TIMEOUT_PER_DOUBLING: Duration = Duration::from_millis(500);

/// How long the record of a gone host is kept, so that stale messages do not revive it.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Mean interval between full comparisons (anti-entropy) with peers whose digest differs.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(5);

/// How long the membership must be unchanged before a digest mismatch is taken for a lost message.
const COMPARISON_SETTLE_TIME: Duration = Duration::from_secs(3);

/// A pause of this process above which unanswered probes are no evidence of a failed peer.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Mean number of rounds between probes of a gone host, which detect that a link has recovered.
const ROUNDS_PER_GONE_PROBE: usize = 10;

/// Maximum number of broadcast changes in one message.
const MAX_CHANGES_PER_MESSAGE: usize = 16;

/// Maximum number of hosts that are requested to probe a silent host.
const MAX_INDIRECT_PROBERS: usize = 4;

/// Number of hosts in a zone that read the platform's store on behalf of the others.
pub const READERS_PER_ZONE: usize = 2;

/// The membership as known to one host.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    // Ordered, so that the same random numbers select the same peers in every process.
    peers: BTreeMap<entry::Name, Peer>,
    regions: Map<availability::Name, region::Index>,
    broadcasts: broadcast::Queue<entry::Name>,
    digest: Digest,
    unreported_changes: Vec<Member>,
    last_round: Instant,
    last_change: Instant,
    next_comparison: Instant,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    proximity: Proximity,
    since: Instant,
}

value! {
    /// A peer to probe.
    pub struct ProbeTarget {
        /// Name of the host.
        pub name: entry::Name,
        /// Address of its control daemon.
        pub peer_address: SocketAddr,
    }

    /// The membership part of a message between two hosts.
    pub struct Gossip {
        /// Record of the sender.
        pub from: Member,
        /// Recent changes, and the receiver's own record if the sender suspects it.
        pub changes: Vec<Member>,
        /// [`Digest::sum`] of the sender's membership.
        pub digest: u64,
    }
}

impl Membership {
    /// Creates a membership that contains only this host.
    pub fn new(own: Member, now: Instant) -> Membership {
        let mut digest = Digest::EMPTY;
        digest.toggle(&own);
        Membership {
            own,
            peers: BTreeMap::new(),
            regions: Map::default(),
            broadcasts: broadcast::Queue::default(),
            digest,
            unreported_changes: Vec::new(),
            last_round: now,
            last_change: now,
            next_comparison: now,
        }
    }

    /// The record of this host.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All other hosts that are not gone.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member).filter(|member| member.is_present())
    }

    /// The record of another host, which may be gone.
    pub fn peer(&self, name: &entry::Name) -> Option<&Member> {
        self.peers.get(name).map(|peer| &peer.member)
    }

    /// Sets the region of each zone, from which the proximity of peers is derived.
    pub fn set_zones(&mut self, zones: &[availability::Zone]) {
        let regions = zones.iter().map(|zone| (zone.name.clone(), zone.region)).collect();
        if self.regions == regions {
            return;
        }
        self.regions = regions;
        for peer in self.peers.values_mut() {
            peer.proximity = proximity_of(&self.regions, &self.own, &peer.member);
        }
    }

    /// Changes the state of this host and raises its incarnation, so that peers accept the change.
    pub fn set_state(&mut self, state: State, now: Instant) {
        if self.own.state != state {
            let incarnation = Incarnation(self.own.incarnation.0 + 1);
            self.set_own(Member { state, incarnation, ..self.own.clone() }, now);
        }
    }

    /// Starts a round and returns the peers to probe: at most one for each proximity, and
    /// occasionally a gone host.
    pub fn start_round(&mut self, now: Instant, random: &mut impl Random) -> Vec<ProbeTarget> {
        self.compensate_process_pause(now);
        self.expire(now);
        let mut candidates = self.candidates(|member| member.is_present());
        let mut targets: Vec<ProbeTarget> = Proximity::ALL
            .into_iter()
            .filter_map(|proximity| candidates.take(proximity, random))
            .map(ProbeTarget::from)
            .collect();
        if random.below(ROUNDS_PER_GONE_PROBE) == 0 {
            let mut gone = self.candidates(|member| !member.is_present());
            targets.extend(gone.take(Proximity::Zone, random).map(ProbeTarget::from));
        }
        targets
    }

    /// Builds the message for host `to`. A suspected or gone receiver gets its own record, so that
    /// it can refute.
    pub fn gossip(&mut self, to: Option<&entry::Name>) -> Gossip {
        let suspicion = to.and_then(|name| self.peers.get(name)).map(|peer| &peer.member);
        let suspicion =
            suspicion.filter(|m| matches!(m.state, State::Suspect | State::Gone)).cloned();
        let picked = self.broadcasts.pick(MAX_CHANGES_PER_MESSAGE, self.peers.len());
        let picked = picked.iter().filter_map(|name| self.peer(name)).cloned();
        let changes = picked.filter(|member| Some(&member.name) != to).chain(suspicion).collect();
        Gossip { from: self.own.clone(), changes, digest: self.digest.sum() }
    }

    /// Applies a message. Returns true if the digests differ and a full comparison is due.
    pub fn receive(&mut self, gossip: &Gossip, now: Instant, random: &mut impl Random) -> bool {
        for member in gossip.changes.iter().chain([&gossip.from]) {
            if self.apply(member, now) {
                self.broadcasts.push(member.name.clone());
            }
        }
        if gossip.digest == self.digest.sum() || now < self.next_comparison {
            return false;
        }
        let first = self.next_comparison <= self.last_change && self.peers.len() <= 1;
        if !first && now.since(self.last_change) < COMPARISON_SETTLE_TIME {
            return false;
        }
        self.next_comparison = now + jitter(COMPARISON_INTERVAL, random);
        true
    }

    /// The digest of this host and of all other hosts that are not gone.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// All members, including this host and gone hosts, in buckets whose digest differs from
    /// `theirs`.
    pub fn differing_members(&self, theirs: &[u64]) -> Vec<Member> {
        let peers = self.peers.values().map(|peer| &peer.member);
        let all = std::iter::once(&self.own).chain(peers);
        all.filter(|member| self.digest.differs_for(theirs, member)).cloned().collect()
    }

    /// Applies the result of a full comparison. It is not broadcast, as it may be the entire
    /// membership.
    pub fn merge(&mut self, members: &[Member], now: Instant) {
        for member in members {
            self.apply(member, now);
        }
    }

    /// Selects hosts for indirect probes of `silent`: one near it, one near this host and some
    /// others.
    pub fn indirect_probers(
        &self,
        silent: &entry::Name,
        random: &mut impl Random,
    ) -> Vec<ProbeTarget> {
        let Some(member) = self.peer(silent) else { return Vec::new() };
        let mut candidates =
            self.candidates(|member| member.state == State::Live && member.name != *silent);
        let near = self.peers().filter(|m| m.zone == member.zone && m.state == State::Live);
        let near: Vec<&Member> = near.filter(|member| member.name != *silent).collect();
        let mut probers = Vec::new();
        if !near.is_empty() {
            probers.push(ProbeTarget::from(near[random.below(near.len())]));
        }
        for proximity in [Proximity::Zone, Proximity::Remote, Proximity::Region, Proximity::Remote]
        {
            let another = candidates.take(proximity, random).map(ProbeTarget::from);
            probers.extend(another.filter(|target| !probers.contains(target)));
        }
        probers.truncate(MAX_INDIRECT_PROBERS);
        probers
    }

    /// Suspects a host that has answered no direct or indirect probe since `probed_at`. Has no
    /// effect after a pause of this process, or if the host is suspected or gone already.
    pub fn suspect(&mut self, silent: &entry::Name, probed_at: Instant, now: Instant) {
        // If this process was paused, answers may have been missed.
        let is_stale = now.since(probed_at) > PROCESS_PAUSE_THRESHOLD
            || now.since(self.last_round) > PROCESS_PAUSE_THRESHOLD;
        let Some(member) = self.peer(silent) else { return };
        if is_stale || matches!(member.state, State::Suspect | State::Gone) {
            return;
        }
        let suspicion = Member { state: State::Suspect, ..member.clone() };
        self.apply(&suspicion, now);
        self.broadcasts.push(suspicion.name);
    }

    /// Drains the changes since the last call, for the timeline.
    pub fn take_changes(&mut self) -> Vec<Member> {
        std::mem::take(&mut self.unreported_changes)
    }

    /// Whether this host reads the platform's store for its zone. There is no lease: while hosts
    /// disagree on the membership, too many or too few of them read, which costs extra reads or
    /// some delay.
    pub fn reads_store(&self) -> bool {
        let subject = format!("readers/{}", self.own.zone);
        let serves = |member: &&Member| matches!(member.state, State::Live | State::Starting);
        let zone = self.peers().filter(|member| member.zone == self.own.zone).filter(serves);
        let own = (rank::weight(&subject, self.own.name.as_str()), &self.own.name);
        let before = zone
            .filter(|member| (rank::weight(&subject, member.name.as_str()), &member.name) > own);
        before.count() < READERS_PER_ZONE && (serves(&&self.own) || self.peers.is_empty())
    }

    fn candidates(&self, usable: impl Fn(&Member) -> bool) -> proximity::Candidates<&Member> {
        let mut candidates = proximity::Candidates::new();
        for peer in self.peers.values().filter(|peer| usable(&peer.member)) {
            candidates.add(peer.proximity, &peer.member);
        }
        candidates
    }

    /// Applies a record. Returns true if it is about another host and newer than the known one.
    fn apply(&mut self, member: &Member, now: Instant) -> bool {
        if member.name == self.own.name {
            self.refute(member, now);
            return false;
        }
        let known = self.peers.get(&member.name).map(|peer| &peer.member);
        let is_newer = known.map_or(member.is_present(), |known| member.supersedes(known));
        if is_newer {
            self.set_peer(member.clone(), now);
        }
        is_newer
    }

    fn refute(&mut self, claim: &Member, now: Instant) {
        if claim.supersedes(&self.own) {
            let incarnation = Incarnation(claim.incarnation.0 + 1);
            self.set_own(Member { incarnation, ..self.own.clone() }, now);
        }
    }

    fn set_own(&mut self, own: Member, now: Instant) {
        self.digest.toggle(&self.own);
        self.digest.toggle(&own);
        self.own = own;
        self.last_change = now;
    }

    fn set_peer(&mut self, member: Member, now: Instant) {
        self.remove(&member.name);
        if member.is_present() {
            self.digest.toggle(&member);
        }
        self.unreported_changes.push(member.clone());
        self.last_change = now;
        let proximity = proximity_of(&self.regions, &self.own, &member);
        self.peers.insert(member.name.clone(), Peer { member, proximity, since: now });
    }

    fn remove(&mut self, name: &entry::Name) {
        if let Some(peer) = self.peers.remove(name)
            && peer.member.is_present()
        {
            self.digest.toggle(&peer.member);
        }
    }

    /// Declares suspected hosts gone after the suspicion time-out, and removes the records of hosts
    /// that have been gone for [`GONE_RETENTION`].
    fn expire(&mut self, now: Instant) {
        let timeout = SUSPICION_TIMEOUT_PER_DOUBLING * (self.peers.len() as u32 + 2).ilog2();
        let silent =
            |peer: &&Peer| peer.member.state == State::Suspect && now.since(peer.since) >= timeout;
        let gone: Vec<Member> =
            self.peers.values().filter(silent).map(|peer| peer.member.clone()).collect();
        for member in gone {
            self.broadcasts.push(member.name.clone());
            self.set_peer(Member { state: State::Gone, ..member }, now);
        }
        self.peers
            .retain(|_, peer| peer.member.is_present() || now.since(peer.since) < GONE_RETENTION);
    }

    /// Extends the suspicion time-outs by the time for which this process was paused.
    fn compensate_process_pause(&mut self, now: Instant) {
        let pause = now.since(self.last_round);
        if pause > PROCESS_PAUSE_THRESHOLD {
            for peer in self.peers.values_mut() {
                peer.since = peer.since + pause;
            }
        }
        self.last_round = now;
    }
}

fn proximity_of(
    regions: &Map<availability::Name, region::Index>,
    own: &Member,
    member: &Member,
) -> Proximity {
    if member.zone == own.zone {
        return Proximity::Zone;
    }
    match (regions.get(&member.zone), regions.get(&own.zone)) {
        (Some(theirs), Some(ours)) if theirs == ours => Proximity::Region,
        _ => Proximity::Remote,
    }
}

impl From<&Member> for ProbeTarget {
    fn from(member: &Member) -> ProbeTarget {
        ProbeTarget { name: member.name.clone(), peer_address: member.peer_address }
    }
}
