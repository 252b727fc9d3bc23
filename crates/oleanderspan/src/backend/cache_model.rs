//! Estimates, from answers, how much faster the servers of a service are on objects that they have
//! cached, and how many objects a server caches.
//!
//! An object within that number is called known, any other unknown.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::{
    backend::recent_objects::{CAPACITY, ReuseDistance},
    prelude::*,
};

/// Number of objects that a server is assumed to cache before any answers.
const INITIAL_DEPTH: usize = 16;

/// Each answer moves a median by this fraction (divisor).
const MEDIAN_DIVISOR: u64 = 32;

/// Least latency on unknown objects, as a percentage of that on known ones, at which cache-aware
/// placement is used at all.
const MIN_LATENCY_RATIO_PERCENT: u64 = 150;

/// Number of answers at one reuse distance after which the counts are halved, so that the depth
/// follows a new version of the servers.
const MAX_SAMPLES: u32 = 64;

/// Least number of answers on known and on unknown objects before either median is used.
const MIN_SAMPLES: u32 = 4;

/// Largest reuse distance whose answers count towards the median on known objects.
const MAX_KNOWN_DISTANCE: usize = 1;

/// A running estimate of the median.
#[derive(Debug, Default)]
struct Median {
    nanos: AtomicU64,
    answers: AtomicU32,
}

impl Median {
    fn observe(&self, latency: Duration) {
        let sample = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        let answers = self.answers.load(Ordering::Relaxed);
        self.answers.store(answers.saturating_add(1), Ordering::Relaxed);
        // Takes larger steps at first, as the first answer may be an outlier.
        let divisor = MEDIAN_DIVISOR.min(u64::from(answers) + 2);
        let step = |median: u64| match median {
            0 => Some(sample),
            _ if sample > median => Some((median + median / divisor).min(sample)),
            _ => Some((median - median / divisor).max(sample)),
        };
        let _ = self.nanos.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    fn import(&self, median: Duration) {
        let nanos = u64::try_from(median.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.store(nanos, Ordering::Relaxed);
        self.answers.fetch_max(MEDIAN_DIVISOR as u32, Ordering::Relaxed);
    }

    fn get(&self) -> Option<u64> {
        let is_known = self.answers.load(Ordering::Relaxed) >= MIN_SAMPLES;
        is_known.then(|| self.nanos.load(Ordering::Relaxed))
    }
}

/// The estimated cache depth of a service's servers, and its latencies on known and unknown
/// objects.
#[derive(Debug)]
pub struct CacheModel {
    known: Median,
    unknown: Median,
    /// Number of answers, by reuse distance, that were about as fast as on known objects.
    fast: [AtomicU32; CAPACITY],
    /// Number of answers, by reuse distance, that were about as slow as on unknown objects.
    slow: [AtomicU32; CAPACITY],
    depth: AtomicU32,
}

impl CacheModel {
    /// A model without any answers, which assumes a depth of 16 objects.
    pub const fn new() -> CacheModel {
        const fn median() -> Median {
            Median { nanos: AtomicU64::new(0), answers: AtomicU32::new(0) }
        }
        CacheModel {
            known: median(),
            unknown: median(),
            fast: [const { AtomicU32::new(0) }; CAPACITY],
            slow: [const { AtomicU32::new(0) }; CAPACITY],
            depth: AtomicU32::new(INITIAL_DEPTH as u32),
        }
    }

    /// The estimated number of objects that a server caches, from 1 to [`CAPACITY`].
    pub fn depth(&self) -> usize {
        self.depth.load(Ordering::Relaxed) as usize
    }

    /// Whether an object at this reuse distance is expected to be cached.
    pub fn is_cached(&self, reuse_distance: ReuseDistance) -> bool {
        reuse_distance.count().is_some_and(|others| others < self.depth())
    }

    /// Median latency on known and on unknown objects; `None` until both have enough answers, and
    /// while the second is less than 1.5 times the first.
    pub fn latencies(&self) -> Option<(Duration, Duration)> {
        let (known, unknown) = (self.known.get()?, self.unknown.get()?);
        let is_distinct =
            unknown.saturating_mul(100) >= known.saturating_mul(MIN_LATENCY_RATIO_PERCENT);
        is_distinct.then(|| (Duration::from_nanos(known), Duration::from_nanos(unknown)))
    }

    /// Adopts the estimates of another host. Does nothing without latencies.
    pub fn import(&self, depth: usize, latencies: Option<(Duration, Duration)>) {
        let Some((known, unknown)) = latencies else { return };
        self.known.import(known);
        self.unknown.import(unknown);
        let depth = depth.clamp(1, CAPACITY);
        self.depth.store(depth as u32, Ordering::Relaxed);
        // The adopted depth counts as a few answers at each reuse distance.
        for (i, (fast, slow)) in self.fast.iter().zip(&self.slow).enumerate() {
            let count = if i < depth { fast } else { slow };
            count.fetch_max(MIN_SAMPLES, Ordering::Relaxed);
        }
    }

    /// Records the latency of an answer on an object at this reuse distance.
    pub fn observe(&self, reuse_distance: ReuseDistance, latency: Duration) {
        match reuse_distance.count() {
            None => self.unknown.observe(latency),
            Some(0..=MAX_KNOWN_DISTANCE) => self.known.observe(latency),
            Some(_) => {}
        }
        let (Some(others), Some((known, unknown))) = (reuse_distance.count(), self.latencies())
        else {
            return;
        };
        // Compares with the geometric mean of both medians, squared to avoid a root.
        let (nanos, bound) =
            (latency.as_nanos(), known.as_nanos().saturating_mul(unknown.as_nanos()));
        let is_fast = nanos.saturating_mul(nanos) < bound;
        let (count, other) = match is_fast {
            true => (&self.fast[others], &self.slow[others]),
            false => (&self.slow[others], &self.fast[others]),
        };
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_SAMPLES {
            for count in [count, other] {
                count.store(count.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
            }
        }
        self.depth.store(self.most_likely_depth() as u32, Ordering::Relaxed);
    }

    /// The depth that contradicts the fewest answers; among equals, the one nearest to the initial
    /// depth.
    fn most_likely_depth(&self) -> usize {
        let count = |counts: &[AtomicU32; CAPACITY], i: usize| counts[i].load(Ordering::Relaxed);
        let mut contradicted: u32 = (0..CAPACITY).map(|i| count(&self.fast, i)).sum();
        let mut best = (contradicted, INITIAL_DEPTH, 0);
        for depth in 1..=CAPACITY {
            let last = depth - 1;
            // Another thread may change a count in the meantime.
            contradicted =
                (contradicted + count(&self.slow, last)).saturating_sub(count(&self.fast, last));
            best = best.min((contradicted, depth.abs_diff(INITIAL_DEPTH), depth));
        }
        best.2.max(1)
    }
}

impl Default for CacheModel {
    fn default() -> CacheModel {
        CacheModel::new()
    }
}
