//! Request counters, kept in atomics on the request path and sent once a second.

use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, StatsdClient};
use oleanderspan::{prelude::*, request::Refusal};

/// The interval at which counters are sent as metrics.
pub const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// The number of latency buckets. Each is twice as wide as the one before; the first ends at 2 µs.
const LATENCY_BUCKETS: usize = 32;

/// Counters since the start of the daemon.
#[derive(Debug)]
pub struct Counters {
    done: AtomicU64,
    refused: [AtomicU64; Refusal::ALL.len()],
    latency: [AtomicU64; LATENCY_BUCKETS],
}

/// The counter values at one point in time, for computing differences.
#[derive(Clone, Debug)]
pub struct Reading {
    done: u64,
    refused: [u64; Refusal::ALL.len()],
    latency: [u64; LATENCY_BUCKETS],
}

impl Counters {
    /// Creates counters with all values at zero.
    pub fn new() -> Counters {
        Counters {
            done: AtomicU64::new(0),
            refused: [const { AtomicU64::new(0) }; Refusal::ALL.len()],
            latency: [const { AtomicU64::new(0) }; LATENCY_BUCKETS],
        }
    }

    /// Counts an answer from a backend server; `latency` is the time from the arrival of the
    /// request until its answer was available.
    pub fn count_done(&self, latency: Duration) {
        self.done.fetch_add(1, Ordering::Relaxed);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1);
        let bucket = usize::try_from(micros.ilog2()).unwrap_or(0).min(LATENCY_BUCKETS - 1);
        self.latency[bucket].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was answered with `refusal`.
    pub fn count_refused(&self, refusal: Refusal) {
        if let Some(i) = Refusal::ALL.iter().position(|known| *known == refusal) {
            self.refused[i].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The values at the start of the daemon, all zero.
    pub fn zero(&self) -> Reading {
        Reading { done: 0, refused: [0; Refusal::ALL.len()], latency: [0; LATENCY_BUCKETS] }
    }

    /// Reads the current values. They are read one by one, not as one atomic snapshot.
    pub fn read(&self) -> Reading {
        Reading {
            done: self.done.load(Ordering::Relaxed),
            refused: std::array::from_fn(|i| self.refused[i].load(Ordering::Relaxed)),
            latency: std::array::from_fn(|i| self.latency[i].load(Ordering::Relaxed)),
        }
    }
}

impl Default for Counters {
    fn default() -> Counters {
        Counters::new()
    }
}

impl Reading {
    /// Sends the differences from `earlier` as metrics; `docs/operators/metrics.md` lists the
    /// names.
    pub fn send_since(&self, earlier: &Reading, metrics: &StatsdClient) {
        let delta = |now: u64, before: u64| i64::try_from(now - before).unwrap_or(i64::MAX);
        let _ = metrics.count("entry.answers", delta(self.done, earlier.done));
        for (i, refusal) in Refusal::ALL.iter().enumerate() {
            let count = delta(self.refused[i], earlier.refused[i]);
            if count > 0 {
                metrics
                    .count_with_tags("entry.refusals", count)
                    .with_tag("refusal", refusal.as_str())
                    .send();
            }
        }
        for (name, quantile) in [("entry.latency_p50_us", 0.5), ("entry.latency_p99_us", 0.99)] {
            if let Some(micros) = self.quantile_since(earlier, quantile) {
                let _ = metrics.gauge(name, micros);
            }
        }
    }

    /// The cumulative latency histogram: the upper bound of each bucket in microseconds, and the
    /// number of answers up to that bound. Empty buckets at either end are left out.
    pub fn histogram(&self) -> impl Iterator<Item = (u64, u64)> {
        let first = self.latency.iter().position(|count| *count > 0).unwrap_or(LATENCY_BUCKETS);
        let last = self.latency.iter().rposition(|count| *count > 0).unwrap_or(0);
        let mut seen = 0;
        let buckets = self.latency.iter().enumerate().take(last + 1).skip(first);
        buckets.map(move |(bucket, count)| {
            seen += count;
            (2 << bucket, seen)
        })
    }

    /// The upper bound, in microseconds, of the bucket that contains `quantile` (0 to 1) of the
    /// latencies since `earlier`; `None` if there were no answers.
    pub fn quantile_since(&self, earlier: &Reading, quantile: f64) -> Option<u64> {
        let counts = self.latency.iter().zip(&earlier.latency).map(|(now, before)| now - before);
        let counts: Vec<u64> = counts.collect();
        let target = (counts.iter().sum::<u64>() as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        let bucket = counts.iter().position(|count| {
            seen += count;
            target > 0 && seen >= target
        })?;
        Some(2 << bucket)
    }
}
