//! The entry daemon; `--help` lists its options.

use std::process::ExitCode;

use oleanderspan_node::{daemon, entry, log};
use tokio_util::sync::CancellationToken;

fn main() -> ExitCode {
    let arguments: daemon::Arguments = argh::from_env();
    let settings = match daemon::load(&arguments) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let process = format!("{}/entry", settings.host.name);
    let (log, _guard) = log::start(&settings.log, &process);
    daemon::block_on(settings.entry.threads, log.clone(), |stop: CancellationToken| {
        entry::run(settings, log, stop)
    })
}
