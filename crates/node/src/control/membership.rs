//! Membership as seen by this control daemon, and the state of this host, which depends on whether
//! its entry daemon is present.

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
    clock::{Monotonic, ThreadRandom, wall_millis},
    control::State,
    settings::Settings,
    wire,
};

/// Time without a request for a snapshot after which the entry daemon counts as stopped.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time between two comparisons of all signs with a peer.
const SIGNS_INTERVAL: Duration = Duration::from_secs(2);

/// Shared access to the membership and to the state of this host's daemons.
#[derive(Debug)]
pub struct Registry {
    members: Mutex<Membership>,
    daemons: Mutex<LocalDaemons>,
    round_request: Notify,
}

/// State of the daemons on this host.
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
    /// Creates the registry of a daemon that knows no other host yet.
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

    /// All hosts that are not gone, including this one, sorted by name.
    pub fn hosts(&self) -> Vec<wire::Host> {
        let members = self.members();
        let mut hosts: Vec<wire::Host> =
            members.peers().chain([members.own()]).map(wire::Host::from).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// The incarnation of this host, which identifies this start of its control daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.members().own().incarnation
    }

    /// The peer addresses of the other hosts that are not gone.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.members().peers().map(|member| member.peer_address).collect()
    }

    /// The number of hosts that are not gone, including this one.
    pub fn count(&self) -> usize {
        self.members().peers().count() + 1
    }

    /// Whether this host reads the platform's store on behalf of its zone.
    pub fn reads_store(&self) -> bool {
        self.members().reads_store()
    }

    /// Requests the next round of exchanges early, because there are changes to spread.
    pub fn request_round(&self) {
        self.round_request.notify_one();
    }

    /// Waits until a round has been requested by [`Self::request_round`].
    pub async fn round_requested(&self) {
        self.round_request.notified().await;
    }

    /// Starts a round of exchanges and returns the peers to probe in it.
    pub fn start_round(&self, now: Instant) -> Vec<ProbeTarget> {
        self.members().start_round(now, &mut ThreadRandom)
    }

    /// The addresses among `seeds` that belong to no known host.
    pub fn unknown_seeds(&self, seeds: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let members = self.members();
        let is_known = |seed: &SocketAddr| {
            members.own().peer_address == *seed || members.peers().any(|m| m.peer_address == *seed)
        };
        seeds.filter(|seed| !is_known(seed)).collect()
    }

    /// The membership changes to send to a host, or to a reader that is not a member.
    pub fn gossip(&self, to: Option<&Name>) -> wire::Gossip {
        wire::Gossip::from(&self.members().gossip(to))
    }

    /// Applies the membership changes of a host; returns `true` if the whole membership should be
    /// compared with that host.
    pub fn receive(&self, gossip: &Gossip, now: Instant) -> bool {
        self.members().receive(gossip, now, &mut ThreadRandom)
    }

    /// The digests of this host's membership, one for each bucket of members.
    pub fn digests(&self) -> Vec<u64> {
        self.members().digest().buckets().to_vec()
    }

    /// The members in the buckets whose digests differ from those of another host.
    pub fn differing_members(&self, theirs: &[u64]) -> Vec<wire::Host> {
        self.members().differing_members(theirs).iter().map(wire::Host::from).collect()
    }

    /// Merges the members that a comparison with another host has shown to differ.
    pub fn merge(&self, members: &[Member], now: Instant) {
        self.members().merge(members, now);
    }

    /// Chooses the hosts that probe `target` indirectly, after it did not answer this one.
    pub fn indirect_probers(&self, target: &Name) -> Vec<ProbeTarget> {
        self.members().indirect_probers(target, &mut ThreadRandom)
    }

    /// Suspects a host that has not answered the probe sent at `probed_at`.
    pub fn suspect(&self, target: &Name, probed_at: Instant, now: Instant) {
        self.members().suspect(target, probed_at, now);
    }

    /// Counts the entry daemon of this host as present until the session is dropped. `is_first`
    /// means that the daemon has just started, so that an earlier stop no longer counts.
    pub fn open_session<'a>(&'a self, clock: &'a Monotonic, is_first: bool) -> Session<'a> {
        let mut daemons = self.daemons();
        daemons.sessions += 1;
        if is_first {
            daemons.entry_is_stopping = false;
        }
        Session { registry: self, clock }
    }

    /// Records that the entry daemon of this host has begun to stop.
    pub fn set_entry_stopping(&self) {
        self.daemons().entry_is_stopping = true;
    }

    /// Records that this control daemon has begun to stop.
    pub fn set_control_stopping(&self) {
        self.daemons().control_is_stopping = true;
    }

    /// Records that this host has read the platform's list of backend servers.
    pub fn record_list_read(&self, now: Instant) {
        self.daemons().list_read_at = Some(now);
    }

    /// Whether this host has read the platform's list within `validity`.
    pub fn has_read_list(&self, now: Instant, validity: Duration) -> bool {
        self.daemons().list_read_at.is_some_and(|read_at| now.since(read_at) < validity)
    }

    /// Whether a comparison of all signs with a peer is due. If so, this call counts as one, and
    /// the next is due after [`SIGNS_INTERVAL`].
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
            || daemons.last_session_end.is_some_and(|end| now.since(end) < ENTRY_TIMEOUT);
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

/// A pending request of this host's entry daemon for the next snapshot.
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

/// Updates the state of this host, and records every change of the state of a host as an event.
pub fn refresh(state: &State) {
    let now = state.clock.now();
    let (document, has_shares) = {
        let inner = state.lock();
        let document = inner.accepted.as_ref().map(|accepted| Arc::clone(&accepted.document));
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
