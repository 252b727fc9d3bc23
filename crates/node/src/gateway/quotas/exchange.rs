//! The run loop: reports to the coordinator and, on the coordinator, to those of other regions.

use std::sync::{OnceLock, atomic::Ordering};

use http::StatusCode;
use oleanderspan::{
    customer::{
        self,
        quota::{REPORT_INTERVAL, Report},
    },
    entry::{self, rank, roster::Peer},
    prelude::*,
    region,
};
use slog::{Logger, debug, info};

use super::{Accounts, Entry, coordinator::Listed};
use crate::{
    clock, codec,
    gateway::{
        State,
        message::{self, LeaseRecord, QUOTA_PATH, QuotaLeases, QuotaReport, ReportRecord},
        state::Shared,
    },
    http::client,
};

/// The key for which the coordinator of a region has the highest rendezvous rank.
const SUBJECT: &str = "quotas";

/// Shortest time between two reports of a host whose requests wait.
const SHORT_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// How often coordinators report to each other. At 500 ms the simulation in `tests/quota.rs` has 46
/// wrong rejections instead of 17 for customers that move between regions.
const REGION_INTERVAL: Duration = Duration::from_millis(250);

/// The same while a region has nothing left: about what an exchange with the farthest one takes.
const SHORT_REGION_INTERVAL: Duration = Duration::from_millis(100);

/// Limit on an exchange, after which its answer is no longer used.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Upper limit of the records in one message, of 140 bytes at most: hosts accept 16 KiB.
pub const MAX_RECORDS: usize = 96;

/// How often rejections of a customer are logged.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// Identifies this run of the process, whose clock starts at zero.
fn run_id() -> u64 {
    static RUN: OnceLock<u64> = OnceLock::new();
    *RUN.get_or_init(clock::wall_millis)
}

/// Keeps the leases of this host up to date, and those that it gives as a coordinator. Does nothing
/// while no customer has a quota.
pub async fn run(state: State) {
    let [mut reported, mut exchanged, mut logged] = [Instant::ZERO; 3];
    loop {
        let _ = tokio::time::timeout(REGION_INTERVAL, state.quotas.short.notified()).await;
        let snapshot = Arc::clone(&state.snapshot());
        let now = state.clock.now();
        let Some(table) = snapshot.table.as_ref().filter(|_| snapshot.is_ready()) else { continue };
        let accounts = state.quotas.accounts(table, snapshot.listed_hosts, now);
        state.quotas.coordinator().retain(|name| accounts.by_name.contains_key(name));
        if accounts.by_name.is_empty() {
            continue;
        }
        if now.since(logged) >= LOG_INTERVAL {
            logged = now;
            log_rejections(&state.log, &accounts, now);
        }
        let is_short = accounts.by_name.values().any(|entry| entry.account.is_short());
        let interval = if is_short { SHORT_REPORT_INTERVAL } else { REPORT_INTERVAL };
        if now.since(reported) >= interval
            && !state.quotas.is_reporting.swap(true, Ordering::Relaxed)
        {
            reported = now;
            tokio::spawn(report(state.clone(), Arc::clone(&accounts), now));
        }
        let is_short = state.quotas.coordinator().is_short();
        let interval = if is_short { SHORT_REGION_INTERVAL } else { REGION_INTERVAL };
        if now.since(exchanged) >= interval && coordinator(&state).is_none() {
            exchanged = now;
            exchange(&state);
        }
        if is_short || accounts.by_name.values().any(|entry| entry.account.is_short()) {
            tokio::time::sleep(SHORT_REPORT_INTERVAL / 2).await;
            state.quotas.short.notify_one();
        }
    }
}

/// The coordinator of this region, or `None` if it is this host.
fn coordinator(state: &Shared) -> Option<Peer> {
    let snapshot = state.snapshot();
    let highest = rank::highest(&snapshot.peers, SUBJECT, |peer| peer.name.as_str())?;
    let weight = |host: &str| rank::weight(SUBJECT, host);
    let own = state.settings.host.as_str();
    let is_higher = state.stop.has_begun() || weight(highest.name.as_str()) > weight(own);
    is_higher.then(|| highest.clone())
}

/// Reports all accounts to the coordinator and applies its answers.
async fn report(state: State, accounts: Arc<Accounts>, now: Instant) {
    let reports = accounts.by_name.iter().filter_map(|(name, entry)| {
        let report = entry.account.report(now)?;
        Some((name.clone(), Arc::clone(entry), report))
    });
    let reports: Vec<(customer::Name, Arc<Entry>, Report)> = reports.collect();
    let coordinator = coordinator(&state);
    // A report without records tells the coordinator that this host holds nothing.
    let chunks = reports.chunks(MAX_RECORDS);
    let chunks = chunks.chain(reports.is_empty().then_some(&reports[..]));
    for chunk in chunks {
        let records =
            chunk.iter().map(|(name, _, report)| ReportRecord::new(name, report)).collect();
        let message = quota_report(&state, None, records, now);
        let answer = match &coordinator {
            None => answer(&state, &message),
            Some(peer) => send(&state, peer, &message).await,
        };
        let Some(answer) = answer else { break };
        for record in &answer.leases {
            let is_same = |(name, ..): &&(customer::Name, _, _)| name.as_str() == record.customer;
            if let Some((_, entry, report)) = chunk.iter().find(is_same) {
                let lease = record.lease(answer.is_open);
                entry.account.record_lease(report, &lease, now, state.clock.now());
                entry.leased.notify_waiters();
            }
        }
    }
    state.quotas.is_reporting.store(false, Ordering::Relaxed);
}

/// Reports the demand of this region to the coordinators of the others.
fn exchange(state: &State) {
    let now = state.clock.now();
    let own = state.settings.region;
    let regions = state.settings.topology.regions().map(|(region, _)| region);
    let mut coordinator = state.quotas.coordinator();
    for region in regions.filter(|region| *region != own) {
        if !coordinator.begin_ask(region) {
            continue;
        }
        let reports = coordinator.books().filter_map(|(name, book)| {
            let report = book.ask(region, now)?;
            Some((name.clone(), report))
        });
        let reports: Vec<(customer::Name, Report)> = reports.collect();
        tokio::spawn(ask(state.clone(), region, reports, now));
    }
    coordinator.books().for_each(|(_, book)| book.end_round());
}

/// Asks the coordinator of another region for leases.
async fn ask(
    state: State,
    region: region::Index,
    reports: Vec<(customer::Name, Report)>,
    now: Instant,
) {
    let peer = remote_coordinator(&state, region);
    let chunks = reports.chunks(MAX_RECORDS);
    for chunk in chunks.chain(reports.is_empty().then_some(&reports[..])) {
        let records = chunk.iter().map(|(name, report)| ReportRecord::new(name, report)).collect();
        let message = quota_report(&state, Some(state.settings.region), records, now);
        let answer = match &peer {
            Some(peer) => send(&state, peer, &message).await,
            None => None,
        };
        let answered_at = state.clock.now();
        let mut coordinator = state.quotas.coordinator();
        for (name, report) in chunk {
            let Some(book) = coordinator.book(name) else { continue };
            let leases = answer.iter().flat_map(|answer| &answer.leases);
            let mut leases = leases.filter(|lease| lease.customer == name.as_str());
            match leases.next() {
                Some(record) => {
                    let lease = record.lease(true);
                    book.record_borrowed(region, report, &lease, now, answered_at);
                }
                None => book.record_refusal(region, answered_at),
            }
        }
    }
    state.quotas.coordinator().end_ask(region);
}

/// The coordinator of another region, as seen by this host's roster.
fn remote_coordinator(state: &Shared, region: region::Index) -> Option<Peer> {
    let now = state.clock.now();
    // A host that leaves, or is cut off from its own region, may still be reached from here.
    let denying = state.quotas.coordinator().denying(now);
    let view = state.view();
    let peers = view.roster.remote_peers(region, now);
    let peers = peers.filter(|peer| !denying.contains(&peer.name));
    rank::highest(peers, SUBJECT, |peer| peer.name.as_str()).cloned()
}

fn quota_report(
    state: &Shared,
    region: Option<region::Index>,
    reports: Vec<ReportRecord>,
    now: Instant,
) -> QuotaReport {
    let region = region.and_then(|region| state.settings.topology.region_name(region));
    QuotaReport {
        host: state.settings.host.to_string(),
        region: region.map(|region| region.to_string()),
        run: run_id(),
        sent: now.as_nanos(),
        reports,
    }
}

async fn send(state: &Shared, peer: &Peer, message: &QuotaReport) -> Option<QuotaLeases> {
    let called = message::post(&state.peer_client, peer.address, QUOTA_PATH, message, TIMEOUT);
    let called = called.await;
    if let Ok((status @ (StatusCode::OK | StatusCode::CONFLICT), _)) = &called {
        let is_coordinator = *status == StatusCode::OK;
        let now = state.clock.now();
        state.quotas.coordinator().record_answer(&peer.name, is_coordinator, now);
    }
    match called {
        Ok((StatusCode::OK, body)) => codec::from_wire(&body)
            .inspect_err(|error| {
                info!(state.log, "could not decode the answer to a quota report; keeping the leases \
                    until they expire"; "host" => %peer.name, "reason" => %error);
            })
            .ok(),
        Ok((status, _)) => {
            debug!(state.log, "quota report rejected; keeping the leases until they expire";
                "host" => %peer.name, "status" => %status);
            None
        }
        Err(error) => {
            debug!(state.log, "quota report failed; keeping the leases until they expire";
                "host" => %peer.name, "reason" => %error);
            let is_refused = matches!(error, message::Error::Call(client::Error::Connect(_)));
            state.update(|view, now| {
                view.roster.record_remote_failure(&peer.name, now);
                is_refused && view.roster.record_failure(&peer.name, now)
            });
            None
        }
    }
}

/// Answers the report of a host of this region or of another region's coordinator. `None` if the
/// sender is unknown or has sent a later report, or if this host may not be the coordinator.
pub fn answer(state: &Shared, message: &QuotaReport) -> Option<QuotaLeases> {
    let host = entry::Name::try_from(message.host.as_str()).ok()?;
    let topology = &state.settings.topology;
    let region = match &message.region {
        Some(region) => Some(topology.find_region(region)?),
        None => None,
    };
    let (hosts, regions) = listed(state);
    let snapshot = state.snapshot();
    let customers = snapshot.table.as_ref().and_then(|table| table.customers.as_ref());
    let now = state.clock.now();
    let mut coordinator = state.quotas.coordinator();
    let listed = Listed { hosts: &hosts, regions: &regions };
    if !coordinator.record(&host, (message.run, message.sent), region, listed, now) {
        return None;
    }
    let all = topology.regions().count();
    let leases = message.reports.iter().filter_map(|record| {
        let customer = customer::Name::try_from(record.customer.as_str()).ok()?;
        let quota = customers?.get(&customer)?.quota?;
        let report = record.report();
        let lease = coordinator.lease(&host, region, (&customer, quota), &report, (all, now));
        Some(LeaseRecord::new(&customer, &lease))
    });
    let leases = leases.collect();
    Some(QuotaLeases { leases, is_open: coordinator.is_open() })
}

/// The listed hosts of this region, itself included, and the other regions that have hosts. No
/// hosts before the list has been read, so that nobody has most of them.
fn listed(state: &Shared) -> (Vec<entry::Name>, Vec<region::Index>) {
    let view = state.view();
    if !view.has_host_list {
        return (Vec::new(), Vec::new());
    }
    let mut hosts: Vec<entry::Name> = view.roster.peer_names().cloned().collect();
    hosts.push(state.settings.host.clone());
    (hosts, view.roster.remote_regions())
}

fn log_rejections(log: &Logger, accounts: &Accounts, now: Instant) {
    for (name, entry) in &accounts.by_name {
        let rejected = entry.rejected.load(Ordering::Relaxed);
        let new = rejected - entry.logged.swap(rejected, Ordering::Relaxed);
        if new == 0 {
            continue;
        }
        let leased = entry.account.leased(now);
        info!(log, "customer exceeds its quota; rejecting requests"; "customer" => %name,
            "rejected" => new, "rate_per_1000_s" => entry.account.quota.per_1000_s,
            "burst" => entry.account.quota.burst, "leased_per_1000_s" => leased.rate,
            "received_per_1000_s" => entry.account.received());
    }
}
