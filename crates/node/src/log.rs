//! Logs: one line of key=value pairs for each event.

use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};

use slog::{Drain, FnValue, Level, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::{AsyncCore, AsyncError};

use crate::{clock, settings};

/// Records that may wait to be written; more are dropped and counted in a line of their own.
const QUEUE_RECORDS: usize = 4096;

/// Records that this process has dropped since its start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Records that this process has dropped since its start, as nobody took them in time.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Hands records to the thread that writes them, and drops them while too many wait.
///
/// `slog_async::Async` does as much, but counts most dropped records twice.
struct BoundedDrain {
    queue: AsyncCore,
    /// Dropped records that no line has told of yet.
    unreported: AtomicU64,
}

impl Drain for BoundedDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let unreported = self.unreported.swap(0, Ordering::Relaxed);
        if unreported > 0 {
            let reported = self.queue.log(
                &record!(
                    Level::Warning,
                    "log",
                    &format_args!("log records dropped"),
                    b!("count" => unreported)
                ),
                values,
            );
            if reported.is_err() {
                self.unreported.fetch_add(unreported, Ordering::Relaxed);
            }
        }
        match self.queue.log(record, values) {
            Ok(()) => {}
            // Without the writing thread there is nowhere to tell of it but the counter.
            Err(AsyncError::Full | AsyncError::Fatal(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                self.unreported.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

/// Makes the logger of a process, which writes to standard error; the guard writes what is queued
/// when it is dropped.
pub fn start(settings: &settings::log::Log, process: &str) -> (Logger, slog_async::AsyncGuard) {
    start_with_writer(io::stderr(), settings, process)
}

/// Makes a logger as [`start`] does, which writes to `out`.
pub fn start_with_writer(
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
    let writer = slog_logfmt::Logfmt::new(out).build().fuse();
    let (queue, guard) =
        AsyncCore::custom(writer).chan_size(QUEUE_RECORDS).blocking(false).build_with_guard();
    let drain = BoundedDrain { queue, unreported: AtomicU64::new(0) }.filter_level(level).fuse();
    // The wall clock tells lines of several hosts apart and may jump; the time since the start does
    // not, and orders the lines of one process.
    let started = std::time::Instant::now();
    let values = o!(
        "process" => process.to_owned(),
        "up_ms" => FnValue(move |_| {
            u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
        }),
        "time" => FnValue(|_| clock::format_utc(clock::wall_millis())),
    );
    (Logger::root(drain, values), guard)
}
