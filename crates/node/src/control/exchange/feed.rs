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
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time that a question is kept open; its end shows that the entry daemon is frozen.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers as soon as there is a snapshot after `seen`, or with nothing after a while.
pub(super) async fn snapshot(state: &State, last_seen: &str) -> Response<Body> {
    let Ok(last_seen) = last_seen.parse::<u64>() else {
        return exchange::status_response(StatusCode::BAD_REQUEST);
    };
    let _session = state.registry.open_session(&state.clock, last_seen == 0);
    let deadline = state.clock.now() + LONG_POLL_TIMEOUT;
    while state.clock.now() < deadline {
        let snapshot = state.lock().snapshot.clone();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.sequence != last_seen) {
            return exchange::wire_response(&*snapshot);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    exchange::status_response(StatusCode::NO_CONTENT)
}

/// Takes over what the entry daemon saw.
pub(super) fn observe(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(observation) = codec::from_wire::<wire::Observation>(body) else {
        return exchange::status_response(StatusCode::BAD_REQUEST);
    };
    signs::record_all(state, &observation.leaving);
    timeline::add_events(state, observation.events);
    if observation.stopping {
        state.registry.set_entry_stopping();
        membership::refresh(state);
        state.registry.request_round();
    }
    if let Some(loads) = observation.loads {
        shares::record_own_loads(state, loads);
    }
    exchange::status_response(StatusCode::NO_CONTENT)
}
