//! Compares the runs in the servers' ledgers with the outcomes that callers received.

use std::{collections::BTreeMap, fmt, io, time::Duration};

use http::Request;
use oleanderspan_node::{
    codec,
    http::{
        Body,
        client::{Client, Protocol},
    },
};

use crate::{
    deployment::{Deployment, Ports},
    fleet::Ledger,
    load::{caller::Outcome, report::Report},
};

/// Time-out for reading a server's ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);

/// Bookings whose runs contradict the outcome that their caller received, by request number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Number of bookings checked.
    pub bookings: usize,
    /// Bookings that ran more than once.
    pub duplicated: Vec<u64>,
    /// Bookings with the outcome `done` that did not run.
    pub lost: Vec<u64>,
    /// Bookings with the outcome `not-run` that did run.
    pub wrongly_not_run: Vec<u64>,
}

impl Audit {
    /// Whether no booking contradicts its outcome.
    pub fn is_clean(&self) -> bool {
        self.duplicated.is_empty() && self.lost.is_empty() && self.wrongly_not_run.is_empty()
    }
}

impl fmt::Display for Audit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bookings checked: {}; ran more than once: {}; done but not run: {}; not-run but run: {}",
            self.bookings,
            self.duplicated.len(),
            self.lost.len(),
            self.wrongly_not_run.len()
        )
    }
}

/// Compares the ledgers of all servers with the outcomes of the report's bookings. Fails if a
/// server cannot be reached or its ledger cannot be decoded.
pub async fn audit(deployment: &Deployment, ports: Ports, report: &Report) -> io::Result<Audit> {
    let runs = runs_by_booking(deployment, ports).await?;
    let mut audit = Audit { bookings: report.bookings.len(), ..Audit::default() };
    for (number, outcome) in &report.bookings {
        let run_count = runs.get(number).copied().unwrap_or(0);
        if run_count > 1 {
            audit.duplicated.push(*number);
        }
        if run_count == 0 && *outcome == Outcome::Done {
            audit.lost.push(*number);
        }
        if run_count > 0 && matches!(outcome, Outcome::NotRun(_)) {
            audit.wrongly_not_run.push(*number);
        }
    }
    Ok(audit)
}

/// Number of runs of each booking over all servers, by request number.
async fn runs_by_booking(deployment: &Deployment, ports: Ports) -> io::Result<BTreeMap<u64, u32>> {
    let client = Client::new(Protocol::Http1);
    let mut runs = BTreeMap::new();
    for server in deployment.listed_servers(ports) {
        let uri = format!("http://{}/lab/ledger", server.address);
        let request = Request::get(uri).body(Body::empty()).map_err(io::Error::other)?;
        let (_, body) = client.call(request, LEDGER_TIMEOUT).await.map_err(io::Error::other)?;
        let ledger: Ledger = codec::from_json(&body).map_err(io::Error::other)?;
        for (key, count) in &ledger.runs {
            let number = key.starts_with("load-").then(|| key.rsplit('-').next()).flatten();
            if let Some(number) = number.and_then(|number| number.parse::<u64>().ok()) {
                *runs.entry(number).or_default() += count;
            }
        }
    }
    Ok(runs)
}
