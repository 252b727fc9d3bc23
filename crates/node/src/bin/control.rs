//! The control daemon; `--help` lists its options.

use std::process::ExitCode;

use oleanderspan_node::{arguments, control, daemon, log};
use tokio_util::sync::CancellationToken;

/// Worker threads; two suffice because the work is mostly waiting for I/O.
const THREADS: usize = 2;

fn main() -> ExitCode {
    let settings = match arguments::parse().and_then(|arguments| daemon::load_settings(&arguments))
    {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let process = format!("{}/control", settings.host.name);
    let (log, _guard) = log::start(&settings.log, &process);
    daemon::block_on(THREADS, log.clone(), daemon::Repeat::Exit, |stop: CancellationToken| {
        control::run(settings, log, stop)
    })
}
