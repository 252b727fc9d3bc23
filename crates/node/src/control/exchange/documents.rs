//! The section of an exchange about the document in force, which spreads host to host so that it
//! does also while the store is away.

use http::{Response, StatusCode};
use oleanderspan::{
    document::{Hash, Version, VersionedHash},
    prelude::*,
};

use crate::{
    codec,
    control::{State, exchange, parts::MAX_BATCH, source},
    http::Body,
    wire,
};

/// What this host has in force.
pub(super) fn section(state: &State) -> wire::ActiveDocument {
    let inner = state.lock();
    let accepted = inner.accepted.as_ref();
    wire::ActiveDocument {
        version: accepted.map_or(0, |accepted| accepted.version.0),
        document: accepted.map(|accepted| accepted.hash),
    }
}

/// Fetches what this host lacks of the document of a peer that has a later version in force.
pub(super) async fn take_over(
    state: &State,
    peer: SocketAddr,
    held: wire::ActiveDocument,
) -> Result<(), String> {
    let Some(document) = held.document else { return Ok(()) };
    let shown = VersionedHash { version: Version(held.version), document };
    let peer = source::Peer { client: &state.peers, address: peer };
    state.learn(shown, &peer).await.map_err(|error| error.to_string())
}

/// Answers with parts of the document in force.
pub(super) fn parts(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(hashes) = codec::from_wire::<Vec<Hash>>(body) else {
        return exchange::status(StatusCode::BAD_REQUEST);
    };
    let Some(accepted) = state.accepted() else {
        return exchange::status(StatusCode::NOT_FOUND);
    };
    let part = |hash: &Hash| Some(wire::Blob(accepted.parts.get(hash)?.clone()));
    match hashes.iter().take(MAX_BATCH).map(part).collect() {
        Some(parts) => exchange::wire(&wire::Parts { parts }),
        None => exchange::status(StatusCode::NOT_FOUND),
    }
}
