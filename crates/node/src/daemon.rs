//! What both daemons share: the command line, the start and the planned stop.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use slog::{Logger, error, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{arguments::EXIT_USAGE, settings::Settings};

/// A daemon of oleanderspan; SIGTERM is a planned stop, a second one stops at once.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    /// the settings file
    #[argh(option)]
    pub settings: PathBuf,

    /// check the settings and exit: 0 if they are valid, 2 if not
    #[argh(switch)]
    pub check_settings: bool,
}

/// Loads the settings, or says why the process ends.
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

/// Cancels `stop` at the first signal and exits at the second.
pub async fn watch_signals(log: Logger, stop: CancellationToken) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut next_signal = async || {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    next_signal().await;
    info!(log, "planned stop");
    stop.cancel();
    next_signal().await;
    warn!(log, "stopping at once");
    std::process::exit(1);
}

/// Runs a daemon on its own runtime until a signal and the end of what is in flight.
pub fn block_on<F: Future<Output = std::io::Result<()>>>(
    threads: usize,
    log: Logger,
    run: impl FnOnce(CancellationToken) -> F,
) -> ExitCode {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let result = runtime.and_then(|runtime| {
        runtime.block_on(async {
            let stop = CancellationToken::new();
            tokio::spawn(watch_signals(log.clone(), stop.clone()));
            run(stop).await
        })
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(log, "cannot go on"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}
