//! The section of an exchange about the document in force, which spreads host to host so that it
//! does also while the store is away.

use http::{Response, StatusCode};
use oleanderspan::{document::Version, prelude::*};

use crate::{
    codec,
    control::{State, exchange, state::Accepted},
    http::Body,
    wire,
};

/// What this host has in force.
pub(super) fn section(state: &State) -> wire::Holding {
    let inner = state.lock();
    let accepted = inner.accepted.as_ref();
    wire::Holding {
        version: accepted.map_or(0, |accepted| accepted.version.0),
        document: accepted.map_or_else(String::new, |accepted| accepted.hash.clone()),
    }
}

/// Fetches the document of a peer that has a later version in force.
pub(super) async fn take_over(
    state: &State,
    peer: SocketAddr,
    held: wire::Holding,
) -> Result<(), String> {
    let known = state.lock().accepted.as_ref().map_or(Version::NONE, |a| a.version);
    if Version(held.version) <= known {
        return Ok(());
    }
    fetch_from(state, peer, Version(held.version), held.document).await
}

async fn fetch_from(
    state: &State,
    peer: SocketAddr,
    version: Version,
    hash: String,
) -> Result<(), String> {
    let body = exchange::get(state, peer, &format!("/document/{hash}")).await?;
    if codec::hash(&body) != hash {
        return Err(format!("peer does not have document {hash}"));
    }
    let raw = codec::from_wire(&body).map_err(|error| error.to_string())?;
    let accepted = Accepted::new(version, hash, raw).map_err(|error| error.to_string())?;
    state.put_in_force(accepted);
    Ok(())
}

/// Answers with the document in force if it has this content hash.
pub(super) fn answer(state: &State, hash: &str) -> Response<Body> {
    let accepted = state.lock().accepted.clone();
    match accepted.filter(|accepted| accepted.hash == hash) {
        Some(accepted) => exchange::wire(&*accepted.raw),
        None => exchange::status(StatusCode::NOT_FOUND),
    }
}
