//! What a run leaves behind: how each request ended, and what filled the regions.

use oleanderspan::{prelude::*, shift};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its whole answer came after this time.
    Done(Duration),
    /// It was refused and never ran.
    NotRun,
    /// Whether it ran cannot be told.
    Unknown,
}

/// The end of one request.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// When it arrived.
    pub arrived: Instant,
    /// When it ended.
    pub at: Instant,
    /// The region of its caller.
    pub origin: usize,
    /// Whether it was one of the long ones.
    pub is_long: bool,
    /// How it ended.
    pub end: End,
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
    pub ended: Vec<Ended>,
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

    fn holds(self, at: Instant) -> bool {
        self.from <= at && at < self.until
    }
}

impl Trace {
    /// The latencies of answered requests, sorted.
    pub fn latencies(&self, window: Window, wanted: impl Fn(&Ended) -> bool) -> Vec<Duration> {
        let within = self.ended.iter().filter(|ended| window.holds(ended.arrived) && wanted(ended));
        let mut latencies: Vec<Duration> = within
            .filter_map(|ended| match ended.end {
                End::Done(latency) => Some(latency),
                End::NotRun | End::Unknown => None,
            })
            .collect();
        latencies.sort_unstable();
        latencies
    }

    /// Requests that arrived in `window` and ended like this.
    pub fn count(&self, window: Window, wanted: impl Fn(End) -> bool) -> usize {
        let within = self.ended.iter().filter(|ended| window.holds(ended.arrived));
        within.filter(|ended| wanted(ended.end)).count()
    }

    /// Requests answered within `window`, whenever they arrived.
    pub fn answered(&self, window: Window) -> usize {
        let within = self.ended.iter().filter(|ended| window.holds(ended.at));
        within.filter(|ended| matches!(ended.end, End::Done(_))).count()
    }

    /// The greatest rise of a region's share within `window`, in parts per million.
    pub fn greatest_rise_ppm(&self, window: Duration) -> u32 {
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
pub fn quantile(sorted: &[Duration], part: f64) -> Duration {
    let rank = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

/// Whether a request was answered.
pub fn is_done(end: End) -> bool {
    matches!(end, End::Done(_))
}
