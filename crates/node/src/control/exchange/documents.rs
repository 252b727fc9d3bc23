//! Section of an exchange about the document in force. Documents spread from host to host, so that
//! they do so even while the store is unavailable.

use http::{Response, StatusCode};
use oleanderspan::{
    document::{Hash, Revision, Version},
    prelude::*,
};

use crate::{
    codec,
    control::{State, exchange, parts::MAX_PARTS_PER_FETCH, source},
    http::Body,
    wire,
};

/// Version and hash of the document in force on this host.
pub(super) fn section(state: &State) -> wire::ActiveDocument {
    let inner = state.lock();
    let accepted = inner.accepted.as_ref();
    wire::ActiveDocument {
        version: accepted.map_or(0, |accepted| accepted.version.0),
        document: accepted.map(|accepted| accepted.hash),
    }
}

/// Fetches the missing parts of a peer's document and puts it into force, if its version is later.
pub(super) async fn apply(
    state: &State,
    peer: SocketAddr,
    active: wire::ActiveDocument,
) -> Result<(), String> {
    let Some(document) = active.document else { return Ok(()) };
    let candidate = Revision { version: Version(active.version), document };
    let peer = source::Peer { client: &state.peers, address: peer };
    state.fetch_if_newer(candidate, &peer).await.map_err(|error| error.to_string())
}

/// Answers with the requested parts of the document in force, or with status 404 if one is not
/// among them.
pub(super) fn parts(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(hashes) = codec::from_wire::<Vec<Hash>>(body) else {
        return exchange::status_response(StatusCode::BAD_REQUEST);
    };
    let Some(accepted) = state.accepted() else {
        return exchange::status_response(StatusCode::NOT_FOUND);
    };
    let part = |hash: &Hash| Some(wire::Blob(accepted.parts.get(hash)?.clone()));
    match hashes.iter().take(MAX_PARTS_PER_FETCH).map(part).collect() {
        Some(parts) => exchange::wire_response(&wire::Parts { parts }),
        None => exchange::status_response(StatusCode::NOT_FOUND),
    }
}
