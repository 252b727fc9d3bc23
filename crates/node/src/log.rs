//! Logging: one line of key=value pairs for each record.

use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};

use slog::{Drain, FnValue, Level, Logger, Never, OwnedKVList, Record, b, o, record};
use slog_async::{AsyncCore, AsyncError};

use crate::{clock, settings};

/// Capacity of the queue to the writer thread. Further records are dropped; a log line reports
/// their count.
const QUEUE_RECORDS: usize = 4096;

/// Number of records dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of records dropped since the process started because the queue was full or the writer
/// thread had ended.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Passes records to the writer thread without blocking, and drops them while the queue is full.
///
/// `slog_async::Async` does the same but counts most dropped records twice.
struct BoundedDrain {
    queue: AsyncCore,
    /// Number of dropped records that no log line has reported yet.
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
            // If the writer thread has ended, only the counter can show the loss.
            Err(AsyncError::Full | AsyncError::Fatal(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                self.unreported.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

/// Creates the logger of a process, which writes to standard error. Dropping the guard flushes the
/// queue.
pub fn start(settings: &settings::log::Log, process: &str) -> (Logger, slog_async::AsyncGuard) {
    start_with_writer(io::stderr(), settings, process)
}

/// Creates a logger as [`start`] does, but writes to `out`.
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
    // `time` lets lines of several hosts be compared, but the wall clock may jump; `up_ms` is
    // monotonic and orders the lines of one process.
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
