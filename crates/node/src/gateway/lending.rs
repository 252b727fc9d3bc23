//! Settles loans of slots between the hosts that give them out in different regions.

use http::StatusCode;
use oleanderspan::{
    backend,
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
        message::{self, LOAN_PATH, Loan},
        state::{ClusterView, Shared, Snapshot, is_usable},
    },
};

/// The longest time for an answer, between the farthest regions and with a lost packet.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

/// For how long the standing of a region counts after its last news.
const STANDING_TERM: Duration = loan::TTL;

/// Loans of one service.
#[derive(Debug, Default)]
pub struct Book {
    /// What this region has lent.
    pub ledger: Ledger,
    /// When this host began to give out the service's slots.
    began: Option<Instant>,
    borrowed: Map<region::Index, Borrowed>,
    standings: Map<region::Index, (CapacityReport, Instant)>,
}

impl Book {
    /// Slots of other regions' servers that may be given out here.
    pub fn borrowed(&self, now: Instant) -> impl Iterator<Item = (&backend::Name, u32)> {
        let valid = self.borrowed.values().filter(move |borrowed| now < borrowed.expires);
        valid.flat_map(|borrowed| &borrowed.slots).map(|(name, slots)| (name, *slots))
    }

    fn standings(
        &self,
        own: region::Index,
        standing: CapacityReport,
        regions: usize,
        now: Instant,
    ) -> Vec<Option<CapacityReport>> {
        let of = |region: region::Index| match self.standings.get(&region) {
            _ if region == own => Some(standing),
            Some((standing, at)) if now.since(*at) < STANDING_TERM => Some(*standing),
            _ => None,
        };
        (0..regions).map(|i| of(region::Index(u16::try_from(i).unwrap_or(u16::MAX)))).collect()
    }
}

/// Talks to the other regions once an interval, for each service whose slots this host gives out.
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
                && snapshot.remote_dispatcher(&state.settings, service).is_none();
            if !is_arbiter {
                forget(&state, service);
                continue;
            }
            adjust(&state, &snapshot, service);
            if let Some(pool) = snapshot.pool(service, state.settings.region) {
                let latencies = pool.cache_model().latencies();
                debug!(state.log, "objects"; "service" => %service,
                    "depth" => pool.cache_model().depth(),
                    "known_ms" => latencies.map(|(known, _)| known.as_millis()),
                    "unknown_ms" => latencies.map(|(_, unknown)| unknown.as_millis()),
                    "typical_ms" => pool.typical_latency().as_millis(),
                    "mean_ms" => pool.mean_latency().as_millis(), "queued" => pool.queued(),
                    "servers" => pool.servers().len());
            }
            for (region, _) in state.settings.topology.regions() {
                if region != state.settings.region {
                    tokio::spawn(talk(state.clone(), service.clone(), region));
                }
            }
        }
    }
}

/// Another host gives out the slots now.
fn forget(state: &Shared, service: &service::Name) {
    if state.view().books.contains_key(service) {
        state.update(|view, _| view.books.remove(service).is_some());
    }
}

/// Moves what is lent one step towards the plan.
fn adjust(state: &Shared, snapshot: &Snapshot, service: &service::Name) {
    let own = state.settings.region;
    let standing = standing(state, snapshot, service);
    let regions = state.settings.topology.regions().count();
    let is_idle = snapshot.demand(service).is_some_and(|demand| demand.is_idle());
    let servers = lendable(state, snapshot, service);
    state.update(|view, now| {
        let book = view.books.entry(service.clone()).or_default();
        let lends_for = now.since(*book.began.get_or_insert(now));
        let standings = book.standings(own, standing, regions, now);
        let plan = loan::plan(own, &standings);
        let mut is_news = false;
        for (region, wanted) in (0u16..).map(region::Index).zip(plan) {
            let before = book.ledger.lent_to(region);
            let is_free = loan::may_resize_at_once(is_idle, before, lends_for);
            let size = loan::next_size(before, wanted, standing.slots, is_free);
            book.ledger.resize(region, size, &servers);
            let after = book.ledger.lent_to(region);
            if before != after {
                debug!(state.log, "loan"; "service" => %service, "region" => region.0,
                    "slots" => after, "before" => before, "wanted" => wanted);
                is_news = true;
            }
        }
        is_news
    });
}

fn standing(state: &Shared, snapshot: &Snapshot, service: &service::Name) -> CapacityReport {
    let pool = snapshot.pool(service, state.settings.region);
    let servers = pool.map(|pool| pool.servers()).unwrap_or_default();
    let own = servers.iter().filter(|server| is_usable(server) && !server.is_borrowed());
    let latency = pool.map(|pool| pool.mean_latency()).unwrap_or_default();
    let demand = snapshot.demand(service).filter(|demand| demand.is_reliable());
    CapacityReport {
        needed_milli: demand.map(|demand| demand.required_milli_slots(latency)),
        slots: own.map(|server| server.slots()).sum(),
    }
}

/// The servers whose slots may be lent: warm ones, as a cold one is limited for all together.
fn lendable(
    state: &Shared,
    snapshot: &Snapshot,
    service: &service::Name,
) -> Vec<(backend::Name, u32)> {
    let now = state.clock.now();
    let pool = snapshot.pool(service, state.settings.region);
    let servers = pool.map(|pool| pool.servers()).unwrap_or_default();
    let servers = servers
        .iter()
        .filter(|server| is_usable(server) && !server.is_borrowed() && !server.cold().is_cold(now));
    servers.map(|server| (server.identity.name.clone(), server.slots())).collect()
}

/// Tells another region how this one stands, and hears what it lends.
async fn talk(state: State, service: service::Name, region: region::Index) {
    let Some(peer) = counterpart(&state, &service, region) else { return };
    let snapshot = Arc::clone(&state.snapshot());
    let standing = standing(&state, &snapshot, &service);
    let loans = {
        let view = state.view();
        let borrowed = view.books.get(&service).and_then(|book| book.borrowed.get(&region));
        borrowed.map(|borrowed| to_wire(borrowed.slots.iter().map(|(name, n)| (name, *n))))
    };
    let question = loan_of(&state, &service, standing, loans.unwrap_or_default());
    let called =
        message::post(&state.peer_client, peer.address, LOAN_PATH, &question, ANSWER_LIMIT);
    let answer: Option<Loan> = match called.await {
        Ok((StatusCode::OK, body)) => codec::from_wire(&body)
            .inspect_err(|error| {
                info!(state.log, "unreadable answer about a loan"; "host" => %peer.name,
                    "reason" => %error);
            })
            .ok(),
        // The other region's hosts disagree for a moment about who gives out the slots.
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => None,
        Ok((status, _)) => {
            info!(state.log, "no loan settled"; "host" => %peer.name, "status" => %status);
            None
        }
        Err(error) => {
            debug!(state.log, "no answer about a loan"; "host" => %peer.name, "reason" => %error);
            state.update(|view, now| {
                view.roster.record_remote_failure(&peer.name, now);
                false
            });
            None
        }
    };
    let Some(answer) = answer else { return };
    state.update(|view, now| {
        let Some(book) = view.books.get_mut(&service) else { return false };
        note(book, region, &answer, now);
        let slots = from_wire(&answer.loans);
        let before = book
            .borrowed
            .insert(region, Borrowed { slots: slots.clone(), expires: now + loan::TTL });
        before.is_none_or(|before| before.slots != slots || before.expires <= now)
    });
}

/// The host that gives out a service's slots in another region, as far as can be told from here.
fn counterpart(state: &Shared, service: &service::Name, region: region::Index) -> Option<Peer> {
    let view = state.view();
    let peers = view.roster.remote_peers(region, state.clock.now());
    rank::highest(peers, service.as_str(), |peer| peer.name.as_str()).cloned()
}

/// Answers another region, or `None` if this host does not give out the service's slots.
pub fn answer(state: &Shared, question: &Loan) -> Option<Loan> {
    let service = service::Name::try_from(question.service.as_str()).ok()?;
    let region = state.settings.topology.find_region(&question.region)?;
    let snapshot = Arc::clone(&state.snapshot());
    if state.stop.has_begun() || snapshot.remote_dispatcher(&state.settings, &service).is_some() {
        return None;
    }
    let standing = standing(state, &snapshot, &service);
    let mut loans = Vec::new();
    state.update(|view: &mut ClusterView, now| {
        let book = view.books.entry(service.clone()).or_default();
        note(book, region, question, now);
        let before = book.ledger.lent_to(region);
        book.ledger.adopt(region, from_wire(&question.loans));
        loans = to_wire(book.ledger.loans(region));
        before != book.ledger.lent_to(region)
    });
    Some(loan_of(state, &service, standing, loans))
}

fn note(book: &mut Book, region: region::Index, loan: &Loan, now: Instant) {
    let standing = CapacityReport { needed_milli: loan.needed_milli, slots: loan.slots };
    book.standings.insert(region, (standing, now));
}

fn loan_of(
    state: &Shared,
    service: &service::Name,
    standing: CapacityReport,
    loans: Vec<(String, u32)>,
) -> Loan {
    let own =
        state.settings.topology.regions().find(|(region, _)| *region == state.settings.region);
    Loan {
        service: service.to_string(),
        region: own.map(|(_, name)| name.to_string()).unwrap_or_default(),
        needed_milli: standing.needed_milli,
        slots: standing.slots,
        loans,
    }
}

fn to_wire<'a>(slots: impl Iterator<Item = (&'a backend::Name, u32)>) -> Vec<(String, u32)> {
    slots.map(|(name, slots)| (name.to_string(), slots)).collect()
}

fn from_wire(slots: &[(String, u32)]) -> Slots {
    let known = slots
        .iter()
        .filter_map(|(name, slots)| Some((backend::Name::try_from(name.as_str()).ok()?, *slots)));
    known.collect()
}
