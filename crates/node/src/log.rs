//! Logs: one line of key=value pairs for each event.

use std::io;

use slog::{Drain, Level, Logger, o};
use slog_async::OverflowStrategy;

use crate::settings;

/// Records that may wait to be written; more are dropped and counted in a line of their own.
const QUEUE_RECORDS: usize = 4096;

/// Makes the logger of a process, which writes to standard error; the guard writes what is queued
/// when it is dropped.
pub fn start(settings: &settings::log::Log, process: &str) -> (Logger, slog_async::AsyncGuard) {
    start_on(io::stderr(), settings, process)
}

/// Makes a logger as [`start`] does, which writes to `out`.
pub fn start_on(
    out: impl io::Write + Send + 'static,
    settings: &settings::log::Log,
    process: &str,
) -> (Logger, slog_async::AsyncGuard) {
    let level = match settings.level {
        settings::log::Level::Error => Level::Error,
        settings::log::Level::Warning => Level::Warning,
        settings::log::Level::Info => Level::Info,
        settings::log::Level::Debug => Level::Debug,
    };
    let lines = slog_logfmt::Logfmt::new(out).build().fuse();
    let (queued, guard) = slog_async::Async::new(lines)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = queued.filter_level(level).fuse();
    (Logger::root(drain, o!("process" => process.to_owned())), guard)
}
