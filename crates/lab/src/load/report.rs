//! Results of a load run: outcomes and latencies by service, and the audit of bookings.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{PlannedRequest, audit::Audit, caller::Outcome};

/// Request counts by outcome, and latencies, of one service.
#[derive(Clone, Debug)]
pub struct ServiceResults {
    /// Complete answers.
    pub done: u64,
    /// Refusals with the outcome `not-run`.
    pub not_run: u64,
    /// Refusals of requests that may have run.
    pub unknown: u64,
    /// Requests without a complete answer, as the connection broke or timed out.
    pub broken: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    latency: Histogram<u64>,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Results by service name.
    pub rows: BTreeMap<&'static str, ServiceResults>,
    /// Number of refusals by refusal code.
    pub refusals: BTreeMap<String, u64>,
    /// Outcome of each booking, by request number.
    pub bookings: BTreeMap<u64, Outcome>,
    /// Comparison of the outcomes with the servers' ledgers; empty until the run has ended.
    pub audit: Audit,
}

/// Results of one service in the output of `--json`.
#[derive(Debug, Serialize)]
struct JsonRow<'a> {
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

impl ServiceResults {
    fn new() -> ServiceResults {
        let mut latency = Histogram::new(3).expect("3 digits are within the histogram's limits");
        latency.auto(true);
        ServiceResults { done: 0, not_run: 0, unknown: 0, broken: 0, foreign: 0, latency }
    }

    /// Latency of complete answers at a quantile from 0 to 1, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }
}

impl Report {
    /// A report without requests.
    pub fn new() -> Report {
        Report {
            rows: BTreeMap::new(),
            refusals: BTreeMap::new(),
            bookings: BTreeMap::new(),
            audit: Audit::default(),
        }
    }

    /// Records the outcome of a request, and its latency if it is done.
    pub fn record(&mut self, request: &PlannedRequest, outcome: &Outcome, latency: Duration) {
        let row = self.rows.entry(request.service).or_insert_with(ServiceResults::new);
        match outcome {
            Outcome::Done => {
                row.done += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                // The histogram resizes itself, so no value is out of range.
                let _ = row.latency.record(micros);
            }
            Outcome::NotRun(code) => {
                row.not_run += 1;
                *self.refusals.entry(code.clone()).or_default() += 1;
            }
            Outcome::Unknown(code) => {
                row.unknown += 1;
                *self.refusals.entry(code.clone()).or_default() += 1;
            }
            Outcome::Broken => row.broken += 1,
            Outcome::Foreign => row.foreign += 1,
        }
        if request.is_booking {
            self.bookings.insert(request.number, outcome.clone());
        }
    }

    /// Whether no booking contradicts its outcome and no answer belongs to another request.
    pub fn is_clean(&self) -> bool {
        self.audit.is_clean() && self.rows.values().all(|row| row.foreign == 0)
    }

    /// The results as a JSON array with one object for each service.
    pub fn to_json(&self) -> String {
        let rows: Vec<JsonRow<'_>> =
            self.rows.iter().map(|(name, row)| json_row(name, row)).collect();
        serde_json::to_string(&rows).unwrap_or_default()
    }
}

impl Default for Report {
    fn default() -> Report {
        Report::new()
    }
}

fn json_row<'a>(service: &'a str, row: &ServiceResults) -> JsonRow<'a> {
    JsonRow {
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
            let row = json_row(name, row);
            let millis = |micros: u64| micros as f64 / 1_000.0;
            writeln!(
                f,
                "{name:<20} {:>7} {:>8} {:>8} {:>7} {:>8} {:>9.1} {:>9.1} {:>9.1}",
                row.done,
                row.not_run,
                row.unknown,
                row.broken,
                row.foreign,
                millis(row.p50_us),
                millis(row.p99_us),
                millis(row.max_us),
            )?;
        }
        for (code, count) in &self.refusals {
            writeln!(f, "refused {code}: {count}")?;
        }
        write!(f, "{}", self.audit)
    }
}
