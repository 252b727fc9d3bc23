//! The platform's list of backend servers, which may be out of date or unavailable.
//!
//! Two hosts of each zone read it. The others learn from their peers which list is the latest, and
//! fetch it only if its content differs from their own.

use http::{Response, StatusCode};
use oleanderspan::{entry::membership::jitter, prelude::*};
use slog::debug;

use crate::{
    clock::{ThreadRandom, wall_millis},
    codec,
    control::{State, exchange},
    http::Body,
    store::ServerList,
    wire::ListVersion,
};

/// Mean interval between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a host prefers a list that it read itself to that of a peer.
const OWN_LIST_VALIDITY: Duration = Duration::from_secs(3);

/// Polls the list without end. While the platform is unavailable, the last list stays in force.
pub async fn watch(state: State) {
    loop {
        if state.registry.reads_store() {
            poll(&state).await;
        }
        tokio::time::sleep(jitter(POLL_INTERVAL, &mut ThreadRandom)).await;
    }
}

async fn poll(state: &State) {
    match state.store.list_servers().await {
        Ok(list) => {
            let stamp = state.hybrid.tick(wall_millis()).as_u64();
            state.registry.record_list_read(state.clock.now());
            set_list(state, list, stamp);
        }
        Err(error) => debug!(state.log, "server list not read; using the last"; "error" => %error),
    }
}

/// Time stamp and content hash of the list on this host.
pub(super) fn section(state: &State) -> ListVersion {
    state.lock().listing.clone()
}

/// Fetches the list of a peer if it was read later and its content differs. Fails if the peer no
/// longer has that list.
pub(super) async fn apply(
    state: &State,
    peer: SocketAddr,
    theirs: ListVersion,
) -> Result<(), String> {
    {
        let mut inner = state.lock();
        if theirs.stamp <= inner.listing.stamp {
            return Ok(());
        }
        if theirs.hash == inner.listing.hash {
            inner.listing.stamp = theirs.stamp;
            return Ok(());
        }
    }
    if state.registry.has_read_list(state.clock.now(), OWN_LIST_VALIDITY) {
        return Ok(());
    }
    let body = exchange::get(state, peer, &format!("/list/{}", theirs.hash)).await?;
    if codec::content_hash_hex(&body) != theirs.hash {
        return Err(format!("peer {peer} no longer has server list {}", theirs.hash));
    }
    let list = codec::from_wire(&body).map_err(|error| error.to_string())?;
    set_list(state, list, theirs.stamp);
    Ok(())
}

/// Answers with the list, or with status 404 if its content hash is not `hash`.
pub(super) fn answer(state: &State, hash: &str) -> Response<Body> {
    let inner = state.lock();
    if inner.listing.hash != hash {
        return exchange::status_response(StatusCode::NOT_FOUND);
    }
    exchange::wire_response(&inner.list)
}

fn set_list(state: &State, list: ServerList, stamp: u64) {
    let Ok(bytes) = codec::to_wire(&list) else { return };
    let hash = codec::content_hash_hex(&bytes);
    {
        let mut inner = state.lock();
        if inner.listing.stamp >= stamp {
            return;
        }
        inner.listing.stamp = stamp;
        if inner.listing.hash == hash {
            return;
        }
        inner.listing.hash = hash;
        inner.list = list;
    }
    exchange::refresh_signs(state);
    state.changed.notify_one();
    state.registry.request_round();
}
