//! What came of a run: endings and latencies by service, and the audit of bookings.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{Planned, audit::Audit, caller::Ending};

/// The results of one service.
#[derive(Clone, Debug)]
pub struct Row {
    /// Whole answers.
    pub done: u64,
    /// Refusals that said that the request was not run.
    pub not_run: u64,
    /// Refusals that said that the request may have run.
    pub unknown: u64,
    /// Connections to entry hosts that broke.
    pub broken: u64,
    /// Answers that belonged to another request.
    pub foreign: u64,
    latency: Histogram<u64>,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Results by service.
    pub rows: BTreeMap<&'static str, Row>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// How each booking ended.
    pub bookings: BTreeMap<u64, Ending>,
    /// What servers ran, against what callers were told.
    pub audit: Audit,
}

/// A row as it is printed in JSON.
#[derive(Debug, Serialize)]
struct Line<'a> {
    service: &'a str,
    done: u64,
    not_run: u64,
    unknown: u64,
    broken: u64,
    foreign: u64,
    p50_us: u64,
    p99_us: u64,
    max_us: u64,
}

impl Row {
    fn new() -> Row {
        let mut latency = Histogram::new(3).expect("3 digits are within the histogram's limits");
        latency.auto(true);
        Row { done: 0, not_run: 0, unknown: 0, broken: 0, foreign: 0, latency }
    }

    /// A quantile of the latency of whole answers, in microseconds.
    pub fn quantile_us(&self, part: f64) -> u64 {
        self.latency.value_at_quantile(part)
    }
}

impl Report {
    /// A report of nothing yet.
    pub fn new() -> Report {
        Report {
            rows: BTreeMap::new(),
            refusals: BTreeMap::new(),
            bookings: BTreeMap::new(),
            audit: Audit::default(),
        }
    }

    /// Adds the ending of a request.
    pub fn add(&mut self, request: &Planned, ending: &Ending, latency: Duration) {
        let row = self.rows.entry(request.service).or_insert_with(Row::new);
        match ending {
            Ending::Done => {
                row.done += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                // The histogram grows as needed, so that no value is out of its range.
                let _ = row.latency.record(micros);
            }
            Ending::NotRun(code) => {
                row.not_run += 1;
                *self.refusals.entry(code.clone()).or_default() += 1;
            }
            Ending::Unknown(code) => {
                row.unknown += 1;
                *self.refusals.entry(code.clone()).or_default() += 1;
            }
            Ending::Broken => row.broken += 1,
            Ending::Foreign => row.foreign += 1,
        }
        if request.books {
            self.bookings.insert(request.number, ending.clone());
        }
    }

    /// Whether every promise that the run could see was kept.
    pub fn is_clean(&self) -> bool {
        self.audit.is_clean() && self.rows.values().all(|row| row.foreign == 0)
    }

    /// The rows as JSON lines.
    pub fn to_json(&self) -> String {
        let lines: Vec<Line<'_>> = self.rows.iter().map(|(name, row)| line(name, row)).collect();
        serde_json::to_string(&lines).unwrap_or_default()
    }
}

impl Default for Report {
    fn default() -> Report {
        Report::new()
    }
}

fn line<'a>(service: &'a str, row: &Row) -> Line<'a> {
    Line {
        service,
        done: row.done,
        not_run: row.not_run,
        unknown: row.unknown,
        broken: row.broken,
        foreign: row.foreign,
        p50_us: row.quantile_us(0.5),
        p99_us: row.quantile_us(0.99),
        max_us: row.latency.max(),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>7} {:>8} {:>8} {:>7} {:>8} {:>9} {:>9} {:>9}",
            "service",
            "done",
            "not-run",
            "unknown",
            "broken",
            "foreign",
            "p50 ms",
            "p99 ms",
            "max ms"
        )?;
        for (name, row) in &self.rows {
            let line = line(name, row);
            let millis = |micros: u64| micros as f64 / 1_000.0;
            writeln!(
                f,
                "{name:<20} {:>7} {:>8} {:>8} {:>7} {:>8} {:>9.1} {:>9.1} {:>9.1}",
                line.done,
                line.not_run,
                line.unknown,
                line.broken,
                line.foreign,
                millis(line.p50_us),
                millis(line.p99_us),
                millis(line.max_us),
            )?;
        }
        for (code, count) in &self.refusals {
            writeln!(f, "refused {code}: {count}")?;
        }
        write!(f, "{}", self.audit)
    }
}
