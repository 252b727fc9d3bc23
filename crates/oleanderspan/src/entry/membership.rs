//! Membership by host-to-host exchange, in the manner of SWIM: every host asks a few peers a
//! round, near ones first; a peer that answers neither directly nor through others is suspected;
//! a suspected host refutes with a higher incarnation or is gone after a while.
//!
//! Nothing here waits or sends: the caller passes time and random numbers in, sends what
//! [`Membership::gossip`] returns and passes on what it hears. See `docs/DESIGN.md`.

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

/// The mean time between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for a direct or an indirect question.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// The time that a suspected host has to refute, for each doubling of the number of hosts.
const SUSPICION_TIMEOUT_PER_DOUBLING: Duration = Duration::from_millis(500);

/// How long a host that is gone is remembered, so that old news do not bring it back.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// The mean time between two comparisons of the whole membership with a peer that differs.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(5);

/// How long nothing has to change before a difference counts as a lost message.
const COMPARISON_SETTLE_TIME: Duration = Duration::from_secs(3);

/// A pause of the own process after which its unanswered questions prove nothing.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Rounds for each question to a host that is gone, which finds out that a link is back.
const ROUNDS_PER_GONE_PROBE: usize = 10;

/// Changes in one message.
const MAX_CHANGES_PER_MESSAGE: usize = 16;

/// Hosts that are asked to ask for us.
const MAX_INDIRECT_PROBERS: usize = 4;

/// Hosts of a zone that read the platform's service for the others.
pub const READERS_PER_ZONE: usize = 2;

/// What one host knows of all.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    // Ordered, so that equal random numbers choose equal peers in every process.
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
    /// A peer to ask.
    pub struct ProbeTarget {
        /// Its name.
        pub name: entry::Name,
        /// Where its control daemon listens.
        pub peer_address: SocketAddr,
    }

    /// What a message between two hosts says of the membership.
    pub struct Gossip {
        /// The sender.
        pub from: Member,
        /// Recent changes.
        pub changes: Vec<Member>,
        /// The digest of all that the sender knows.
        pub digest: u64,
    }
}

impl Membership {
    /// The membership of a host that knows only itself.
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

    /// This host.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Every other host that is not gone.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member).filter(|member| member.is_present())
    }

    /// Another host, also one that is gone.
    pub fn peer(&self, name: &entry::Name) -> Option<&Member> {
        self.peers.get(name).map(|peer| &peer.member)
    }

    /// Takes over which zone is in which region, so that peers can be chosen by nearness.
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

    /// Changes the state of this host; others believe it because of its higher incarnation.
    pub fn set_state(&mut self, state: State, now: Instant) {
        if self.own.state != state {
            let incarnation = Incarnation(self.own.incarnation.0 + 1);
            self.set_own(Member { state, incarnation, ..self.own.clone() }, now);
        }
    }

    /// Starts a round: the peers to ask, at most one for each proximity and seldom a lost one.
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
            let mut lost = self.candidates(|member| !member.is_present());
            targets.extend(lost.take(Proximity::Zone, random).map(ProbeTarget::from));
        }
        targets
    }

    /// What to send to the host `to`; it is told what is held against it.
    pub fn gossip(&mut self, to: Option<&entry::Name>) -> Gossip {
        let accused = to.and_then(|name| self.peers.get(name)).map(|peer| &peer.member);
        let accused = accused.filter(|m| matches!(m.state, State::Suspect | State::Gone)).cloned();
        let picked = self.broadcasts.pick(MAX_CHANGES_PER_MESSAGE, self.peers.len());
        let picked = picked.iter().filter_map(|name| self.peer(name)).cloned();
        let changes = picked.filter(|member| Some(&member.name) != to).chain(accused).collect();
        Gossip { from: self.own.clone(), changes, digest: self.digest.sum() }
    }

    /// Takes a message over; true if the sender knows something else and it is time to compare.
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

    /// The digest to compare with a peer.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Every member, this host and those that are gone included, where `theirs` differs.
    pub fn differing_members(&self, theirs: &[u64]) -> Vec<Member> {
        let peers = self.peers.values().map(|peer| &peer.member);
        let all = std::iter::once(&self.own).chain(peers);
        all.filter(|member| self.digest.differs_for(theirs, member)).cloned().collect()
    }

    /// Takes over what a comparison showed; it is not sent on as news, as it may be everything.
    pub fn merge(&mut self, members: &[Member], now: Instant) {
        for member in members {
            self.apply(member, now);
        }
    }

    /// Hosts that shall ask a silent one: one near it, one near us and some anywhere.
    pub fn indirect_probers(
        &self,
        silent: &entry::Name,
        random: &mut impl Random,
    ) -> Vec<ProbeTarget> {
        let Some(accused) = self.peer(silent) else { return Vec::new() };
        let mut candidates =
            self.candidates(|member| member.state == State::Live && member.name != *silent);
        let near = self.peers().filter(|m| m.zone == accused.zone && m.state == State::Live);
        let near: Vec<&Member> = near.filter(|member| member.name != *silent).collect();
        let mut helpers = Vec::new();
        if !near.is_empty() {
            helpers.push(ProbeTarget::from(near[random.below(near.len())]));
        }
        for proximity in [Proximity::Zone, Proximity::Remote, Proximity::Region, Proximity::Remote]
        {
            let another = candidates.take(proximity, random).map(ProbeTarget::from);
            helpers.extend(another.filter(|target| !helpers.contains(target)));
        }
        helpers.truncate(MAX_INDIRECT_PROBERS);
        helpers
    }

    /// Suspects a host that answered neither us nor others since `asked`.
    pub fn suspect(&mut self, silent: &entry::Name, asked: Instant, now: Instant) {
        // After a pause of this process the answers may have come and gone.
        let is_stale = now.since(asked) > PROCESS_PAUSE_THRESHOLD
            || now.since(self.last_round) > PROCESS_PAUSE_THRESHOLD;
        let Some(member) = self.peer(silent) else { return };
        if is_stale || matches!(member.state, State::Suspect | State::Gone) {
            return;
        }
        let accusation = Member { state: State::Suspect, ..member.clone() };
        self.apply(&accusation, now);
        self.broadcasts.push(accusation.name);
    }

    /// What changed since the last call, for the time line.
    pub fn take_changes(&mut self) -> Vec<Member> {
        std::mem::take(&mut self.unreported_changes)
    }

    /// Whether this host reads the platform's service for its zone. There is no lease: while
    /// hosts disagree, more of them or fewer read, which costs reads or a little time.
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

    /// Takes a statement over; true if it is news of another host.
    fn apply(&mut self, member: &Member, now: Instant) -> bool {
        if member.name == self.own.name {
            self.refute(member, now);
            return false;
        }
        let known = self.peers.get(&member.name).map(|peer| &peer.member);
        let is_news = known.map_or(member.is_present(), |known| member.supersedes(known));
        if is_news {
            self.set_peer(member.clone(), now);
        }
        is_news
    }

    fn refute(&mut self, accusation: &Member, now: Instant) {
        if accusation.supersedes(&self.own) {
            let incarnation = Incarnation(accusation.incarnation.0 + 1);
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

    /// Suspected hosts that did not refute are gone; those long gone are forgotten.
    fn expire(&mut self, now: Instant) {
        let patience = SUSPICION_TIMEOUT_PER_DOUBLING * (self.peers.len() as u32 + 2).ilog2();
        let silent =
            |peer: &&Peer| peer.member.state == State::Suspect && now.since(peer.since) >= patience;
        let gone: Vec<Member> =
            self.peers.values().filter(silent).map(|peer| peer.member.clone()).collect();
        for member in gone {
            self.broadcasts.push(member.name.clone());
            self.set_peer(Member { state: State::Gone, ..member }, now);
        }
        self.peers
            .retain(|_, peer| peer.member.is_present() || now.since(peer.since) < GONE_RETENTION);
    }

    /// Gives suspected hosts the time that this process was paused.
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
