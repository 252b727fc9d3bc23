//! Exchanges loans of slots between the arbiters of a service in different regions.

use http::StatusCode;
use oleanderspan::{
    backend::{self, Server},
    entry::{rank, roster::Peer},
    prelude::*,
    region::{
        self,
        loan::{self, Borrowed, CapacityReport, Ledger, Slots},
    },
    service,
};
use slog::{debug, info};

use crate::{
    codec,
    gateway::{
        State,
        message::{self, LOAN_PATH, LoanExchange},
        state::{ClusterView, Shared, Snapshot, is_usable},
    },
};

/// Upper limit for an exchange, which covers the farthest regions and one lost packet.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// How long the capacity report of a region is used after it was received.
const CAPACITY_REPORT_TTL: Duration = loan::TTL;

/// Slots of one service that this region has lent and borrowed.
#[derive(Debug, Default)]
pub struct ServiceLoans {
    /// Slots that this region has lent.
    pub ledger: Ledger,
    /// When this host became the arbiter of the service.
    arbiter_since: Option<Instant>,
    borrowed: Map<region::Index, Borrowed>,
    capacity_reports: Map<region::Index, (CapacityReport, Instant)>,
}

impl ServiceLoans {
    /// Unexpired slots that this region has borrowed, by server.
    pub fn borrowed(&self, now: Instant) -> impl Iterator<Item = (&backend::Name, u32)> {
        let valid = self.borrowed.values().filter(move |borrowed| now < borrowed.expires);
        valid.flat_map(|borrowed| &borrowed.slots).map(|(name, slots)| (name, *slots))
    }

    /// Records the slots that another region lends, which replace those it lent before; returns
    /// whether the usable slots change.
    pub fn record_borrowed(&mut self, lender: region::Index, slots: Slots, now: Instant) -> bool {
        let expires = now + loan::TTL;
        let before = self.borrowed.insert(lender, Borrowed { slots: slots.clone(), expires });
        before.is_none_or(|before| before.slots != slots || before.expires <= now)
    }

    /// Removes loans that have expired; returns whether the usable slots change.
    fn remove_expired(&mut self, now: Instant) -> bool {
        let expired = self.borrowed.extract_if(|_, borrowed| borrowed.expires <= now);
        expired.filter(|(_, borrowed)| !borrowed.slots.is_empty()).count() > 0
    }

    fn capacity_reports(
        &self,
        own: region::Index,
        capacity_report: CapacityReport,
        regions: usize,
        now: Instant,
    ) -> Vec<Option<CapacityReport>> {
        let report_of = |region: region::Index| match self.capacity_reports.get(&region) {
            _ if region == own => Some(capacity_report),
            Some((capacity_report, at)) if now.since(*at) < CAPACITY_REPORT_TTL => {
                Some(*capacity_report)
            }
            _ => None,
        };
        (0..regions)
            .map(|i| report_of(region::Index(u16::try_from(i).unwrap_or(u16::MAX))))
            .collect()
    }
}

/// Exchanges loans with the other regions at a fixed interval, for each service whose arbiter this
/// host is.
pub async fn run(state: State) {
    loop {
        tokio::time::sleep(loan::EXCHANGE_INTERVAL).await;
        let snapshot = Arc::clone(&state.snapshot());
        if !snapshot.is_ready() {
            continue;
        }
        for service in snapshot.services() {
            if let Some(demand) = snapshot.demand(service) {
                demand.end_second();
            }
            let is_arbiter = !state.stop.has_begun()
                && snapshot.remote_arbiter(&state.settings, service).is_none();
            if !is_arbiter {
                discard_loans(&state, service);
                continue;
            }
            adjust_loans(&state, &snapshot, service);
            if let Some(pool) = snapshot.pool(service, state.settings.region) {
                let latencies = pool.cache_model().latencies();
                debug!(state.log, "objects"; "service" => %service,
                    "depth" => pool.cache_model().depth(),
                    "known_ms" => latencies.map(|(cached, _)| cached.as_millis()),
                    "unknown_ms" => latencies.map(|(_, uncached)| uncached.as_millis()),
                    "typical_ms" => pool.typical_latency().as_millis(),
                    "mean_ms" => pool.mean_latency().as_millis(), "queued" => pool.queued(),
                    "servers" => pool.servers().len());
            }
            for (region, _) in state.settings.topology.regions() {
                if region != state.settings.region {
                    tokio::spawn(exchange_loans(state.clone(), service.clone(), region));
                }
            }
        }
    }
}

/// Drops the loans of a service that has another arbiter now.
fn discard_loans(state: &Shared, service: &service::Name) {
    if state.view().books.contains_key(service) {
        state.update(|view, _| view.books.remove(service).is_some());
    }
}

/// Changes the loans by one step towards the plan.
fn adjust_loans(state: &Shared, snapshot: &Snapshot, service: &service::Name) {
    let own = state.settings.region;
    let capacity_report = capacity_report(state, snapshot, service);
    let regions = state.settings.topology.regions().count();
    let is_idle = snapshot.demand(service).is_some_and(|demand| demand.is_idle());
    let servers = lendable(state, snapshot, service);
    state.update(|view, now| {
        let service_loans = view.books.entry(service.clone()).or_default();
        let arbiter_for = now.since(*service_loans.arbiter_since.get_or_insert(now));
        let capacity_reports = service_loans.capacity_reports(own, capacity_report, regions, now);
        let plan = loan::plan(own, &capacity_reports);
        let mut has_changed = service_loans.remove_expired(now);
        for (region, wanted) in (0u16..).map(region::Index).zip(plan) {
            let before = service_loans.ledger.lent_to(region);
            let may_resize_at_once = loan::may_resize_at_once(is_idle, before, arbiter_for);
            let size = loan::next_size(before, wanted, capacity_report.slots, may_resize_at_once);
            service_loans.ledger.resize(region, size, &servers);
            let after = service_loans.ledger.lent_to(region);
            if before != after {
                debug!(state.log, "loan"; "service" => %service, "region" => region.0,
                    "slots" => after, "before" => before, "wanted" => wanted);
                has_changed = true;
            }
        }
        has_changed
    });
}

fn capacity_report(state: &Shared, snapshot: &Snapshot, service: &service::Name) -> CapacityReport {
    let pool = snapshot.pool(service, state.settings.region);
    let servers = pool.map(|pool| pool.servers()).unwrap_or_default();
    let is_own = |server: &Server| server.location.region == state.settings.region;
    let own = servers.iter().filter(|server| is_usable(server) && is_own(server));
    let latency = pool.map(|pool| pool.mean_latency()).unwrap_or_default();
    let demand = snapshot.demand(service).filter(|demand| demand.is_reliable());
    CapacityReport {
        needed_milli: demand.map(|demand| demand.required_milli_slots(latency)),
        slots: own.map(|server| server.slots()).sum(),
    }
}

/// The servers whose slots may be lent. Cold servers are left out, as their request rate is limited
/// for all regions together.
fn lendable(
    state: &Shared,
    snapshot: &Snapshot,
    service: &service::Name,
) -> Vec<(backend::Name, u32)> {
    let now = state.clock.now();
    let pool = snapshot.pool(service, state.settings.region);
    let servers = pool.map(|pool| pool.servers()).unwrap_or_default();
    let is_own = |server: &Server| server.location.region == state.settings.region;
    let servers = servers
        .iter()
        .filter(|server| is_usable(server) && is_own(server) && !server.cold().is_cold(now));
    servers.map(|server| (server.identity.name.clone(), server.slots())).collect()
}

/// Sends the capacity report of this region to another one, and stores what that region lends.
async fn exchange_loans(state: State, service: service::Name, region: region::Index) {
    let Some(peer) = remote_arbiter(&state, &service, region) else { return };
    let snapshot = Arc::clone(&state.snapshot());
    let capacity_report = capacity_report(&state, &snapshot, &service);
    let loans = {
        let view = state.view();
        let borrowed =
            view.books.get(&service).and_then(|service_loans| service_loans.borrowed.get(&region));
        borrowed.map(|borrowed| to_wire(borrowed.slots.iter().map(|(name, n)| (name, *n))))
    };
    let request = loan_exchange(&state, &service, capacity_report, loans.unwrap_or_default());
    let called =
        message::post(&state.peer_client, peer.address, LOAN_PATH, &request, EXCHANGE_TIMEOUT);
    let answer: Option<LoanExchange> = match called.await {
        Ok((StatusCode::OK, body)) => codec::from_wire(&body)
            .inspect_err(|error| {
                info!(state.log, "undecodable loan exchange answer; keeping the current loans";
                    "host" => %peer.name, "reason" => %error);
            })
            .ok(),
        // The hosts of the other region may briefly disagree about the arbiter.
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => None,
        Ok((status, _)) => {
            info!(state.log, "loan exchange rejected; keeping the current loans";
                "host" => %peer.name, "status" => %status);
            None
        }
        Err(error) => {
            debug!(state.log, "loan exchange failed; keeping the current loans until they expire";
                "host" => %peer.name, "reason" => %error);
            state.update(|view, now| {
                view.roster.record_remote_failure(&peer.name, now);
                false
            });
            None
        }
    };
    let Some(answer) = answer else { return };
    state.update(|view, now| {
        let Some(service_loans) = view.books.get_mut(&service) else { return false };
        record_capacity(service_loans, region, &answer, now);
        service_loans.record_borrowed(region, from_wire(&answer.loans), now)
    });
}

/// The arbiter of a service in another region, as seen by this host's roster.
pub fn remote_arbiter(
    state: &Shared,
    service: &service::Name,
    region: region::Index,
) -> Option<Peer> {
    let view = state.view();
    let peers = view.roster.remote_peers(region, state.clock.now());
    rank::highest(peers, service.as_str(), |peer| peer.name.as_str()).cloned()
}

/// Answers the loan exchange of another region. `None` if the service or the region is unknown, or
/// if this host is not the arbiter of the service.
pub fn answer(state: &Shared, request: &LoanExchange) -> Option<LoanExchange> {
    let service = service::Name::try_from(request.service.as_str()).ok()?;
    let region = state.settings.topology.find_region(&request.region)?;
    let snapshot = Arc::clone(&state.snapshot());
    if state.stop.has_begun() || snapshot.remote_arbiter(&state.settings, &service).is_some() {
        return None;
    }
    let capacity_report = capacity_report(state, &snapshot, &service);
    let mut loans = Vec::new();
    state.update(|view: &mut ClusterView, now| {
        let service_loans = view.books.entry(service.clone()).or_default();
        record_capacity(service_loans, region, request, now);
        let before = service_loans.ledger.lent_to(region);
        let lending_for = now.since(*service_loans.arbiter_since.get_or_insert(now));
        if loan::may_adopt(lending_for) {
            service_loans.ledger.adopt(region, from_wire(&request.loans));
        }
        loans = to_wire(service_loans.ledger.loans(region));
        before != service_loans.ledger.lent_to(region)
    });
    Some(loan_exchange(state, &service, capacity_report, loans))
}

fn record_capacity(
    service_loans: &mut ServiceLoans,
    region: region::Index,
    loan: &LoanExchange,
    now: Instant,
) {
    let capacity_report = CapacityReport { needed_milli: loan.needed_milli, slots: loan.slots };
    service_loans.capacity_reports.insert(region, (capacity_report, now));
}

fn loan_exchange(
    state: &Shared,
    service: &service::Name,
    capacity_report: CapacityReport,
    loans: Vec<(String, u32)>,
) -> LoanExchange {
    let own =
        state.settings.topology.regions().find(|(region, _)| *region == state.settings.region);
    LoanExchange {
        service: service.to_string(),
        region: own.map(|(_, name)| name.to_string()).unwrap_or_default(),
        needed_milli: capacity_report.needed_milli,
        slots: capacity_report.slots,
        loans,
    }
}

fn to_wire<'a>(slots: impl Iterator<Item = (&'a backend::Name, u32)>) -> Vec<(String, u32)> {
    slots.map(|(name, slots)| (name.to_string(), slots)).collect()
}

fn from_wire(slots: &[(String, u32)]) -> Slots {
    let valid = slots
        .iter()
        .filter_map(|(name, slots)| Some((backend::Name::try_from(name.as_str()).ok()?, *slots)));
    valid.collect()
}
