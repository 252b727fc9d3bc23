//! Re-reads the settings file on SIGHUP.

use std::path::PathBuf;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::{Settings, State};

/// Validates the settings file on each SIGHUP and logs the result. All settings are fixed for the
/// lifetime of the process, so changes take effect on the next start.
pub async fn run(state: State, path: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            warn!(state.log, "cannot install the SIGHUP handler; settings are not re-read";
                "reason" => %error);
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
                    "outcome" => "takes effect on the next start");
            }
            Err(error) => {
                warn!(state.log, "settings not reloaded"; "reason" => %error,
                    "outcome" => "current settings stay in effect");
            }
        }
    }
}
