//! Finds jobs that wait, runs them, and gives up those whose runner is lost.

use std::time::Instant as Seen;

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
            place::Run,
            row::{self, Row},
            stored::Stored,
        },
        state::Snapshot,
        steer,
    },
    store::{self, Write},
};

/// The mean time between two looks at the jobs, each of which reads all of them.
const SCAN_INTERVAL: Duration = Duration::from_secs(3);

/// The mean time from the start of a daemon to its first look.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Hosts that look for jobs, so that the table is not read by all.
const READERS: usize = 2;

/// Jobs that one look may start on this host.
const MAX_STARTS: usize = 16;

/// A running job: the version of its row, and since when it was seen so.
type Sighting = (u64, Seen);

/// Looks for jobs until a planned stop begins.
pub async fn run(state: State) {
    let mut sightings: Map<String, Sighting> = Map::default();
    let mut is_first = true;
    let closed = state.stop.closed();
    loop {
        let pause = if is_first { FIRST_PAUSE } else { SCAN_INTERVAL };
        let pause = pause.mul_f64(rand::random_range(0.5..1.5));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = closed.cancelled() => return,
        }
        if state.stop.has_begun() {
            return;
        }
        let Some(snapshot) = state.snapshot() else { continue };
        // A daemon that has just started looks for what its last start left behind.
        if !is_first && !is_reader(&snapshot) {
            sightings.clear();
            continue;
        }
        match state.jobs.store.scan(&jobs::prefix(&state.claims)).await {
            Ok(rows) => {
                is_first = false;
                look(&state, &snapshot, rows, &mut sightings).await;
            }
            Err(error) => warn!(state.log, "jobs not read"; "error" => %error),
        }
    }
}

fn is_reader(snapshot: &Snapshot) -> bool {
    let mut hosts: Vec<_> = snapshot.hosts.iter().filter(|host| host.accepts_callers()).collect();
    rank::sort(&mut hosts, "jobs", |host| host.name.as_str());
    hosts.iter().take(READERS).any(|host| snapshot.is_own(host))
}

async fn look(
    state: &State,
    snapshot: &Snapshot,
    rows: Vec<store::Row>,
    sightings: &mut Map<String, Sighting>,
) {
    let now_ms = clock::wall_millis();
    let decoded = rows.into_iter().filter_map(|stored| {
        let row = row::decode(&stored.value).ok()?;
        Some((stored.key, stored.version, row))
    });
    let mut running = Map::default();
    let mut starts = 0;
    for (key, version, row) in decoded {
        if row.job.is_due(now_ms) && starts < MAX_STARTS {
            starts += 1;
            spawn(state, key, version, row);
        } else if let job::State::Running(runner) = &row.job.state {
            let seen = sightings.get(&key).filter(|(at, _)| *at == version);
            let since = seen.map_or_else(Seen::now, |(_, since)| *since);
            if is_lost(state, snapshot, runner, &row, since.elapsed()) {
                give_up(state, key, version, row).await;
            } else {
                running.insert(key, (version, since));
            }
        }
    }
    *sightings = running;
}

fn is_lost(
    state: &State,
    snapshot: &Snapshot,
    runner: &job::Runner,
    row: &Row,
    observed_for: Duration,
) -> bool {
    let described = find(snapshot, &row.service).map(|index| snapshot.service_definition(index));
    let Some(described) = described else { return false };
    runner.is_lost(RunnerObservation {
        own: &state.jobs.runner,
        is_listed: snapshot.hosts.iter().any(|host| host.name.as_str() == &*runner.host),
        observed_for,
        request_timeout: described.limits.request_timeout,
    })
}

async fn give_up(state: &State, key: String, version: u64, mut row: Row) {
    row.job.state = job::State::InDoubt;
    state.record(Kind::JobChanged, key.as_str(), "in doubt");
    let write = Write { value: row::encode(&row), expect: store::Expect::Version(version), key };
    // Whatever comes of it, the next look sees it.
    let _ = state.claims.transact(vec![write]).await;
}

/// Runs a job that was found queued, unless another host is faster.
pub fn spawn(state: &State, key: String, version: u64, row: Row) {
    let runner = state.clone();
    // A planned stop waits for the job, as for a request in flight.
    drop(state.claims.spawn(async move { claim_and_run(&runner, key, version, row).await }));
}

async fn claim_and_run(state: &State, key: String, version: u64, row: Row) {
    let claims = &state.claims;
    let operation = claims.operation();
    let digest = row.job.digest.clone();
    let held = job::State::Running(state.jobs.runner.clone());
    let mut run = Run { claims: claims.clone(), key, row, held };
    let mut attempt = Attempt::after_release(&operation, &digest, Expect::Version(version));
    let version = match table::claim(&run, &mut attempt).await {
        Decision::Run { version } => version,
        Decision::Abandon(settlement) => return claims.settle(run, settlement),
        Decision::Answer(_) | Decision::Refuse(_) => return,
    };
    let progress = dispatch(state, &run.row).await;
    if progress == Progress::Held {
        run.held = job::State::InDoubt;
    }
    info!(state.log, "job ran"; "job" => &run.key, "done" => matches!(progress, Progress::Done(_)));
    claims.settle(run, Settlement::record(&operation, &digest, version, progress));
}

/// Sends the request of a job; what stays held afterwards is in doubt.
async fn dispatch(state: &State, row: &Row) -> Progress {
    let Ok(stored) = Stored::get(&state.jobs.store, &row.object).await else {
        return Progress::Released;
    };
    let Some(snapshot) = state.snapshot() else { return Progress::Released };
    let Some(service) = find(&snapshot, &row.service) else { return Progress::Released };
    let (origin, now) = (snapshot.origin(stored.caller), state.clock.now());
    let Ok(region) = steer::choose(&snapshot, service, origin, now) else {
        return Progress::Released;
    };
    let deadline = Deadline(now + snapshot.service_definition(service).limits.request_timeout);
    let id = stored.id.clone();
    let Some(parcel) = stored.parcel() else { return Progress::Released };
    let call = Call { id: &id, service, origin, region, repeat: Repeat::Forbidden, deadline };
    let (_, progress) = claims::run(state, snapshot, call, parcel).await;
    progress.unwrap_or(Progress::Held)
}

fn find(snapshot: &Snapshot, name: &str) -> Option<service::Index> {
    let services = &snapshot.draft.services;
    let position = services.iter().position(|service| service.name.as_str() == name)?;
    u16::try_from(position).ok().map(service::Index)
}
