//! The membership of this control daemon: the aggregate, and whether the own entry daemon serves.

use std::sync::{Mutex, MutexGuard, PoisonError};

use oleanderspan::{
    entry::{
        Member, Membership, Name,
        host::{Incarnation, State as HostState},
        membership::{Gossip, ProbeTarget},
    },
    event::Kind,
    prelude::*,
};
use tokio::sync::Notify;

use crate::{
    clock::{Entropy, Monotonic, wall_millis},
    control::State,
    settings::Settings,
    wire,
};

/// The absence after which the own entry daemon counts as stopped.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// The least time between two comparisons of all signs.
const SIGNS_INTERVAL: Duration = Duration::from_secs(2);

/// What the control daemon knows of entry hosts.
#[derive(Debug)]
pub struct Registry {
    members: Mutex<Membership>,
    daemons: Mutex<LocalDaemons>,
    round_request: Notify,
}

/// What is known of the own daemons.
#[derive(Debug, Default)]
struct LocalDaemons {
    sessions: u32,
    last_session_end: Option<Instant>,
    entry_is_stopping: bool,
    control_is_stopping: bool,
    list_read_at: Option<Instant>,
    signs_compared_at: Option<Instant>,
}

impl Registry {
    /// The registry of a daemon that has not heard of others yet.
    pub fn new(settings: &Settings, now: Instant) -> Registry {
        let own = Member {
            name: settings.host.name.clone(),
            incarnation: Incarnation(wall_millis()),
            state: HostState::Starting,
            zone: settings.host.zone.clone(),
            caller_address: settings.entry.caller_address,
            relay_address: settings.entry.relay_address,
            peer_address: settings.control.peer_address,
        };
        Registry {
            members: Mutex::new(Membership::new(own, now)),
            daemons: Mutex::default(),
            round_request: Notify::new(),
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
    pub fn request_round(&self) {
        self.round_request.notify_one();
    }

    /// Returns when somebody is in a wake.
    pub async fn round_requested(&self) {
        self.round_request.notified().await;
    }

    /// The peers to ask in this round.
    pub fn start_round(&self, now: Instant) -> Vec<ProbeTarget> {
        self.members().start_round(now, &mut Entropy)
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
        self.members().receive(gossip, now, &mut Entropy)
    }

    /// The digests of this host's membership.
    pub fn digests(&self) -> Vec<u64> {
        self.members().digest().buckets().to_vec()
    }

    /// The members where another host's digests differ.
    pub fn differing_members(&self, theirs: &[u64]) -> Vec<wire::Host> {
        self.members().differing_members(theirs).iter().map(wire::Host::from).collect()
    }

    /// Takes over members from a comparison.
    pub fn merge(&self, members: &[Member], now: Instant) {
        self.members().merge(members, now);
    }

    /// Hosts that shall ask a silent one.
    pub fn indirect_probers(&self, target: &Name) -> Vec<ProbeTarget> {
        self.members().indirect_probers(target, &mut Entropy)
    }

    /// Suspects a host that has not answered since `asked`.
    pub fn suspect(&self, target: &Name, probed_at: Instant, now: Instant) {
        self.members().suspect(target, probed_at, now);
    }

    /// Counts the own entry daemon as present until the session ends; a first session is that of a
    /// daemon that has just started.
    pub fn open_session<'a>(&'a self, clock: &'a Monotonic, is_first: bool) -> Session<'a> {
        let mut daemons = self.daemons();
        daemons.sessions += 1;
        if is_first {
            daemons.entry_is_stopping = false;
        }
        Session { registry: self, clock }
    }

    /// Takes note that the own entry daemon was told to stop.
    pub fn set_entry_stopping(&self) {
        self.daemons().entry_is_stopping = true;
    }

    /// Takes note that this daemon was told to stop.
    pub fn set_control_stopping(&self) {
        self.daemons().control_is_stopping = true;
    }

    /// Takes note that this host has read the platform's list.
    pub fn record_list_read(&self, now: Instant) {
        self.daemons().list_read_at = Some(now);
    }

    /// Whether this host has read the platform's list within `validity`.
    pub fn has_read_list(&self, now: Instant, validity: Duration) -> bool {
        self.daemons().list_read_at.is_some_and(|read_at| now.since(read_at) < validity)
    }

    /// Whether it is time to compare all signs with a peer; the time starts anew if so.
    pub fn may_compare_signs(&self, now: Instant) -> bool {
        let mut daemons = self.daemons();
        let is_due = daemons.signs_compared_at.is_none_or(|at| now.since(at) >= SIGNS_INTERVAL);
        if is_due {
            daemons.signs_compared_at = Some(now);
        }
        is_due
    }

    fn own_state(&self, is_drained: bool, has_shares: bool, now: Instant) -> HostState {
        let daemons = self.daemons();
        let has_entry = daemons.sessions > 0
            || daemons
                .last_session_end
                .is_some_and(|last_session_end| now.since(last_session_end) < ENTRY_TIMEOUT);
        let is_leaving = daemons.entry_is_stopping || daemons.control_is_stopping || is_drained;
        match (has_entry, has_shares) {
            (false, _) if daemons.control_is_stopping => HostState::Gone,
            _ if is_leaving => HostState::Leaving,
            (true, true) => HostState::Live,
            _ => HostState::Starting,
        }
    }

    fn members(&self) -> MutexGuard<'_, Membership> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn daemons(&self) -> MutexGuard<'_, LocalDaemons> {
        self.daemons.lock().unwrap_or_else(PoisonError::into_inner)
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
        let mut daemons = self.registry.daemons();
        daemons.sessions -= 1;
        daemons.last_session_end = Some(self.clock.now());
    }
}

/// Brings the own state up to date, and records what changed in those of others.
pub fn refresh(state: &State) {
    let now = state.clock.now();
    let (document, has_shares) = {
        let inner = state.lock();
        let document = inner.accepted.as_ref().map(|document| Arc::clone(&document.document));
        (document, inner.shares.is_ready(now))
    };
    let name = &state.settings.host.name;
    let zone = state.settings.host.zone.as_str();
    let is_drained = document.as_ref().is_some_and(|document| {
        let mut zones =
            document.drains.zones.iter().map(|zone| &document.zones[usize::from(zone.0)]);
        document.drains.entry_hosts.contains(name) || zones.any(|z| z.name.as_str() == zone)
    });
    let own_state = state.registry.own_state(is_drained, has_shares && state.is_ready(), now);
    let (changes, is_changed) = {
        let mut members = state.registry.members();
        let before = members.own().state;
        members.set_state(own_state, now);
        if let Some(document) = &document {
            members.set_zones(&document.zones);
        }
        (members.take_changes(), before != own_state)
    };
    for member in &changes {
        let detail = format!("{:?}", member.state).to_lowercase();
        state.record(Kind::HostChanged, member.name.as_str(), detail);
    }
    if is_changed {
        state.registry.request_round();
    }
    if is_changed || !changes.is_empty() {
        state.changed.notify_one();
    }
}
