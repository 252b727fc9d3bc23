//! Open-loop load generator for a deployment on loopback.
//!
//! Start times are planned in advance, and latency is measured from the planned start, which
//! avoids coordinated omission: delays caused by slow answers are part of the measurement.

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

/// Rate, duration and request mix of a run.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Requests per second, over all callers.
    pub rate: u32,
    /// Time during which new requests are started.
    pub duration: Duration,
    /// Share of requests to booking services that are bookings, in percent.
    pub bookings_percent: u8,
    /// Share of requests that run for `long_ms` on the server, in percent.
    pub long_percent: u8,
    /// Run time of a long request, in milliseconds.
    pub long_ms: u32,
    /// Seed of the random number generator and part of the idempotency keys.
    pub seed: u64,
}

/// A request of a run, planned before the run starts.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Sequence number of the request in the run, from 0.
    pub number: u64,
    /// Start time, relative to the start of the run.
    pub start: Duration,
    /// Index of the caller that sends it.
    pub caller: usize,
    /// Name of the service that it is sent to.
    pub service: &'static str,
    /// Whether it is a booking, which must run at most once.
    pub is_booking: bool,
    /// Run time on the server in milliseconds; `None` for the server's default.
    pub run_ms: Option<u32>,
}

/// Plans the requests of a run as a Poisson process: start times do not depend on answers.
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

/// Sends the load to the entry hosts of a deployment, then audits the servers' ledgers. Fails if a
/// ledger cannot be read.
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
