//! The section of an exchange about entry hosts.

use oleanderspan::{event::Kind, prelude::*};

use crate::{
    control::{State, state::Peer as Heard},
    wire,
};

/// The silence after which a host counts as gone.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Forgets hosts that have not answered lately.
pub fn forget_silent(state: &State) {
    let now = state.clock.now();
    let gone: Vec<String> = {
        let mut inner = state.lock();
        let silent = |peer: &Heard| now.since(peer.heard) > SILENCE;
        let gone = inner.hosts.iter().filter(|(_, peer)| silent(peer));
        let gone: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        inner.hosts.retain(|_, peer| !silent(peer));
        gone
    };
    for name in gone {
        state.record(Kind::HostChanged, name, "gone");
        state.changed.notify_one();
    }
}

/// Takes over what a host said of itself.
pub fn note_host(state: &State, host: wire::Host) {
    let heard = state.clock.now();
    let name = host.name.clone();
    let detail = format!("{:?}", host.state).to_lowercase();
    let before = state.lock().hosts.insert(name.clone(), Heard { host: host.clone(), heard });
    if before.is_none_or(|before| before.host != host) {
        state.record(Kind::HostChanged, name, detail);
        state.changed.notify_one();
    }
}
