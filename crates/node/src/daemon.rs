//! Common to both daemons: command line, start-up, signal handling and runtime.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use slog::{Logger, error, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{arguments::EXIT_USAGE, settings::Settings};

/// Daemon of oleanderspan. The first SIGTERM or SIGINT starts a graceful shutdown, the second one
/// exits at once with status 1.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// path of the settings file, JSON
    #[argh(option)]
    pub settings: PathBuf,

    /// validate the settings and exit: status 0 if they are valid, 2 if not
    #[argh(switch)]
    pub check_settings: bool,
}

/// Loads the settings. Returns the exit code if they are invalid, or after `--check-settings`.
pub fn load_settings(arguments: &Arguments) -> Result<Settings, ExitCode> {
    let settings = Settings::load(&arguments.settings).map_err(|error| {
        eprintln!("{}:\n{error}", arguments.settings.display());
        ExitCode::from(EXIT_USAGE)
    })?;
    if arguments.check_settings {
        println!("{}: valid", arguments.settings.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// What a repeated SIGTERM does during a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Ends the process at once, for operators who cannot wait.
    Exit,
    /// Nothing: whoever cannot wait sends SIGKILL.
    Ignore,
}

/// Cancels `stop` at the first SIGTERM or SIGINT and exits the process with status 1 at a second
/// SIGINT, or at a second SIGTERM if `repeat` says so.
pub async fn watch_signals(
    log: Logger,
    stop: CancellationToken,
    repeat: Repeat,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(log, "signal received; starting graceful shutdown");
    stop.cancel();
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => break,
        }
        if repeat == Repeat::Exit {
            break;
        }
        info!(log, "SIGTERM received again; graceful shutdown continues");
    }
    warn!(log, "second signal received; exiting without waiting for requests in flight");
    std::process::exit(1);
}

/// Runs a daemon on a new runtime until `run` returns: after a signal, when the requests in flight
/// have ended, or with an error.
pub fn block_on<F: Future<Output = std::io::Result<()>>>(
    threads: usize,
    log: Logger,
    repeat: Repeat,
    run: impl FnOnce(CancellationToken) -> F,
) -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let result = runtime.and_then(|runtime| {
        runtime.block_on(async {
            let stop = CancellationToken::new();
            tokio::spawn(watch_signals(log.clone(), stop.clone(), repeat));
            run(stop).await
        })
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "daemon failed; exiting"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}
