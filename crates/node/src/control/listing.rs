//! The platform's list of backend servers, which lags and may be away.
//!
//! Two hosts of each zone read it; the others learn from their peers which list is the latest,
//! and fetch it only if its content differs from theirs.

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

/// The mean time between two looks at the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a reader prefers its own look to that of a peer.
const OWN_VALIDITY: Duration = Duration::from_secs(3);

/// Follows the list for ever; while the platform is away the last one stays in force.
pub async fn watch(state: State) {
    loop {
        if state.registry.reads_store() {
            look(&state).await;
        }
        tokio::time::sleep(jitter(POLL_INTERVAL, &mut ThreadRandom)).await;
    }
}

async fn look(state: &State) {
    match state.store.list_servers().await {
        Ok(list) => {
            let stamp = state.hybrid.tick(wall_millis()).as_u64();
            state.registry.note_list_read(state.clock.now());
            put_in_force(state, list, stamp);
        }
        Err(error) => debug!(state.log, "list not read"; "error" => %error),
    }
}

/// Which list this host has.
pub(super) fn section(state: &State) -> ListVersion {
    state.lock().listing.clone()
}

/// Takes over the list of a peer that was read later.
pub(super) async fn take_over(
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
    if state.registry.has_read_list(state.clock.now(), OWN_VALIDITY) {
        return Ok(());
    }
    let body = exchange::get(state, peer, &format!("/list/{}", theirs.hash)).await?;
    if codec::content_hash_hex(&body) != theirs.hash {
        return Err(format!("peer does not have list {}", theirs.hash));
    }
    let list = codec::from_wire(&body).map_err(|error| error.to_string())?;
    put_in_force(state, list, theirs.stamp);
    Ok(())
}

/// Answers with the list if it has this content hash.
pub(super) fn answer(state: &State, hash: &str) -> Response<Body> {
    let inner = state.lock();
    if inner.listing.hash != hash {
        return exchange::status(StatusCode::NOT_FOUND);
    }
    exchange::wire(&inner.list)
}

fn put_in_force(state: &State, list: ServerList, stamp: u64) {
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
    state.registry.wake();
}
