//! Planned stop: deregister the host, keep accepting requests until clients and hosts know, close
//! the client port, and let requests in flight finish within the grace period. [`Grace`] decides
//! what is still sent, and when the requests in flight are answered.

use oleanderspan::{entry::Grace, prelude::*, request::retry::Deadline};
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::gateway::{
    Source, State,
    forward::{Call, DEADLINE_MARGIN},
    state::Shared,
};

/// The longest wait for the store to remove this host's registration.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for `stop`, deregisters this host, and closes the client port once clients no longer use
/// it.
pub async fn run<S: Source>(state: State, source: S, stop: CancellationToken) {
    stop.cancelled().await;
    let grace = Grace::begin(state.clock.now(), state.settings.grace);
    // Fails only if it is set already, and there is one stop.
    let _ = state.stopping.set(grace);
    state.stop.begin();
    info!(state.log, "stopping"; "grace_ms" => state.settings.grace.as_millis());
    let withdrawn = source.withdraw(&state.settings.host);
    match tokio::time::timeout(WITHDRAW_TIMEOUT, withdrawn).await {
        Ok(Ok(())) => {}
        // Other hosts still notice by this host's probe responses, or by their absence.
        Ok(Err(error)) => warn!(state.log, "cannot deregister this host; stopping anyway";
            "reason" => %error),
        Err(_) => warn!(state.log, "cannot deregister this host; stopping anyway";
            "reason" => "timed out"),
    }
    sleep_until(&state, grace.closes).await;
    info!(state.log, "closing");
    state.stop.close();
}

/// Waits until a request that has no slot yet must not be sent any more.
pub async fn last_send(state: &Shared, call: &Call<'_>) {
    let grace = state.stopping.wait().await;
    sleep_until(state, grace.last_send(call.deadline.0, typical_latency(state, call))).await;
}

/// Whether it is too late to send a request, as this host stops.
pub fn is_too_late(state: &Shared, call: &Call<'_>) -> bool {
    state.stopping.get().is_some_and(|grace| {
        let last_send = grace.last_send(call.deadline.0, typical_latency(state, call));
        state.clock.now() >= last_send
    })
}

/// When a server has to be done with a request that is sent now.
pub fn work_end(state: &Shared, call: &Call<'_>) -> Deadline {
    let ends = state.stopping.get().map(|grace| grace.ends);
    ends.map_or(call.deadline, |ends| Deadline(ends.min(call.deadline.0)))
}

/// Waits until a request that is at work has to be answered.
pub async fn cut_off(state: &Shared) {
    let grace = state.stopping.wait().await;
    // A server that stops work at the end still gets its answer through.
    sleep_until(state, grace.ends + DEADLINE_MARGIN).await;
}

/// Waits for the end of a planned stop, at which the process ends whatever is still open.
pub async fn exit(state: &Shared) {
    let grace = state.stopping.wait().await;
    sleep_until(state, grace.exits).await;
    warn!(state.log, "connections are still open at the end of the grace period; closing them");
}

fn typical_latency(state: &Shared, call: &Call<'_>) -> Duration {
    let snapshot = state.snapshot();
    let pool = snapshot.pool(call.service, state.settings.region);
    pool.map(|pool| pool.typical_latency()).unwrap_or_default()
}

async fn sleep_until(state: &Shared, time: Instant) {
    tokio::time::sleep(time.since(state.clock.now())).await;
}
