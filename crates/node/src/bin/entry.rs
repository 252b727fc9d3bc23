//! The entry daemon; `--help` lists its options.

use std::process::ExitCode;

use oleanderspan_node::{arguments, daemon, entry, log};
use tokio_util::sync::CancellationToken;

fn main() -> ExitCode {
    let settings = match arguments::parse().and_then(|arguments| daemon::load_settings(&arguments))
    {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let process = format!("{}/entry", settings.host.name);
    let (log, _guard) = log::start(&settings.log, &process);
    daemon::block_on(
        settings.entry.threads,
        log.clone(),
        daemon::Repeat::Exit,
        |stop: CancellationToken| entry::run(settings, log, stop),
    )
}
