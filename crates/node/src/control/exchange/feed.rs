//! The feed of the own entry daemon: snapshots out, observations in.

use http::{Response, StatusCode};
use oleanderspan::prelude::*;

use crate::{
    codec,
    control::{
        State,
        exchange::{self, signs},
        membership, shares, timeline,
    },
    http::Body,
    wire,
};

/// How often an open question for the next snapshot is looked at.
const TICK: Duration = Duration::from_millis(20);

/// Longest time that a question is kept open; its end shows that the entry daemon is frozen.
const LIMIT: Duration = Duration::from_secs(1);

/// Answers as soon as there is a snapshot after `seen`, or with nothing after a while.
pub(super) async fn snapshot(state: &State, seen: &str) -> Response<Body> {
    let Ok(seen) = seen.parse::<u64>() else { return exchange::status(StatusCode::BAD_REQUEST) };
    let _session = state.registry.open_session(&state.clock, seen == 0);
    let until = state.clock.now() + LIMIT;
    while state.clock.now() < until {
        let snapshot = state.lock().snapshot.clone();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.sequence != seen) {
            return exchange::wire(&*snapshot);
        }
        tokio::time::sleep(TICK).await;
    }
    exchange::status(StatusCode::NO_CONTENT)
}

/// Takes over what the entry daemon saw.
pub(super) fn observe(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(observation) = codec::from_wire::<wire::Observation>(body) else {
        return exchange::status(StatusCode::BAD_REQUEST);
    };
    signs::note_all(state, &observation.leaving);
    timeline::take_over(state, observation.events);
    if observation.stopping {
        state.registry.note_entry_stopping();
        membership::refresh(state);
        state.registry.wake();
    }
    if let Some(loads) = observation.loads {
        shares::note_own_loads(state, loads);
    }
    exchange::status(StatusCode::NO_CONTENT)
}
