//! The section of an exchange about backend servers that are leaving.

use std::collections::BTreeSet;

use oleanderspan::{backend::server::Identity, document::ValidatedDocument, prelude::*};

use crate::{
    codec,
    control::{State, exchange},
    http::Body,
    store::ListedServer,
    wire,
};

/// Recent signs, and the digest of all.
pub(super) fn section(state: &State) -> wire::Signs {
    let hosts = state.registry.count();
    let mut inner = state.lock();
    let recent = inner.signs.recent(hosts);
    wire::Signs {
        recent: recent.iter().map(wire::Sign::from).collect(),
        digest: inner.signs.digest(),
    }
}

/// Takes over what a peer sent; fetches the rest if there is more that differs.
pub(super) async fn take_over(
    state: &State,
    peer: SocketAddr,
    signs: wire::Signs,
) -> Result<(), String> {
    note_all(state, &signs.recent);
    let own = state.lock().signs.digest();
    if signs.digest == own || !state.registry.may_compare_signs(state.clock.now()) {
        return Ok(());
    }
    let body = exchange::get(state, peer, "/signs").await?;
    let signs: Vec<wire::Sign> = codec::from_wire(&body).map_err(|error| error.to_string())?;
    note_all(state, &signs);
    Ok(())
}

/// Takes note of the signs of a peer or of the own entry daemon.
pub(super) fn note_all(state: &State, signs: &[wire::Sign]) {
    for identity in signs.iter().filter_map(|sign| Identity::try_from(sign).ok()) {
        state.note_leaving(identity);
    }
}

/// Answers with every sign of a listed server.
pub(super) fn answer(state: &State) -> http::Response<Body> {
    let inner = state.lock();
    let signs: Vec<wire::Sign> = inner.signs.shared().map(wire::Sign::from).collect();
    exchange::wire(&signs)
}

/// Takes note of the signs that the platform's list and the document in force give.
pub(super) fn refresh(state: &State) {
    let now = state.clock.now();
    let leaving = {
        let mut inner = state.lock();
        inner.signs.remove_expired(now);
        let version = inner.accepted.as_ref().map_or(0, |accepted| accepted.version.0);
        let source = (version, inner.listing.hash.clone());
        if inner.signs_source == source {
            return;
        }
        inner.signs_source = source;
        let draft = inner.accepted.as_ref().map(|accepted| Arc::clone(&accepted.draft));
        let listed: BTreeSet<Identity> = inner.list.servers.iter().filter_map(identity).collect();
        let says_so = |listed: &&ListedServer| {
            listed.leaving || draft.as_ref().is_some_and(|draft| is_drained(draft, listed))
        };
        let leaving = inner.list.servers.iter().filter(says_so).filter_map(identity);
        let leaving: Vec<Identity> = leaving.collect();
        inner.signs.set_listed(listed, now);
        leaving
    };
    for identity in leaving {
        state.note_leaving(identity);
    }
}

fn identity(listed: &ListedServer) -> Option<Identity> {
    let name = listed.name.as_str().try_into().ok()?;
    Some(Identity { name, incarnation: listed.incarnation })
}

fn is_drained(draft: &ValidatedDocument, listed: &ListedServer) -> bool {
    let drains = &draft.drains;
    let mut zones = drains.zones.iter().map(|zone| draft.zones[usize::from(zone.0)].name.as_str());
    drains.servers.iter().any(|name| name.as_str() == listed.name)
        || zones.any(|zone| zone == listed.zone)
}
