//! How much faster the servers of a service are on objects that they know, and how many objects
//! they remember; both are learned from answers.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::{
    backend::recent_objects::{CAPACITY, ReuseDistance},
    prelude::*,
};

/// Objects that a server is taken to remember before answers have told.
const INITIAL_DEPTH: usize = 16;

/// The part by which one answer moves a median, as a divisor.
const MEDIAN_DIVISOR: u64 = 32;

/// How many times the latency on a known object that on an unknown one must be, in percent, before
/// the place of a request matters at all.
const MIN_LATENCY_RATIO_PERCENT: u64 = 150;

/// Answers of one recall after which the older half is forgotten, so that the depth follows a new
/// version of the servers.
const MAX_SAMPLES: u32 = 64;

/// Answers on known and on unknown objects that are wanted before either median is believed.
const MIN_SAMPLES: u32 = 4;

/// The largest recall, in other objects, whose answers count as those on known objects.
const MAX_KNOWN_DISTANCE: usize = 1;

/// A median that moves with each answer.
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
        // Large steps at first, as the first answer may be far off.
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

/// The latencies of a service on known and unknown objects.
#[derive(Debug)]
pub struct CacheModel {
    known: Median,
    unknown: Median,
    /// Answers by recall that were as fast as on known objects.
    fast: [AtomicU32; CAPACITY],
    /// Answers by recall that were as slow as on unknown objects.
    slow: [AtomicU32; CAPACITY],
    depth: AtomicU32,
}

impl CacheModel {
    /// Nothing learned yet.
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

    /// The number of objects that a server remembers.
    pub fn depth(&self) -> usize {
        self.depth.load(Ordering::Relaxed) as usize
    }

    /// Whether a server that recalls an object so is fast on it.
    pub fn is_cached(&self, reuse_distance: ReuseDistance) -> bool {
        reuse_distance.count().is_some_and(|others| others < self.depth())
    }

    /// The usual latency on a known object and on an unknown one, once both are known and differ.
    pub fn latencies(&self) -> Option<(Duration, Duration)> {
        let (known, unknown) = (self.known.get()?, self.unknown.get()?);
        let differ = unknown.saturating_mul(100) >= known.saturating_mul(MIN_LATENCY_RATIO_PERCENT);
        differ.then(|| (Duration::from_nanos(known), Duration::from_nanos(unknown)))
    }

    /// Takes over what another host has learned.
    pub fn import(&self, depth: usize, latencies: Option<(Duration, Duration)>) {
        let Some((known, unknown)) = latencies else { return };
        self.known.import(known);
        self.unknown.import(unknown);
        let depth = depth.clamp(1, CAPACITY);
        self.depth.store(depth as u32, Ordering::Relaxed);
        // Weighs as much as a few answers on either side of the depth.
        for (i, (fast, slow)) in self.fast.iter().zip(&self.slow).enumerate() {
            let count = if i < depth { fast } else { slow };
            count.fetch_max(MIN_SAMPLES, Ordering::Relaxed);
        }
    }

    /// Takes an answer into account.
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
        // The geometric mean of both, without a root.
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

    /// The depth that contradicts the fewest answers; among equals the one nearest to the guess.
    fn most_likely_depth(&self) -> usize {
        let count = |counts: &[AtomicU32; CAPACITY], i: usize| counts[i].load(Ordering::Relaxed);
        let mut wrong: u32 = (0..CAPACITY).map(|i| count(&self.fast, i)).sum();
        let mut best_server = (wrong, INITIAL_DEPTH, 0);
        for depth in 1..=CAPACITY {
            let last = depth - 1;
            // Another thread may change a count meanwhile.
            wrong = (wrong + count(&self.slow, last)).saturating_sub(count(&self.fast, last));
            best_server = best_server.min((wrong, depth.abs_diff(INITIAL_DEPTH), depth));
        }
        best_server.2.max(1)
    }
}

impl Default for CacheModel {
    fn default() -> CacheModel {
        CacheModel::new()
    }
}
