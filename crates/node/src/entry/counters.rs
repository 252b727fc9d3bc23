//! Counts of answers, kept in atomics on the request path and sent once a second.

use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, Gauged, StatsdClient};
use oleanderspan::{prelude::*, request::Refusal};

/// How often counts are sent.
pub const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Latency buckets, each twice as wide as the one before; the first ends at 2 µs.
const LATENCY_BUCKETS: usize = 32;

/// Counts since the start.
#[derive(Debug)]
pub struct Counters {
    done: AtomicU64,
    refused: [AtomicU64; Refusal::ALL.len()],
    latency: [AtomicU64; LATENCY_BUCKETS],
}

/// Counts at one point in time, to subtract from later ones.
#[derive(Clone, Debug)]
pub struct Reading {
    done: u64,
    refused: [u64; Refusal::ALL.len()],
    latency: [u64; LATENCY_BUCKETS],
}

impl Counters {
    /// Counters at zero.
    pub fn new() -> Counters {
        Counters {
            done: AtomicU64::new(0),
            refused: [const { AtomicU64::new(0) }; Refusal::ALL.len()],
            latency: [const { AtomicU64::new(0) }; LATENCY_BUCKETS],
        }
    }

    /// Counts an answer of a backend server.
    pub fn count_done(&self, latency: Duration) {
        self.done.fetch_add(1, Ordering::Relaxed);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX).max(1);
        let bucket = usize::try_from(micros.ilog2()).unwrap_or(0).min(LATENCY_BUCKETS - 1);
        self.latency[bucket].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refusal.
    pub fn count_refused(&self, refusal: Refusal) {
        if let Some(i) = Refusal::ALL.iter().position(|known| *known == refusal) {
            self.refused[i].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The counts at the start.
    pub fn zero(&self) -> Reading {
        Reading { done: 0, refused: [0; Refusal::ALL.len()], latency: [0; LATENCY_BUCKETS] }
    }

    /// The counts now.
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
    /// Sends what came since `earlier`; `docs/operators/metrics.md` lists the names.
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

    /// The histogram of latencies: upper bounds in microseconds, and the answers up to each. Buckets
    /// before the first answer and after the last one are left out.
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

    /// The upper bound, in microseconds, of the bucket that holds a quantile.
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
