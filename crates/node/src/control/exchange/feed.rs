//! Interface to the entry daemon of this host: it polls for snapshots and sends observations.

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

/// Interval at which a pending request checks for a new snapshot.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time that a request for the next snapshot is held open. A frozen entry daemon sends no
/// further request and so is detected after this time.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers as soon as there is a snapshot other than `last_seen`, or with status 204 after
/// [`LONG_POLL_TIMEOUT`].
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

/// Applies an observation of the entry daemon.
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
