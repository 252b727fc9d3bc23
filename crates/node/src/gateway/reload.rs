//! Looks at the settings file again after a SIGHUP.

use std::path::PathBuf;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::{Settings, State};

/// Checks the settings file at each SIGHUP and says what became of it. Everything in it is bound to
/// the life of a process, so that changes take effect with the next start.
pub async fn run(state: State, path: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            warn!(state.log, "cannot watch for SIGHUP"; "reason" => %error);
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(settings) if settings.is_equivalent(&state.settings) => {
                info!(state.log, "settings reloaded"; "changed" => false);
            }
            Ok(_) => {
                info!(state.log, "settings reloaded"; "changed" => true,
                    "outcome" => "in force from the next start");
            }
            Err(error) => {
                warn!(state.log, "settings not reloaded"; "reason" => %error,
                    "outcome" => "the earlier ones stay in force");
            }
        }
    }
}
