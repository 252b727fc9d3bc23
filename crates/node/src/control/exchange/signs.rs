//! Section of an exchange about backend servers that are leaving.

use std::collections::BTreeSet;

use oleanderspan::{backend::server::Identity, document::ValidatedDocument, prelude::*};

use crate::{
    codec,
    control::{State, exchange},
    http::Body,
    store, wire,
};

/// Signs that are still being broadcast, and the digest of all signs.
pub(super) fn section(state: &State) -> wire::Signs {
    let hosts = state.registry.count();
    let mut inner = state.lock();
    let recent = inner.signs.recent(hosts);
    wire::Signs {
        recent: recent.iter().map(wire::Sign::from).collect(),
        digest: inner.signs.digest(),
    }
}

/// Records the signs that a peer sent. If the digests still differ and a comparison is due, fetches
/// all signs of the peer.
pub(super) async fn apply(
    state: &State,
    peer: SocketAddr,
    signs: wire::Signs,
) -> Result<(), String> {
    record_all(state, &signs.recent);
    let own = state.lock().signs.digest();
    if signs.digest == own || !state.registry.may_compare_signs(state.clock.now()) {
        return Ok(());
    }
    let body = exchange::get(state, peer, "/signs").await?;
    let signs: Vec<wire::Sign> = codec::from_wire(&body).map_err(|error| error.to_string())?;
    record_all(state, &signs);
    Ok(())
}

/// Records signs from a peer or from the entry daemon of this host.
pub(super) fn record_all(state: &State, signs: &[wire::Sign]) {
    for identity in signs.iter().filter_map(|sign| Identity::try_from(sign).ok()) {
        state.record_leaving(identity);
    }
}

/// Answers with the signs of all listed servers.
pub(super) fn answer(state: &State) -> http::Response<Body> {
    let inner = state.lock();
    let signs: Vec<wire::Sign> = inner.signs.shared().map(wire::Sign::from).collect();
    exchange::wire_response(&signs)
}

/// Records the servers that are leaving according to the platform's list or drained by the document
/// in force, if either has changed since the last call.
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
        let document = inner.accepted.as_ref().map(|accepted| Arc::clone(&accepted.document));
        let listed: BTreeSet<Identity> = inner.list.servers.iter().filter_map(identity).collect();
        let is_leaving = |listed: &&store::Server| {
            listed.leaving || document.as_ref().is_some_and(|document| is_drained(document, listed))
        };
        let leaving = inner.list.servers.iter().filter(is_leaving).filter_map(identity);
        let leaving: Vec<Identity> = leaving.collect();
        inner.signs.set_listed(listed, now);
        leaving
    };
    for identity in leaving {
        state.record_leaving(identity);
    }
}

fn identity(listed: &store::Server) -> Option<Identity> {
    let name = listed.name.as_str().try_into().ok()?;
    Some(Identity { name, incarnation: listed.incarnation })
}

fn is_drained(document: &ValidatedDocument, listed: &store::Server) -> bool {
    let drains = &document.drains;
    let mut zones =
        drains.zones.iter().map(|zone| document.zones[usize::from(zone.0)].name.as_str());
    drains.servers.iter().any(|name| name.as_str() == listed.name)
        || zones.any(|zone| zone == listed.zone)
}
