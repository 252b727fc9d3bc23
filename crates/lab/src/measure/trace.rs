//! What a run leaves behind: how each request ended, and what filled the regions.

use oleanderspan::{prelude::*, shift};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its whole answer came after this time.
    Done(Duration),
    /// It was refused and never ran.
    NotRun,
    /// Whether it ran cannot be told.
    Unknown,
}

/// The end of one request.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// When it arrived.
    pub arrived: Instant,
    /// When it ended.
    pub at: Instant,
    /// The region of its caller.
    pub origin: usize,
    /// Whether it was one of the long ones.
    pub is_long: bool,
    /// How it ended.
    pub outcome: Outcome,
}

/// The regions at one moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The moment.
    pub at: Instant,
    /// Requests at the servers, by region.
    pub in_flight: Vec<u32>,
    /// Requests that the document allows there, by region.
    pub ceiling: Vec<u32>,
    /// Where callers of the first region go, by region.
    pub shares_ppm: Vec<u32>,
}

/// Everything that the figures are computed from.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// The ends of all requests, in order of their ends.
    pub completions: Vec<Completion>,
    /// Samples at a fixed distance.
    pub samples: Vec<Sample>,
    /// The most requests over a region's ceiling at any instant.
    pub over_ceiling: u32,
    /// First attempts.
    pub attempts: u32,
    /// Attempts after a refused one.
    pub retries: u32,
    /// Second attempts beside a running one.
    pub hedges: u32,
    /// The last start of work by server.
    pub last_start: Vec<Instant>,
    /// The last end of work by server.
    pub last_end: Vec<Instant>,
}

/// Which requests a figure is about.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Those that arrived at or after this.
    pub from: Instant,
    /// Those that arrived before this.
    pub until: Instant,
}

impl Window {
    /// Everything after a warm-up.
    pub fn after(warm_up: Duration) -> Window {
        Window { from: Instant::ZERO + warm_up, until: Instant::from_nanos(u64::MAX) }
    }

    fn contains(self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

impl Trace {
    /// The latencies of answered requests, sorted.
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

    /// Requests that arrived in `window` and ended like this.
    pub fn count(&self, window: Window, predicate: impl Fn(Outcome) -> bool) -> usize {
        let within =
            self.completions.iter().filter(|completion| window.contains(completion.arrived));
        within.filter(|completion| predicate(completion.outcome)).count()
    }

    /// Requests answered within `window`, whenever they arrived.
    pub fn answered(&self, window: Window) -> usize {
        let within = self.completions.iter().filter(|completion| window.contains(completion.at));
        within.filter(|completion| matches!(completion.outcome, Outcome::Done(_))).count()
    }

    /// The greatest rise of a region's share within `window`, in parts per million.
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

/// The latency that this part of all requests does not exceed; zero if there are none.
pub fn quantile(sorted: &[Duration], fraction: f64) -> Duration {
    let rank = (sorted.len() as f64 * fraction).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

/// Whether a request was answered.
pub fn is_done(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Done(_))
}
