//! The membership of this control daemon: the aggregate, and whether the own entry daemon serves.

use std::sync::{Mutex, MutexGuard, PoisonError};

use oleanderspan::{
    entry::{
        Member, Membership, Name,
        host::{Incarnation, State as Condition},
        membership::{Gossip, ProbeTarget},
    },
    event::Kind,
    prelude::*,
};
use tokio::sync::Notify;

use crate::{
    clock::{Monotonic, ThreadRandom, wall_millis},
    control::State,
    settings::Settings,
    wire,
};

/// The absence after which the own entry daemon counts as stopped.
const ABSENCE_LIMIT: Duration = Duration::from_secs(1);

/// The least time between two comparisons of all signs.
const SIGNS_INTERVAL: Duration = Duration::from_secs(2);

/// What the control daemon knows of entry hosts.
#[derive(Debug)]
pub struct Registry {
    members: Mutex<Membership>,
    presence: Mutex<Presence>,
    wake: Notify,
}

/// What is known of the own daemons.
#[derive(Debug, Default)]
struct Presence {
    sessions: u32,
    left: Option<Instant>,
    entry_is_stopping: bool,
    control_is_stopping: bool,
    list_read: Option<Instant>,
    signs_compared: Option<Instant>,
}

impl Registry {
    /// The registry of a daemon that has not heard of others yet.
    pub fn new(settings: &Settings, now: Instant) -> Registry {
        let own = Member {
            name: settings.host.name.clone(),
            incarnation: Incarnation(wall_millis()),
            state: Condition::Starting,
            zone: settings.host.zone.clone(),
            caller_address: settings.entry.caller_address,
            relay_address: settings.entry.relay_address,
            peer_address: settings.control.peer_address,
        };
        Registry {
            members: Mutex::new(Membership::new(own, now)),
            presence: Mutex::default(),
            wake: Notify::new(),
        }
    }

    /// Every host that is not gone, this one included, in the order of their names.
    pub fn hosts(&self) -> Vec<wire::Host> {
        let members = self.members();
        let mut hosts: Vec<wire::Host> =
            members.peers().chain([members.own()]).map(wire::Host::from).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// The start of this host.
    pub fn incarnation(&self) -> Incarnation {
        self.members().own().incarnation
    }

    /// Where the peer daemons of other hosts listen.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.members().peers().map(|member| member.peer_address).collect()
    }

    /// The number of hosts that are not gone.
    pub fn count(&self) -> usize {
        self.members().peers().count() + 1
    }

    /// Whether this host reads the platform's service for its zone.
    pub fn reads_store(&self) -> bool {
        self.members().reads_store()
    }

    /// Asks for the next round at once, because there is something to tell.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns when somebody is in a wake.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }

    /// The peers to ask in this round.
    pub fn round(&self, now: Instant) -> Vec<ProbeTarget> {
        self.members().start_round(now, &mut ThreadRandom)
    }

    /// Seeds that belong to no host that is known.
    pub fn unknown_seeds(&self, seeds: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let members = self.members();
        let is_known = |seed: &SocketAddr| {
            members.own().peer_address == *seed || members.peers().any(|m| m.peer_address == *seed)
        };
        seeds.filter(|seed| !is_known(seed)).collect()
    }

    /// What to send to a host.
    pub fn gossip(&self, to: Option<&Name>) -> wire::Gossip {
        wire::Gossip::from(&self.members().gossip(to))
    }

    /// Takes over what a host said; true if the whole membership should be compared with it.
    pub fn receive(&self, gossip: &Gossip, now: Instant) -> bool {
        self.members().receive(gossip, now, &mut ThreadRandom)
    }

    /// The digests of this host's membership.
    pub fn digests(&self) -> Vec<u64> {
        self.members().digest().buckets().to_vec()
    }

    /// The members where another host's digests differ.
    pub fn differing(&self, theirs: &[u64]) -> Vec<wire::Host> {
        self.members().differing_members(theirs).iter().map(wire::Host::from).collect()
    }

    /// Takes over members from a comparison.
    pub fn merge(&self, members: &[Member], now: Instant) {
        self.members().merge(members, now);
    }

    /// Hosts that shall ask a silent one.
    pub fn helpers(&self, silent: &Name) -> Vec<ProbeTarget> {
        self.members().indirect_probers(silent, &mut ThreadRandom)
    }

    /// Suspects a host that has not answered since `asked`.
    pub fn suspect(&self, silent: &Name, asked: Instant, now: Instant) {
        self.members().suspect(silent, asked, now);
    }

    /// Counts the own entry daemon as present until the session ends; a first session is that of a
    /// daemon that has just started.
    pub fn open_session<'a>(&'a self, clock: &'a Monotonic, is_first: bool) -> Session<'a> {
        let mut presence = self.presence();
        presence.sessions += 1;
        if is_first {
            presence.entry_is_stopping = false;
        }
        Session { registry: self, clock }
    }

    /// Takes note that the own entry daemon was told to stop.
    pub fn note_entry_stopping(&self) {
        self.presence().entry_is_stopping = true;
    }

    /// Takes note that this daemon was told to stop.
    pub fn note_control_stopping(&self) {
        self.presence().control_is_stopping = true;
    }

    /// Takes note that this host has read the platform's list.
    pub fn note_list_read(&self, now: Instant) {
        self.presence().list_read = Some(now);
    }

    /// Whether this host has read the platform's list within `validity`.
    pub fn has_read_list(&self, now: Instant, validity: Duration) -> bool {
        self.presence().list_read.is_some_and(|read| now.since(read) < validity)
    }

    /// Whether it is time to compare all signs with a peer; the time starts anew if so.
    pub fn may_compare_signs(&self, now: Instant) -> bool {
        let mut presence = self.presence();
        let is_due = presence.signs_compared.is_none_or(|at| now.since(at) >= SIGNS_INTERVAL);
        if is_due {
            presence.signs_compared = Some(now);
        }
        is_due
    }

    fn condition(&self, is_drained: bool, has_shares: bool, now: Instant) -> Condition {
        let presence = self.presence();
        let is_served = presence.sessions > 0
            || presence.left.is_some_and(|left| now.since(left) < ABSENCE_LIMIT);
        let is_leaving = presence.entry_is_stopping || presence.control_is_stopping || is_drained;
        match (is_served, has_shares) {
            (false, _) if presence.control_is_stopping => Condition::Gone,
            _ if is_leaving => Condition::Leaving,
            (true, true) => Condition::Live,
            _ => Condition::Starting,
        }
    }

    fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn presence(&self) -> MutexGuard<'_, Presence> {
        self.presence.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open question of the own entry daemon.
#[derive(Debug)]
pub struct Session<'a> {
    registry: &'a Registry,
    clock: &'a Monotonic,
}

impl Drop for Session<'_> {
    fn drop(&mut self) {
        let mut presence = self.registry.presence();
        presence.sessions -= 1;
        presence.left = Some(self.clock.now());
    }
}

/// Brings the own state up to date, and records what changed in those of others.
pub fn refresh(state: &State) {
    let now = state.clock.now();
    let (accepted, has_shares) = {
        let inner = state.lock();
        let accepted = inner.accepted.as_ref().map(|accepted| Arc::clone(&accepted.draft));
        (accepted, inner.shares.is_ready(now))
    };
    let name = &state.settings.host.name;
    let zone = state.settings.host.zone.as_str();
    let is_drained = accepted.as_ref().is_some_and(|draft| {
        let mut zones = draft.drains.zones.iter().map(|zone| &draft.zones[usize::from(zone.0)]);
        draft.drains.entry_hosts.contains(name) || zones.any(|z| z.name.as_str() == zone)
    });
    let condition = state.registry.condition(is_drained, has_shares && state.is_ready(), now);
    let (news, is_new) = {
        let mut members = state.registry.members();
        let before = members.own().state;
        members.set_state(condition, now);
        if let Some(draft) = &accepted {
            members.set_zones(&draft.zones);
        }
        (members.take_changes(), before != condition)
    };
    for member in &news {
        let detail = format!("{:?}", member.state).to_lowercase();
        state.record(Kind::HostChanged, member.name.as_str(), detail);
    }
    if is_new {
        state.registry.wake();
    }
    if is_new || !news.is_empty() {
        state.changed.notify_one();
    }
}
