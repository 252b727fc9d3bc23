//! Output of a simulation: the outcome of each request, and region utilization over time.

use oleanderspan::{prelude::*, shift};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely, with this latency.
    Done(Duration),
    /// Refused without having run.
    NotRun,
    /// Lost with its region; it may or may not have run.
    Unknown,
}

/// A completed request.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// Arrival time at the entry host.
    pub arrived: Instant,
    /// Time of the answer or refusal.
    pub at: Instant,
    /// Index of the caller's region.
    pub origin: usize,
    /// Whether it was a long request.
    pub is_long: bool,
    /// Whether it was answered, refused or lost.
    pub outcome: Outcome,
}

/// State of the regions at one instant.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time of the sample.
    pub at: Instant,
    /// Attempts that run or wait at servers, by region.
    pub in_flight: Vec<u32>,
    /// Slots that may be in use, by region.
    pub ceiling: Vec<u32>,
    /// Shares of the first region's callers, by serving region, in parts per million.
    pub shares_ppm: Vec<u32>,
}

/// Recorded data from which the figures are computed.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Completed requests, in the order in which they were recorded.
    pub completions: Vec<Completion>,
    /// Samples at a fixed interval.
    pub samples: Vec<Sample>,
    /// Largest excess of requests over any region's ceiling at any instant.
    pub over_ceiling: u32,
    /// Attempts sent to servers, including retries and hedges.
    pub attempts: u32,
    /// Retries of attempts that were refused without having run.
    pub retries: u32,
    /// Hedged attempts.
    pub hedges: u32,
    /// Time at which each server last started an attempt.
    pub last_start: Vec<Instant>,
    /// Time at which each server last ended an attempt.
    pub last_end: Vec<Instant>,
}

/// A time range, from `from` inclusive to `until` exclusive.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start, inclusive.
    pub from: Instant,
    /// End, exclusive.
    pub until: Instant,
}

impl Window {
    /// The range from the end of a warm-up, without an end.
    pub fn after(warm_up: Duration) -> Window {
        Window { from: Instant::ZERO + warm_up, until: Instant::from_nanos(u64::MAX) }
    }

    fn contains(self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

impl Trace {
    /// Sorted latencies of answered requests that arrived in `window` and match `predicate`.
    pub fn latencies(
        &self,
        window: Window,
        predicate: impl Fn(&Completion) -> bool,
    ) -> Vec<Duration> {
        let within = self
            .completions
            .iter()
            .filter(|completion| window.contains(completion.arrived) && predicate(completion));
        let mut latencies: Vec<Duration> = within
            .filter_map(|completion| match completion.outcome {
                Outcome::Done(latency) => Some(latency),
                Outcome::NotRun | Outcome::Unknown => None,
            })
            .collect();
        latencies.sort_unstable();
        latencies
    }

    /// Number of requests that arrived in `window` and whose outcome matches `predicate`.
    pub fn count(&self, window: Window, predicate: impl Fn(Outcome) -> bool) -> usize {
        let within =
            self.completions.iter().filter(|completion| window.contains(completion.arrived));
        within.filter(|completion| predicate(completion.outcome)).count()
    }

    /// Number of requests answered within `window`, regardless of when they arrived.
    pub fn answered(&self, window: Window) -> usize {
        let within = self.completions.iter().filter(|completion| window.contains(completion.at));
        within.filter(|completion| matches!(completion.outcome, Outcome::Done(_))).count()
    }

    /// Largest rise of any region's share within `window`, in parts per million.
    pub fn max_rise_ppm(&self, window: Duration) -> u32 {
        let rises = self.samples.iter().enumerate().flat_map(|(i, first)| {
            let later = self.samples[i..].iter().take_while(|s| s.at.since(first.at) <= window);
            later.flat_map(|last| {
                first.shares_ppm.iter().zip(&last.shares_ppm).map(|(a, b)| b.saturating_sub(*a))
            })
        });
        rises.max().unwrap_or(0).min(shift::WHOLE_PPM)
    }
}

/// Nearest-rank quantile of sorted latencies, with `fraction` from 0 to 1; zero if there are none.
pub fn quantile(sorted: &[Duration], fraction: f64) -> Duration {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

/// Whether the request was answered completely.
pub fn is_done(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Done(_))
}
