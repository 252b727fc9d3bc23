//! Finds and runs queued jobs, and marks jobs as in doubt whose runner is lost.

use std::time::Instant as StdInstant;

use oleanderspan::{
    entry::rank,
    event::Kind,
    prelude::*,
    request::{
        Repeat,
        claim::{Attempt, Decision, Expect, Settlement, State as Progress, table},
        job::{self, RunnerObservation},
        retry::Deadline,
    },
    service,
};
use slog::{info, warn};

use crate::{
    clock,
    entry::{
        State, claims,
        dispatch::Call,
        jobs::{
            self,
            row::{self, Row},
            stored::StoredRequest,
            transaction::JobClaim,
        },
        routing,
        state::Snapshot,
    },
    store::{self, Write},
};

/// The mean time between two scans, each of which reads all jobs.
const SCAN_INTERVAL: Duration = Duration::from_secs(3);

/// The mean delay from the start of the daemon to its first scan.
const FIRST_SCAN_DELAY: Duration = Duration::from_secs(1);

/// The number of hosts that scan for jobs, which limits the load on the table.
const SCANNING_HOSTS: usize = 2;

/// The maximum number of jobs that one scan starts on this host.
const MAX_STARTS_PER_SCAN: usize = 16;

/// A running job: the version of its row, and when this host first saw that version.
type RunningSince = (u64, StdInstant);

/// Scans for jobs until a graceful shutdown begins.
pub async fn run(state: State) {
    let mut running_jobs: Map<String, RunningSince> = Map::default();
    let mut is_first_scan = true;
    let closed = state.stop.closed();
    loop {
        let delay = if is_first_scan { FIRST_SCAN_DELAY } else { SCAN_INTERVAL };
        let delay = delay.mul_f64(rand::random_range(0.5..1.5));
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = closed.cancelled() => return,
        }
        if state.stop.has_begun() {
            return;
        }
        let Some(snapshot) = state.snapshot() else { continue };
        // A daemon that has just started always scans once, for jobs left by its previous run.
        if !is_first_scan && !is_scanner(&snapshot) {
            running_jobs.clear();
            continue;
        }
        match state.jobs.store.scan(&jobs::prefix(&state.claims)).await {
            Ok(rows) => {
                is_first_scan = false;
                process_rows(&state, &snapshot, rows, &mut running_jobs).await;
            }
            Err(error) => warn!(state.log, "job scan failed, retrying"; "error" => %error),
        }
    }
}

fn is_scanner(snapshot: &Snapshot) -> bool {
    let mut hosts: Vec<_> = snapshot.hosts.iter().filter(|host| host.accepts_callers()).collect();
    rank::sort(&mut hosts, "jobs", |host| host.name.as_str());
    hosts.iter().take(SCANNING_HOSTS).any(|host| snapshot.is_own(host))
}

async fn process_rows(
    state: &State,
    snapshot: &Snapshot,
    rows: Vec<store::Row>,
    running_jobs: &mut Map<String, RunningSince>,
) {
    let now_ms = clock::wall_millis();
    let decoded = rows.into_iter().filter_map(|stored| {
        let row = row::decode(&stored.value).ok()?;
        Some((stored.key, stored.version, row))
    });
    let mut running = Map::default();
    let mut starts = 0;
    for (key, version, row) in decoded {
        if row.job.is_due(now_ms) && starts < MAX_STARTS_PER_SCAN {
            starts += 1;
            spawn(state, key, version, row);
        } else if let job::State::Running(runner) = &row.job.state {
            let known = running_jobs.get(&key).filter(|(at, _)| *at == version);
            let since = known.map_or_else(StdInstant::now, |(_, since)| *since);
            if is_lost(state, snapshot, runner, &row, since.elapsed()) {
                mark_in_doubt(state, key, version, row).await;
            } else {
                running.insert(key, (version, since));
            }
        }
    }
    *running_jobs = running;
}

fn is_lost(
    state: &State,
    snapshot: &Snapshot,
    runner: &job::Runner,
    row: &Row,
    observed_for: Duration,
) -> bool {
    let definition =
        find_service(snapshot, &row.service).map(|index| snapshot.service_definition(index));
    let Some(definition) = definition else { return false };
    runner.is_lost(RunnerObservation {
        own: &state.jobs.runner,
        is_listed: snapshot.hosts.iter().any(|host| host.name.as_str() == &*runner.host),
        observed_for,
        request_timeout: definition.limits.request_timeout,
    })
}

async fn mark_in_doubt(state: &State, key: String, version: u64, mut row: Row) {
    row.job.state = job::State::InDoubt;
    state.record(Kind::JobChanged, key.as_str(), "in doubt");
    let write = Write { value: row::encode(&row), expect: store::Expect::Version(version), key };
    // The result is ignored: the next scan reads the row again.
    let _ = state.claims.transact(vec![write]).await;
}

/// Claims and runs a queued job in the background; does nothing if another host claims it first.
pub fn spawn(state: &State, key: String, version: u64, row: Row) {
    let runner = state.clone();
    // Graceful shutdown waits for the job, as for a request in flight.
    drop(state.claims.spawn(async move { claim_and_run(&runner, key, version, row).await }));
}

async fn claim_and_run(state: &State, key: String, version: u64, row: Row) {
    let claims = &state.claims;
    let operation = claims.new_operation();
    let digest = row.job.digest.clone();
    let held = job::State::Running(state.jobs.runner.clone());
    let mut job_claim = JobClaim { claims: claims.clone(), key, row, held };
    let mut attempt = Attempt::after_release(&operation, &digest, Expect::Version(version));
    let version = match table::claim(&job_claim, &mut attempt).await {
        Decision::Run { version } => version,
        Decision::Abandon(settlement) => return claims.settle(job_claim, settlement),
        Decision::Answer(_) | Decision::Refuse(_) => return,
    };
    let progress = dispatch(state, &job_claim.row).await;
    if progress == Progress::Held {
        job_claim.held = job::State::InDoubt;
    }
    info!(state.log, "job attempt finished"; "job" => &job_claim.key,
        "done" => matches!(progress, Progress::Done(_)));
    claims.settle(job_claim, Settlement::record(&operation, &digest, version, progress));
}

/// Sends the request of a job. If the returned state is `Held`, the job is in doubt.
async fn dispatch(state: &State, row: &Row) -> Progress {
    let Ok(stored) = StoredRequest::get(&state.jobs.store, &row.object).await else {
        return Progress::Released;
    };
    let Some(snapshot) = state.snapshot() else { return Progress::Released };
    let Some(service) = find_service(&snapshot, &row.service) else { return Progress::Released };
    let (origin, now) = (snapshot.origin(stored.caller), state.clock.now());
    let Ok(region) = routing::choose_region(&snapshot, service, origin, now) else {
        return Progress::Released;
    };
    let deadline = Deadline(now + snapshot.service_definition(service).limits.request_timeout);
    let id = stored.id.clone();
    let Some(outbound) = stored.into_outbound() else { return Progress::Released };
    let call = Call { id: &id, service, origin, region, repeat: Repeat::Forbidden, deadline };
    let (_, progress) = claims::run(state, snapshot, call, outbound).await;
    progress.unwrap_or(Progress::Held)
}

fn find_service(snapshot: &Snapshot, name: &str) -> Option<service::Index> {
    let services = &snapshot.document.services;
    let position = services.iter().position(|service| service.name.as_str() == name)?;
    u16::try_from(position).ok().map(service::Index)
}
