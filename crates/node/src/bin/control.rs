//! The control daemon; `--help` lists its options.

use std::process::ExitCode;

use oleanderspan_node::{control, daemon, log};
use tokio_util::sync::CancellationToken;

/// Worker threads; the work is small and mostly waiting.
const THREADS: usize = 2;

fn main() -> ExitCode {
    let arguments: daemon::Arguments = argh::from_env();
    let settings = match daemon::load(&arguments) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let process = format!("{}/control", settings.host.name);
    let (log, _guard) = log::start(&settings.log, &process);
    daemon::block_on(THREADS, log.clone(), |stop: CancellationToken| {
        control::run(settings, log, stop)
    })
}
