//! Slots of backend servers: one host of the region gives out those of a service, so that its
//! counts are exact. The others ask it, and send the request to the server themselves.

use http::{HeaderMap, StatusCode, header};
use hyper::body::Incoming;
use oleanderspan::{
    availability::Topology,
    backend::{self, Object, ReuseDistance, Server, pool::Criteria, server::Identity},
    entry::roster::Peer,
    prelude::*,
    region,
    request::{Refusal, admission::TimeLeft},
    service,
};
use slog::{info, warn};

use crate::{
    gateway::{
        message::{self, ASK_PATH, Ask, Report},
        slots::{self, Given, Refused},
        state::{Shared, is_usable},
    },
    http::header as names,
};

/// The time that an answer of the giving host may take beyond the wait in its queue.
const ASK_MARGIN: Duration = Duration::from_millis(150);

/// The most questions for one request, as hosts fail one after the other or offer servers that
/// are not to be used. Each takes about as long as a packet to another zone and back.
const MAX_ASKS: u32 = 16;

/// The most reports that one question carries.
const MAX_REPORTS: usize = 16;

/// The most reports that wait for a question to carry them; older ones are dropped, as they say
/// little by then.
const MAX_KEPT_REPORTS: usize = 64;

/// A slot that is taken until the grant is dropped.
#[derive(Debug)]
pub enum Grant {
    /// Given out here.
    Own(Given),
    /// Given out by another host, for as long as its answer is open.
    Foreign {
        /// The server.
        server: Arc<Server>,
        /// The open answer.
        hold: Incoming,
        /// How well the server knows the object of the request, if it is about one.
        recall: Option<ReuseDistance>,
    },
}

impl Grant {
    /// The server whose slot is taken.
    pub fn server(&self) -> Option<&Arc<Server>> {
        match self {
            Grant::Own(given) => given.lease.server(),
            Grant::Foreign { server, .. } => Some(server),
        }
    }

    /// How well the server knows the object of the request, if it is about one.
    pub fn recall(&self) -> Option<ReuseDistance> {
        match self {
            Grant::Own(given) => given.recall,
            Grant::Foreign { recall, .. } => *recall,
        }
    }
}

/// What a request wants.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// The identity of the request.
    pub id: &'a str,
    /// The service.
    pub service: &'a service::Name,
    /// The region whose servers are asked for.
    pub region: region::Index,
    /// The rank under overload.
    pub priority: u8,
    /// The time that it has.
    pub time: TimeLeft,
    /// What it wants of its server.
    pub wish: Criteria,
}

/// Takes a slot for a request.
pub async fn acquire(state: &Shared, want: &Want<'_>) -> Result<Grant, Refused> {
    let began = state.clock.now();
    let mut wish = want.wish.clone();
    for _ in 0..MAX_ASKS {
        let snapshot = state.snapshot();
        let spent = state.clock.now().since(began);
        let time = TimeLeft {
            objective: want.time.objective.saturating_sub(spent),
            deadline: want.time.deadline.saturating_sub(spent),
        };
        let is_home = want.region == state.settings.region;
        let peer = snapshot.arbiter(&state.settings, want.service).filter(|_| is_home);
        let Some(peer) = peer else {
            let pool = snapshot.pool(want.service, want.region).map(Arc::clone);
            if is_home && let Some(demand) = snapshot.demand(want.service) {
                demand.record_request();
            }
            drop(snapshot);
            let Some(pool) = pool else { return Err(slots::no_server()) };
            let given = slots::acquire(&pool, state.clock, want.priority, time, wish).await?;
            return Ok(Grant::Own(given));
        };
        let peer = peer.clone();
        drop(snapshot);
        match ask(state, want, &wish, time, &peer).await {
            Ok(grant) => return Ok(grant),
            Err(Failure::Refused(refused)) => return Err(refused),
            // The hosts learn of servers at slightly different times; the slot goes back.
            Err(Failure::Unusable(server)) => {
                info!(state.log, "slot of a server that is not used here"; "request" => want.id,
                    "server" => %server, "host" => %peer.name);
                state.reports.push(Report {
                    service: want.service.to_string(),
                    server: server.to_string(),
                    latency_us: None,
                    recall: None,
                    is_unusable: true,
                });
                wish.excluded = Some(server);
            }
            Err(Failure::NoAnswer(reason)) => {
                warn!(state.log, "no answer for a slot"; "request" => want.id,
                    "host" => %peer.name, "reason" => reason);
                state.update(|beliefs, now| beliefs.roster.record_failure(&peer.name, now));
            }
        }
    }
    Err(Refused { refusal: Refusal::NotReady, retry_after: Refusal::NotReady.retry_after() })
}

/// Why a question for a slot brought none.
#[derive(Debug)]
enum Failure {
    Refused(Refused),
    Unusable(backend::Name),
    NoAnswer(String),
}

/// Asks the host that gives out slots.
async fn ask(
    state: &Shared,
    want: &Want<'_>,
    wish: &Criteria,
    time: TimeLeft,
    peer: &Peer,
) -> Result<Grant, Failure> {
    let reports = std::iter::from_fn(|| state.reports.pop()).take(MAX_REPORTS).collect();
    let message = Ask {
        request: want.id.to_owned(),
        service: want.service.to_string(),
        priority: want.priority,
        objective_ms: millis(time.objective),
        deadline_ms: millis(time.deadline),
        object: wish.object.map(Object::hash),
        not: wish.excluded.as_ref().map(|name| name.to_string()),
        is_bound: wish.is_bound,
        reports,
    };
    let request = message::request(peer.address, ASK_PATH, &message).map_err(no_answer)?;
    let limit = time.deadline + ASK_MARGIN;
    let sent = tokio::time::timeout(limit, state.peers.send(request)).await;
    let answer = sent.map_err(|_| no_answer("no answer in time"))?;
    let answer = answer.map_err(no_answer)?;
    if answer.status() != StatusCode::OK {
        let refusal = names::text(answer.headers(), &names::REFUSAL);
        let refusal = refusal.and_then(|code| Refusal::try_from(code).ok());
        let refusal = refusal.ok_or_else(|| no_answer(answer.status()))?;
        let wait = names::number(answer.headers(), &names::RETRY_AFTER_MS);
        let retry_after = wait.map(Duration::from_millis);
        return Err(Failure::Refused(Refused { refusal, retry_after }));
    }
    let offered = offered(answer.headers(), &state.settings.topology)
        .ok_or_else(|| no_answer("the answer names no server"))?;
    let known = state.snapshot().server(&offered.identity.name).cloned();
    let is_refuted = match &known {
        Some(server) => !is_usable(server),
        // The other host may have heard of a new server first.
        None => {
            let beliefs = state.beliefs();
            beliefs.listing.was_removed(&offered.identity.name)
                || beliefs.evacuated.contains(&offered.zone)
        }
    };
    if is_refuted {
        return Err(Failure::Unusable(offered.identity.name));
    }
    let server = known.unwrap_or_else(|| Arc::new(offered));
    let recall = names::number(answer.headers(), &names::REUSE_DISTANCE);
    let recall =
        recall.and_then(|others| u8::try_from(others).ok()).map(ReuseDistance::from_number);
    Ok(Grant::Foreign { server, hold: answer.into_body(), recall })
}

/// Names the server of a slot that was given out.
pub fn server_headers(headers: &mut HeaderMap, given: &Given, topology: &Topology) {
    let Some(server) = given.lease.server() else { return };
    if let Some(recall) = given.recall {
        headers.insert(names::REUSE_DISTANCE, names::value(&recall.number().to_string()));
    }
    headers.insert(names::SERVER, names::value(server.identity.name.as_str()));
    headers.insert(names::SERVER_ADDRESS, names::value(&server.address.to_string()));
    let incarnation = server.identity.incarnation.to_string();
    headers.insert(names::SERVER_INCARNATION, names::value(&incarnation));
    let zone = topology.zone_name(server.zone).map_or("", |zone| zone.as_str());
    headers.insert(names::SERVER_ZONE, names::value(zone));
}

/// The server that another host has given out a slot of.
fn offered(headers: &HeaderMap, topology: &Topology) -> Option<Server> {
    let name = backend::Name::try_from(names::text(headers, &names::SERVER)?).ok()?;
    let incarnation = names::number(headers, &names::SERVER_INCARNATION)?;
    let address = names::text(headers, &names::SERVER_ADDRESS)?.parse().ok()?;
    let (zone, _) = topology.find_zone(names::text(headers, &names::SERVER_ZONE)?)?;
    // Its slots are counted by the host that gives them out.
    let slots = 1;
    Some(Server::new(Identity { name, incarnation }, address, zone, slots))
}

/// Takes note of what a request has shown of its server, here and for the host that gives out
/// its slots.
pub fn report(state: &Shared, want: &Want<'_>, grant: &Grant, latency: Option<Duration>) {
    let Some(server) = grant.server() else { return };
    if let Some(pool) = state.snapshot().pool(want.service, want.region) {
        slots::note(pool, server, grant.recall(), latency);
    }
    if matches!(grant, Grant::Foreign { .. }) {
        if state.reports.len() >= MAX_KEPT_REPORTS {
            state.reports.pop();
        }
        state.reports.push(Report {
            service: want.service.to_string(),
            server: server.identity.name.to_string(),
            latency_us: latency
                .map(|latency| u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)),
            recall: grant.recall().map(ReuseDistance::number),
            is_unusable: false,
        });
    }
}

fn no_answer(reason: impl std::fmt::Display) -> Failure {
    Failure::NoAnswer(reason.to_string())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Names used by the answer to a question for a slot.
pub fn refused_headers(headers: &mut http::HeaderMap, refused: Refused) {
    headers.insert(names::REFUSAL, names::value(refused.refusal.as_str()));
    if let Some(wait) = refused.retry_after {
        headers.insert(names::RETRY_AFTER_MS, names::value(&millis(wait).to_string()));
    }
    headers.insert(header::CONTENT_LENGTH, names::value("0"));
}
