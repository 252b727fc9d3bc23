//! A planned stop: leave the directory, finish what was read, close, exit within the grace.

use oleanderspan::prelude::*;
use slog::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::gateway::{Source, State};

/// For how long connections are still accepted: answers of the directory are kept for two
/// seconds, and other hosts hear of the stop within half of one.
const PROPAGATION_DELAY: Duration = Duration::from_millis(1_800);

/// The part of the grace, in percent, after which no connection is accepted any more, so that
/// the requests in flight still end within it.
const ACCEPT_PERCENT: u32 = 30;

/// The longest time to take this host off the store's list.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for the signal, and closes the caller port when no caller has a reason to come.
pub async fn run<S: Source>(state: State, source: S, stop: CancellationToken) {
    stop.cancelled().await;
    state.stop.begin();
    info!(state.log, "stopping"; "grace_ms" => state.settings.grace.as_millis());
    let withdrawn = source.withdraw(&state.settings.host);
    match tokio::time::timeout(WITHDRAW_TIMEOUT, withdrawn).await {
        Ok(Ok(())) => {}
        // The others notice by this host's answers, or by its silence.
        Ok(Err(error)) => warn!(state.log, "still on the store's list"; "reason" => %error),
        Err(_) => warn!(state.log, "still on the store's list"; "reason" => "no answer in time"),
    }
    let accept_period = PROPAGATION_DELAY.min(state.settings.grace * ACCEPT_PERCENT / 100);
    tokio::time::sleep(accept_period).await;
    info!(state.log, "closing");
    state.stop.close();
}
