//! Planned stop: deregister the host, keep accepting requests until clients and hosts know, close
//! the client port, and let requests in flight finish within the grace period.

use oleanderspan::prelude::*;
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::gateway::{Source, State};

/// How long connections are accepted after the stop begins. Clients cache directory responses for
/// 2 s, and other hosts learn of the stop within 0.5 s.
const PROPAGATION_DELAY: Duration = Duration::from_millis(1_800);

/// The longest time to accept connections, in percent of the grace period, so that requests in
/// flight can still finish within it.
const ACCEPT_PERCENT: u32 = 30;

/// The longest wait for the store to remove this host's registration.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for `stop`, deregisters this host, and closes the client port once clients no longer use
/// it.
pub async fn run<S: Source>(state: State, source: S, stop: CancellationToken) {
    stop.cancelled().await;
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
    let accept_period = PROPAGATION_DELAY.min(state.settings.grace * ACCEPT_PERCENT / 100);
    tokio::time::sleep(accept_period).await;
    info!(state.log, "closing");
    state.stop.close();
}
