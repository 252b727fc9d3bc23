//! Acquires slots of backend servers. One host of the region, the service's arbiter, allocates the
//! slots of a service, so that its counts are exact. The other hosts request slots from it and send
//! the requests to the server themselves.

use std::sync::atomic::Ordering;

use http::{HeaderMap, StatusCode, header};
use hyper::body::Incoming;
use oleanderspan::{
    availability::Topology,
    backend::{self, Object, Pool, ReuseDistance, Server, pool::Criteria, server::Identity},
    customer::{Customer, share::Claimant},
    entry::{self, roster::Peer},
    prelude::*,
    region,
    request::{Refusal, admission::TimeLeft},
    service,
};
use slog::{info, warn};

use crate::{
    entry::slot::QueuedRequest,
    gateway::{
        lending,
        message::{self, SLOT_PATH, ServerReport, SlotRequest, millis},
        quotas,
        slots::{self, AcquireError, Allocation},
        state::{Shared, is_usable},
    },
    http::header as names,
};

/// How long the arbiter's answer may take beyond the wait in its queue.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Maximum number of attempts to acquire a slot for one request, as arbiters may fail one after the
/// other or offer unusable servers. Each attempt takes about one round trip to another zone.
const MAX_ATTEMPTS: u32 = 16;

/// Maximum number of reports in one slot request.
const MAX_REPORTS_PER_REQUEST: usize = 16;

/// Maximum number of reports that wait for the next slot request. The oldest are dropped, as they
/// are outdated by then.
const MAX_PENDING_REPORTS: usize = 64;

/// A slot that is released when the grant is dropped.
#[derive(Debug)]
pub enum Grant {
    /// Allocated by this host.
    Local(Allocation),
    /// Allocated by another host, and held for as long as its response is open.
    Remote {
        /// The server whose slot is held.
        server: Arc<Server>,
        /// The host that allocated the slot.
        arbiter: entry::Name,
        /// The open response of the arbiter; dropping it releases the slot.
        response_body: Incoming,
        /// Reuse distance of the request's object on the server; `None` without an object.
        reuse_distance: Option<ReuseDistance>,
    },
}

impl Grant {
    /// The server whose slot is held; `None` once the slot was released.
    pub fn server(&self) -> Option<&Arc<Server>> {
        match self {
            Grant::Local(allocation) => allocation.lease.server(),
            Grant::Remote { server, .. } => Some(server),
        }
    }

    /// The host that allocated the slot; `None` for this host.
    pub fn arbiter(&self) -> Option<&entry::Name> {
        match self {
            Grant::Local(_) => None,
            Grant::Remote { arbiter, .. } => Some(arbiter),
        }
    }

    /// Reuse distance of the request's object on the server; `None` without an object.
    pub fn reuse_distance(&self) -> Option<ReuseDistance> {
        match self {
            Grant::Local(allocation) => allocation.reuse_distance,
            Grant::Remote { reuse_distance, .. } => *reuse_distance,
        }
    }
}

/// Requirements of a request for its slot.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// The request ID, for logs.
    pub id: &'a str,
    /// The service whose servers can run the request.
    pub service: &'a service::Name,
    /// The region whose servers may be used.
    pub region: region::Index,
    /// Priority under overload, from the route.
    pub priority: u8,
    /// The customer that sends the request; `None` if requests need no key.
    pub customer: Option<&'a Customer>,
    /// Time left until the latency objective and the deadline.
    pub time: TimeLeft,
    /// Criteria for the choice of the server.
    pub criteria: Criteria,
}

/// Acquires a slot, from this host's pool or from the service's arbiter.
pub async fn acquire(
    state: &Shared,
    requirements: &Requirements<'_>,
) -> Result<Grant, AcquireError> {
    let started_at = state.clock.now();
    let mut criteria = requirements.criteria.clone();
    for _ in 0..MAX_ATTEMPTS {
        let snapshot = state.snapshot();
        let time = requirements.time.after(state.clock.now().since(started_at));
        let is_own_region = requirements.region == state.settings.region;
        let pool = snapshot.pool(requirements.service, requirements.region).map(Arc::clone);
        // Slots of warm servers in other regions are counted by each host for itself, as the arbiter
        // there is a long way off. The rate of cold ones is counted by that arbiter alone.
        let needs_remote = !is_own_region && pool.as_ref().is_some_and(|pool| is_cold(state, pool));
        let peer = match is_own_region {
            true => snapshot.remote_arbiter(&state.settings, requirements.service).cloned(),
            false if needs_remote => {
                lending::remote_arbiter(state, requirements.service, requirements.region)
            }
            false => None,
        };
        let Some(peer) = peer else {
            if is_own_region && let Some(demand) = snapshot.demand(requirements.service) {
                demand.record_request();
            }
            drop(snapshot);
            let pool = pool.filter(|_| !needs_remote);
            let Some(pool) = pool else { return Err(slots::no_server()) };
            // A retry has been charged with the first attempt.
            let charged = requirements.customer.filter(|_| criteria.excluded.is_none());
            let charged = charged.map(|customer| &customer.name);
            let charge = quotas::charge(state, charged, time).await?;
            let time = requirements.time.after(state.clock.now().since(started_at));
            let (clock, priority) = (state.clock, requirements.priority);
            let customer = requirements.customer.map(Claimant::from);
            let allocation =
                slots::acquire(&pool, clock, priority, time, criteria, customer).await?;
            charge.keep();
            return Ok(Grant::Local(allocation));
        };
        drop(snapshot);
        match request_slot(state, requirements, &criteria, time, &peer).await {
            Ok(grant) => return Ok(grant),
            Err(Failure::Rejected(error)) => return Err(error),
            // Hosts learn of server changes at slightly different times. Dropping the response
            // releases the slot, and the next slot request reports the server to the arbiter.
            Err(Failure::Unusable { server, why }) => {
                info!(state.log, "arbiter granted a server that is unusable here; excluding it";
                    "request" => requirements.id, "server" => %server.name,
                    "host" => %peer.name, "why" => ?why);
                let has_said = u64::from(why != Unusable::Gone);
                state.returned_grants.fetch_add(has_said, Ordering::Relaxed);
                report(state, unusable_report(requirements.service, &server, why));
                criteria.excluded = Some(server.name);
            }
            Err(Failure::OutsideRegion(server)) => {
                warn!(state.log, "arbiter granted a server outside the request's region; \
                    excluding it"; "request" => requirements.id, "server" => %server,
                    "host" => %peer.name);
                criteria.excluded = Some(server);
            }
            Err(Failure::NoAnswer(reason)) => {
                warn!(state.log, "slot request to the arbiter failed; recording a failure";
                    "request" => requirements.id, "host" => %peer.name, "reason" => reason);
                state.update(|view, now| match is_own_region {
                    true => view.roster.record_failure(&peer.name, now),
                    false => {
                        view.roster.record_remote_failure(&peer.name, now);
                        false
                    }
                });
            }
        }
    }
    Err(AcquireError { refusal: Refusal::NotReady, retry_after: Refusal::NotReady.retry_after() })
}

/// Whether all servers of a pool that may be sent requests are cold.
fn is_cold(state: &Shared, pool: &Pool<QueuedRequest>) -> bool {
    let (servers, now) = (pool.servers(), state.clock.now());
    let mut usable = servers.iter().filter(|server| is_usable(server)).peekable();
    usable.peek().is_some() && usable.all(|server| server.cold().is_cold(now))
}

/// Why a granted server is not sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unusable {
    /// It is leaving, gone or evacuated.
    Gone,
    /// It has said itself that it is leaving.
    Leaving,
    /// It has asked this host to send it nothing for so long.
    Backoff(Duration),
}

/// Why a slot request failed.
#[derive(Debug)]
enum Failure {
    Rejected(AcquireError),
    Unusable {
        server: Identity,
        why: Unusable,
    },
    /// The server is not in the only region that may run the request.
    OutsideRegion(backend::Name),
    NoAnswer(String),
}

/// Requests a slot from the arbiter of the service.
async fn request_slot(
    state: &Shared,
    requirements: &Requirements<'_>,
    criteria: &Criteria,
    time: TimeLeft,
    peer: &Peer,
) -> Result<Grant, Failure> {
    let reports =
        std::iter::from_fn(|| state.reports.pop()).take(MAX_REPORTS_PER_REQUEST).collect();
    let message = SlotRequest {
        request: requirements.id.to_owned(),
        service: requirements.service.to_string(),
        priority: requirements.priority,
        customer: requirements.customer.map(|customer| customer.name.to_string()),
        objective_ms: millis(time.objective),
        deadline_ms: millis(time.deadline),
        object: criteria.object.map(Object::hash),
        excluded: criteria.excluded.as_ref().map(|name| name.to_string()),
        is_bound: criteria.region.is_some(),
        refunds: state.quotas.take_refunds(),
        host: Some(state.settings.host.to_string()),
        reports,
    };
    let request = message::request(peer.address, SLOT_PATH, &message).map_err(no_answer)?;
    let limit = time.deadline + RESPONSE_MARGIN;
    let sent = tokio::time::timeout(limit, state.peer_client.send(request)).await;
    let answer = sent.map_err(|_| no_answer("no response within the request's deadline"))?;
    let answer = answer.map_err(no_answer)?;
    if answer.status() != StatusCode::OK {
        let refusal = names::text(answer.headers(), &names::REFUSAL);
        let refusal = refusal.and_then(|code| Refusal::try_from(code).ok());
        let refusal = refusal.ok_or_else(|| no_answer(answer.status()))?;
        let wait = names::number(answer.headers(), &names::RETRY_AFTER_MS);
        let retry_after = wait.map(Duration::from_millis);
        return Err(Failure::Rejected(AcquireError { refusal, retry_after }));
    }
    let granted_server = granted_server(answer.headers(), &state.settings.topology)
        .ok_or_else(|| no_answer("the response has no valid server headers"))?;
    // The arbiter may have learned first of a new server, or of a new start under the same name.
    let granted = granted_server.identity.clone();
    let known = state.snapshot().server(&granted.name).cloned();
    let known = known.filter(|known| known.identity.incarnation >= granted.incarnation);
    let (server, is_unusable) = match known {
        Some(known) => {
            let is_unusable = known.identity != granted || !is_usable(&known);
            (known, is_unusable)
        }
        None => {
            let view = state.view();
            let notice = view.listing.notice_of(&granted).unwrap_or_default();
            let is_unusable = notice.is_leaving()
                || view.listing.was_removed(&granted)
                || view.evacuations.contains(granted_server.location.zone);
            (Arc::new(granted_server.with_notice(notice)), is_unusable)
        }
    };
    let now = state.clock.now();
    let why = match server.notice().backoff_until(state.sender, now) {
        _ if server.identity == granted && server.notice().is_leaving() => Some(Unusable::Leaving),
        _ if is_unusable => Some(Unusable::Gone),
        ends => ends.map(|ends| Unusable::Backoff(ends.since(now))),
    };
    if let Some(why) = why {
        return Err(Failure::Unusable { server: granted, why });
    }
    if !criteria.allows_region_of(&server) {
        return Err(Failure::OutsideRegion(server.identity.name.clone()));
    }
    let reuse_distance = names::number(answer.headers(), &names::REUSE_DISTANCE);
    let reuse_distance =
        reuse_distance.and_then(|others| u8::try_from(others).ok()).map(ReuseDistance::from_number);
    let arbiter = peer.name.clone();
    Ok(Grant::Remote { server, arbiter, response_body: answer.into_body(), reuse_distance })
}

/// Inserts the headers that identify the server of an allocated slot.
pub fn insert_server_headers(
    headers: &mut HeaderMap,
    allocation: &Allocation,
    topology: &Topology,
) {
    let Some(server) = allocation.lease.server() else { return };
    if let Some(reuse_distance) = allocation.reuse_distance {
        headers.insert(names::REUSE_DISTANCE, names::value(&reuse_distance.number().to_string()));
    }
    headers.insert(names::SERVER, names::value(server.identity.name.as_str()));
    headers.insert(names::SERVER_ADDRESS, names::value(&server.address.to_string()));
    let incarnation = server.identity.incarnation.to_string();
    headers.insert(names::SERVER_INCARNATION, names::value(&incarnation));
    let zone = topology.zone_name(server.location.zone).map_or("", |zone| zone.as_str());
    headers.insert(names::SERVER_ZONE, names::value(zone));
}

/// Parses the server of a slot that another host allocated. `None` if a header is missing or
/// invalid.
fn granted_server(headers: &HeaderMap, topology: &Topology) -> Option<Server> {
    let name = backend::Name::try_from(names::text(headers, &names::SERVER)?).ok()?;
    let incarnation = names::number(headers, &names::SERVER_INCARNATION)?;
    let address = names::text(headers, &names::SERVER_ADDRESS)?.parse().ok()?;
    let location = topology.find_location(names::text(headers, &names::SERVER_ZONE)?)?;
    // The arbiter counts the server's slots; here it stands for the one that was granted.
    let slots = 1;
    Some(Server::new(Identity { name, incarnation }, address, location, slots))
}

/// Records the outcome of an attempt in the local pool, and queues a report for the arbiter if it
/// allocated the slot. `latency` is `None` if the attempt failed.
pub fn record_outcome(
    state: &Shared,
    requirements: &Requirements<'_>,
    grant: &Grant,
    latency: Option<Duration>,
) {
    let Some(server) = grant.server() else { return };
    if let Some(pool) = state.snapshot().pool(requirements.service, requirements.region) {
        slots::record_outcome(pool, server, grant.reuse_distance(), latency);
    }
    if matches!(grant, Grant::Remote { .. }) {
        report(
            state,
            ServerReport {
                service: requirements.service.to_string(),
                server: server.identity.name.to_string(),
                incarnation: Some(server.identity.incarnation),
                latency_us: latency
                    .map(|latency| u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)),
                reuse_distance: grant.reuse_distance().map(ReuseDistance::number),
                is_unusable: false,
                is_leaving: false,
                backoff_ms: None,
            },
        );
    }
}

/// Queues a report for the next slot request.
pub fn report(state: &Shared, report: ServerReport) {
    if state.reports.len() >= MAX_PENDING_REPORTS {
        state.reports.pop();
    }
    state.reports.push(report);
}

/// The report on a server that says that it is leaving.
pub fn leaving_report(service: &service::Name, server: &Server) -> ServerReport {
    unusable_report(service, &server.identity, Unusable::Leaving)
}

/// The report on a server that this host is to send nothing for so long.
pub fn backoff_report(
    service: &service::Name,
    server: &Identity,
    backoff: Duration,
) -> ServerReport {
    unusable_report(service, server, Unusable::Backoff(backoff))
}

fn unusable_report(service: &service::Name, server: &Identity, why: Unusable) -> ServerReport {
    let backoff_ms = match why {
        Unusable::Backoff(backoff) => Some(millis(backoff)),
        Unusable::Gone | Unusable::Leaving => None,
    };
    ServerReport {
        service: service.to_string(),
        server: server.name.to_string(),
        incarnation: Some(server.incarnation),
        latency_us: None,
        reuse_distance: None,
        is_unusable: backoff_ms.is_none(),
        is_leaving: why == Unusable::Leaving,
        backoff_ms,
    }
}

fn no_answer(reason: impl std::fmt::Display) -> Failure {
    Failure::NoAnswer(reason.to_string())
}

/// Inserts the headers of a rejected slot request.
pub fn insert_refusal_headers(headers: &mut http::HeaderMap, error: AcquireError) {
    headers.insert(names::REFUSAL, names::value(error.refusal.as_str()));
    if let Some(wait) = error.retry_after {
        headers.insert(names::RETRY_AFTER_MS, names::value(&millis(wait).to_string()));
    }
    headers.insert(header::CONTENT_LENGTH, names::value("0"));
}
