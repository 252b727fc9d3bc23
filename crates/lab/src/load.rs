//! Callers with load, for real processes over loopback.
//!
//! Requests start at times that are planned in advance, and latency counts from the planned
//! start, so that a slow answer is not hidden by the requests that it delayed.

pub mod audit;
pub mod caller;
pub mod report;

use std::{io, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    deployment::{Deployment, Ports},
    load::{caller::Caller, report::Report},
};

/// What a run offers.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Requests a second over all callers.
    pub rate: u32,
    /// How long requests start.
    pub duration: Duration,
    /// The share of requests to booking services that book, in percent.
    pub bookings_percent: u8,
    /// The share of requests that run `long_ms` on the server, in percent.
    pub long_percent: u8,
    /// How long a long request runs, in milliseconds.
    pub long_ms: u32,
    /// The seed of everything that is chosen at random.
    pub seed: u64,
}

/// One request of a run.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Counts the requests of a run.
    pub number: u64,
    /// When it starts, from the start of the run.
    pub start: Duration,
    /// Who sends it.
    pub caller: usize,
    /// The service.
    pub service: &'static str,
    /// Whether it books, so that it must run at most once.
    pub is_booking: bool,
    /// How long it runs on the server, if not as usual.
    pub run_ms: Option<u32>,
}

/// Plans the requests of a run: starts are independent of answers.
pub fn plan(deployment: &Deployment, profile: &LoadProfile, callers: usize) -> Vec<PlannedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(profile.seed);
    let mean = 1.0 / f64::from(profile.rate.max(1));
    let mut start = 0.0;
    let mut planned = Vec::new();
    while start < profile.duration.as_secs_f64() {
        let service = deployment.services[rng.random_range(0..deployment.services.len())];
        let is_long = rng.random_range(0..100) < profile.long_percent;
        planned.push(PlannedRequest {
            number: planned.len() as u64,
            start: Duration::from_secs_f64(start),
            caller: rng.random_range(0..callers),
            service: service.name,
            is_booking: service.takes_bookings
                && rng.random_range(0..100) < profile.bookings_percent,
            run_ms: is_long.then_some(profile.long_ms),
        });
        start -= mean * (1.0 - rng.random::<f64>()).ln();
    }
    planned
}

/// Runs the requests against the entry hosts of a deployment and checks what servers ran.
pub async fn run(
    deployment: &'static Deployment,
    ports: Ports,
    profile: LoadProfile,
) -> io::Result<Report> {
    let callers: Vec<Arc<Caller>> = Caller::of_each_zone(deployment, ports, profile.seed);
    let planned = plan(deployment, &profile, callers.len());
    let (sender, mut results) = mpsc::unbounded_channel();
    let run_start = Instant::now();
    for request in planned {
        tokio::time::sleep_until(run_start + request.start).await;
        let caller = Arc::clone(&callers[request.caller]);
        let sender = sender.clone();
        tokio::spawn(async move {
            let scheduled = run_start + request.start;
            let outcome = caller.send(&request).await;
            let _ = sender.send((request, outcome, scheduled.elapsed()));
        });
    }
    drop(sender);
    let mut report = Report::new();
    while let Some((request, outcome, latency)) = results.recv().await {
        report.record(&request, &outcome, latency);
    }
    report.audit = audit::audit(deployment, ports, &report).await?;
    Ok(report)
}
