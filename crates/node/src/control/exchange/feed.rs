//! The feed of the own entry daemon: snapshots out, observations in.

use http::{Response, StatusCode};
use oleanderspan::prelude::*;

use crate::{
    codec,
    control::{
        State,
        exchange::{self, signs},
    },
    entry::feed::POLL_LIMIT,
    http::Body,
    wire,
};

/// How often an open question for the next snapshot is looked at.
const TICK: Duration = Duration::from_millis(20);

/// Answers as soon as there is a snapshot after `seen`, or with nothing after a while.
pub(super) async fn snapshot(state: &State, seen: &str) -> Response<Body> {
    let Ok(seen) = seen.parse::<u64>() else { return exchange::status(StatusCode::BAD_REQUEST) };
    let until = state.clock.now() + POLL_LIMIT;
    while state.clock.now() < until {
        let snapshot = state.lock().snapshot.clone();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.sequence != seen) {
            return exchange::wire(&*snapshot);
        }
        tokio::time::sleep(TICK).await;
    }
    exchange::status(StatusCode::NO_CONTENT)
}

/// Answers with the blocks of the document in force.
pub(super) fn blocks(state: &State) -> Response<Body> {
    let accepted = state.lock().accepted.clone();
    match accepted {
        Some(accepted) => exchange::wire(&wire::Blocks { blocks: accepted.raw.blocks.clone() }),
        None => exchange::status(StatusCode::NOT_FOUND),
    }
}

/// Takes over what the entry daemon saw.
pub(super) fn observe(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(observation) = codec::from_wire::<wire::Observation>(body) else {
        return exchange::status(StatusCode::BAD_REQUEST);
    };
    signs::take_over(state, &observation.leaving);
    exchange::status(StatusCode::NO_CONTENT)
}
