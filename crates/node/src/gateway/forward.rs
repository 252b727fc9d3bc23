//! Forwards requests to backend servers, and retries them on another server where that is safe.

use std::sync::atomic::Ordering;

use http::{Response, StatusCode};
use oleanderspan::{
    backend::{self, Object, ReuseDistance, Server, pool::Criteria},
    customer::Customer,
    prelude::*,
    request::{Outcome, Refusal, Repeat, admission::TimeLeft, retry::Deadline},
    route::{Homes, Route, check},
    service,
};
use slog::{debug, info, warn};

use crate::{
    entry::outbound::OutboundRequest,
    gateway::{
        front::{self, Sender},
        grant::{self, Grant, Requirements},
        notice, quotas,
        slots::AcquireError,
        state::Shared,
        stop,
    },
    http::{
        Body,
        body::{self, Collected, Flow},
        client::{self, RequestBody},
        header as names,
    },
};

/// Maximum number of response bytes that are buffered before any are passed on. A response that
/// breaks off within them can still be retried.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Maximum number of retries. The route's `max_attempts` also limits the attempts that may have
/// run.
const MAX_RETRIES: u32 = 3;

// The configuration check tells operators this limit.
const _: () = assert!(MAX_RETRIES as u64 + 1 == check::MAX_USEFUL_ATTEMPTS);

/// Maximum number of slots that one attempt acquires before it finds a server that wants it.
const MAX_GRANTS: u32 = 4;

/// How much later than the server's deadline this host stops waiting, so that an answer that the
/// server sends at its deadline still arrives.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(40);

/// How long a slot is held after its server rejected a request or failed, for each consecutive
/// failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

/// Upper limit of the time that a slot is held after consecutive failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(2_000);

/// A response whose slot is released once its whole body has been read from the server.
pub type Answer = Response<Body>;

/// A routed request and its deadlines.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The client's request ID, which the server repeats in its response.
    pub id: &'a str,
    /// The route that matched the request.
    pub route: &'a Arc<Route>,
    /// Version of the routes that it is from.
    pub routes_version: u64,
    /// The customer that sends the request; `None` if requests need no key.
    pub sender: Option<&'a Sender>,
    /// The service that the route's traffic split selected.
    pub service: &'a service::Name,
    /// The object that the request accesses; `None` on routes without sticky sessions.
    pub object: Option<Object>,
    /// When the latency objective is missed.
    pub objective: Deadline,
    /// When the client or the route stops waiting for the response.
    pub deadline: Deadline,
    /// When the client stops waiting, also for the rest of a body that it receives.
    pub client_deadline: Deadline,
}

impl<'a> Call<'a> {
    fn customer(&self) -> Option<&'a Arc<Customer>> {
        self.sender.map(|sender| &sender.customer)
    }
}

/// Why a request got no response from a server.
#[derive(Clone, Copy, Debug)]
pub struct ForwardError {
    /// The reason that is returned to the client.
    pub refusal: Refusal,
    /// Whether the request may have run, over all attempts.
    pub outcome: Outcome,
    /// When the client may retry; `None` if no time is suggested.
    pub retry_after: Option<Duration>,
    /// Number of attempts that selected a server.
    pub attempts: u32,
}

impl ForwardError {
    /// The error of a request that was never sent to a server.
    pub fn refused(refusal: Refusal) -> ForwardError {
        ForwardError {
            refusal,
            outcome: Outcome::NotRun,
            retry_after: refusal.retry_after(),
            attempts: 0,
        }
    }

    /// The HTTP status for the client. 503 guarantees that the request has not run.
    pub fn status(&self) -> u16 {
        match (self.outcome, self.refusal.status()) {
            (Outcome::NotRun, status @ 400..=499) if status != 409 => status,
            (Outcome::NotRun, _) => 503,
            (_, 504) => 504,
            _ => 502,
        }
    }
}

/// Why an attempt failed, and what the retry needs to know.
#[derive(Debug)]
struct Failure {
    refusal: Refusal,
    outcome: Outcome,
    /// The server, which the next attempt excludes; `None` if nothing was sent.
    server: Option<backend::Name>,
    /// The server's own error response, passed on if the request is not retried.
    answer: Option<Answer>,
    retry_after: Option<Duration>,
}

/// Sends a request to a server, and retries on another one if the request is safe to repeat and the
/// retry budget allows it.
pub async fn forward(
    state: &Shared,
    call: &Call<'_>,
    outbound: &mut OutboundRequest,
) -> Result<Answer, ForwardError> {
    let budget = state.snapshot().retry_budget(call.service).map(Arc::clone);
    if let Some(budget) = &budget {
        budget.record_first_attempt();
    }
    let mut outcome = Outcome::NotRun;
    let (mut attempts, mut possible_runs) = (0, 0);
    let mut excluded = None;
    let mut server_error = None;
    loop {
        let failure = match attempt(state, call, outbound, excluded.clone()).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        outcome = outcome.combine(failure.outcome);
        attempts += u32::from(failure.server.is_some());
        possible_runs += u32::from(failure.outcome == Outcome::Unknown);
        let is_safe = outcome == Outcome::NotRun || call.route.repeat == Repeat::Idempotent;
        let has_time = call.deadline.remaining(state.clock.now()).is_some();
        let again = failure.server.is_some()
            && is_safe
            && failure.refusal != Refusal::CutOff
            && has_time
            && outbound.can_send()
            && possible_runs < call.route.max_attempts
            && attempts <= MAX_RETRIES
            && budget.as_ref().is_some_and(|budget| budget.try_spend());
        if let Some(server) = &failure.server {
            info!(state.log, "attempt failed"; "request" => call.id, "attempt" => attempts,
                "service" => %call.service, "refusal" => failure.refusal.as_str(),
                "server" => %server, "again" => again);
        }
        // A server's error response is delivered if no later attempt gets a response.
        server_error = failure.answer.or(server_error);
        if !again {
            if let Some(answer) = server_error {
                return Ok(answer);
            }
            if let Some(customer) = call.customer()
                && outcome == Outcome::NotRun
                && attempts > 0
            {
                let snapshot = state.snapshot();
                let is_local = snapshot.remote_arbiter(&state.settings, call.service).is_none();
                drop(snapshot);
                quotas::refund(state, &customer.name, is_local);
            }
            let retry_after = failure.retry_after.or(failure.refusal.retry_after());
            return Err(ForwardError { refusal: failure.refusal, outcome, retry_after, attempts });
        }
        excluded = failure.server;
    }
}

async fn attempt(
    state: &Shared,
    call: &Call<'_>,
    outbound: &mut OutboundRequest,
    excluded: Option<backend::Name>,
) -> Result<Answer, Failure> {
    if stop::is_too_late(state, call) {
        return Err(Failure::unsent(Refusal::Stopping, None));
    }
    let (requirements, grant, server) = tokio::select! {
        biased;
        acquired = acquire_in_homes(state, call, outbound.head(), excluded) => acquired?,
        () = stop::last_send(state, call) => {
            return Err(Failure::unsent(Refusal::Stopping, None));
        }
    };
    confirm_sender(state, call).map_err(|refusal| Failure::unsent(refusal, None))?;
    let sent_at = state.clock.now();
    let remaining = stop::work_end(state, call).remaining(sent_at);
    let remaining = remaining.ok_or_else(|| Failure::unsent(Refusal::Expired, None))?;
    let exchange = exchange(state, call, outbound, &server, remaining);
    let exchange = tokio::time::timeout(remaining + DEADLINE_MARGIN, exchange);
    let exchanged = tokio::select! {
        biased;
        exchanged = exchange => exchanged,
        () = stop::cut_off(state) => Ok(Err((Refusal::CutOff, Outcome::Unknown))),
    };
    match exchanged {
        Ok(Ok((head, collected))) => {
            let latency = state.clock.now().since(sent_at);
            grant::record_outcome(state, &requirements, &grant, Some(latency));
            debug!(state.log, "answered"; "request" => call.id, "service" => %call.service,
                "server" => %server.identity.name, "status" => head.status.as_u16(),
                "object" => call.object.map(Object::hash),
                "recall" => grant.reuse_distance().map(ReuseDistance::number),
                "latency_ms" => latency.as_millis());
            let is_failure = head.status.is_server_error();
            let refusal = match head.status {
                StatusCode::GATEWAY_TIMEOUT => Refusal::TimedOut,
                _ => Refusal::Broken,
            };
            let answer = answer(state, call, head, collected, grant);
            if !is_failure {
                return Ok(answer);
            }
            server.observe_failure();
            Err(Failure { answer: Some(answer), ..Failure::sent(refusal, &server) })
        }
        // It says nothing about the server.
        Ok(Err((
            refusal @ (Refusal::CutOff | Refusal::TooLarge | Refusal::Malformed),
            Outcome::Unknown,
        ))) => Err(Failure::sent(refusal, &server)),
        Ok(Err((refusal, outcome))) => {
            grant::record_outcome(state, &requirements, &grant, None);
            let snapshot = state.snapshot();
            let pool = snapshot.pool(call.service, requirements.region);
            if !pool.is_some_and(|pool| pool.failure_rate().expects(server.failures())) {
                release_after_backoff(grant, &server);
            }
            Err(Failure { outcome, ..Failure::sent(refusal, &server) })
        }
        Err(_) => {
            // The server may run the request a moment longer. A single time-out does not make it
            // suspect, only several consecutive failures do.
            grant::record_outcome(state, &requirements, &grant, None);
            Err(Failure::sent(Refusal::TimedOut, &server))
        }
    }
}

/// Checks that the key of a request identifies its sender by the configuration that is in force by
/// then, right before the request is sent.
fn confirm_sender(state: &Shared, call: &Call<'_>) -> Result<(), Refusal> {
    let Some(sender) = call.sender else { return Ok(()) };
    let snapshot = state.snapshot();
    let newer = snapshot.table.as_ref().filter(|table| table.version != call.routes_version);
    let customers = newer.and_then(|table| table.customers.as_ref());
    customers.map_or(Ok(()), |customers| sender.confirm(customers))
}

/// Acquires a slot of a server in the home regions of the route that is in force by then.
async fn acquire_in_homes<'a>(
    state: &Shared,
    call: &Call<'a>,
    head: &http::request::Parts,
    excluded: Option<backend::Name>,
) -> Result<(Requirements<'a>, Grant, Arc<Server>), Failure> {
    let mut routing = Routing::latest(state, call, head);
    let mut is_charged = false;
    loop {
        let mut requirements = requirements(state, call, routing.homes(), excluded.clone())
            .ok_or_else(|| Failure::unsent(Refusal::NoServer, None))?;
        requirements.customer = requirements.customer.filter(|_| !is_charged);
        let (grant, server) = acquire_open(state, &mut requirements).await?;
        is_charged = true;
        let latest = Routing::latest(state, call, head);
        if is_in_homes(state, latest.homes(), &server) {
            return Ok((requirements, grant, server));
        }
        // The homes of a route may change while its requests wait.
        if latest.version == routing.version {
            report_outside_homes(state, call, &grant, &server);
            return Err(Failure::unsent(Refusal::NoServer, None));
        }
        routing = latest;
    }
}

/// The route and the customer of a request, and the version of the routes that they are from.
#[derive(Debug)]
struct Routing {
    version: u64,
    route: Arc<Route>,
    customer: Option<Arc<Customer>>,
}

impl Routing {
    /// Route and customer of a request as they are now, or as they were last if they have been
    /// removed.
    fn latest(state: &Shared, call: &Call<'_>, head: &http::request::Parts) -> Routing {
        let snapshot = state.snapshot();
        let newer = snapshot.table.as_ref().filter(|table| table.version != call.routes_version);
        let customer = newer.zip(call.customer()).and_then(|(table, customer)| {
            table.customers.as_ref()?.get(&customer.name).map(Arc::clone)
        });
        let customer = customer.or_else(|| call.customer().cloned());
        let route =
            newer.and_then(|table| Some((table.version, front::find_route(table, head).ok()?)));
        let (version, route) =
            route.unwrap_or_else(|| (call.routes_version, Arc::clone(call.route)));
        Routing { version, route, customer }
    }

    fn homes(&self) -> Homes<'_> {
        self.route.homes_for(self.customer.as_deref())
    }
}

/// What a request with these home regions needs of a slot now. `None` if no region that
/// may serve it has a server.
fn requirements<'a>(
    state: &Shared,
    call: &Call<'a>,
    homes: Homes<'_>,
    excluded: Option<backend::Name>,
) -> Option<Requirements<'a>> {
    let now = state.clock.now();
    let region = state.snapshot().serving_region(&state.settings, homes, call.service)?;
    let time = TimeLeft {
        objective: call.objective.remaining(now).unwrap_or_default(),
        deadline: call.deadline.remaining(now).unwrap_or_default(),
    };
    let region_bound = homes.is_bound().then_some(region);
    Some(Requirements {
        id: call.id,
        service: call.service,
        region,
        priority: call.route.priority_for(call.customer().map(Arc::as_ref)),
        customer: call.customer().map(Arc::as_ref),
        time,
        criteria: Criteria {
            object: call.object,
            excluded,
            region: region_bound,
            sender: Some(state.sender),
        },
    })
}

/// Acquires a slot of a server that has not said meanwhile that it wants no requests: this one may
/// have waited between the grant of its slot and now.
async fn acquire_open(
    state: &Shared,
    requirements: &mut Requirements<'_>,
) -> Result<(Grant, Arc<Server>), Failure> {
    for _ in 0..MAX_GRANTS {
        let asked_at = state.clock.now();
        let grant = grant::acquire(state, requirements).await;
        let grant = grant.map_err(|AcquireError { refusal, retry_after }| {
            Failure::unsent(refusal, retry_after)
        })?;
        let server = grant.server().cloned();
        let server = server.ok_or_else(|| Failure::unsent(Refusal::NoServer, None))?;
        let backoff_until = server.notice().backoff_until(state.sender, state.clock.now());
        if !server.is_leaving() && backoff_until.is_none() {
            return Ok((grant, server));
        }
        info!(state.log, "server wants no more requests since its slot was granted; returning it";
            "request" => requirements.id, "server" => %server.identity.name,
            "leaving" => server.is_leaving());
        state.returned_grants.fetch_add(1, Ordering::Relaxed);
        let waited = state.clock.now().since(asked_at);
        requirements.time = requirements.time.after(waited);
        requirements.customer = None;
    }
    Err(Failure::unsent(Refusal::NoServer, None))
}

/// Whether a request may be served by this server. Checked again right before a request is sent, as
/// other hosts may disagree about the region of a server.
fn is_in_homes(state: &Shared, homes: Homes<'_>, server: &Server) -> bool {
    let region = state.settings.topology.region_name(server.location.region);
    region.is_some_and(|region| homes.allows(region))
}

/// Logs and counts a slot of a server that is outside the home regions of the request's route.
fn report_outside_homes(state: &Shared, call: &Call<'_>, grant: &Grant, server: &Server) {
    let topology = &state.settings.topology;
    state.outside_homes.fetch_add(1, Ordering::Relaxed);
    warn!(state.log, "slot granted outside the home regions of the route; refusing the request";
        "request" => call.id, "route" => &*call.route.name, "service" => %call.service,
        "server" => %server.identity.name, "incarnation" => server.identity.incarnation,
        "zone" => topology.zone_name(server.location.zone).map(|zone| zone.as_str()),
        "arbiter" => grant.arbiter().unwrap_or(&state.settings.host).as_str(),
        "borrowed" => server.location.region != state.settings.region, "leaving" => server.is_leaving(),
        "version" => state.snapshot().table.as_ref().map(|table| table.version));
}

impl Failure {
    fn unsent(refusal: Refusal, retry_after: Option<Duration>) -> Failure {
        Failure { refusal, outcome: Outcome::NotRun, server: None, answer: None, retry_after }
    }

    fn sent(refusal: Refusal, server: &Server) -> Failure {
        let name = server.identity.name.clone();
        let outcome = Outcome::Unknown;
        Failure { refusal, outcome, server: Some(name), answer: None, retry_after: None }
    }
}

type Received = (http::response::Parts, Collected);

/// Sends the request and reads the start of the response. An error says whether the request may
/// have run.
async fn exchange(
    state: &Shared,
    call: &Call<'_>,
    outbound: &mut OutboundRequest,
    server: &Server,
    remaining: Duration,
) -> Result<Received, (Refusal, Outcome)> {
    let broken = (Refusal::Broken, Outcome::Unknown);
    let headers = &mut outbound.head_mut().headers;
    headers.insert(state.names.time_left.clone(), names::value(&remaining.as_millis().to_string()));
    let target = names::value(server.identity.name.as_str());
    headers.insert(state.names.target_server.clone(), target);
    let request = outbound.send_to(server.address).ok_or((Refusal::Broken, Outcome::NotRun))?;
    let client = match call.route.repeat {
        Repeat::Idempotent => &state.pooled_client,
        Repeat::Forbidden => &state.single_use_client,
    };
    let answer = client.send(request).await.map_err(|error| match error {
        client::Error::Connect(_) => (Refusal::Unreachable, Outcome::NotRun),
        client::Error::RequestBody(RequestBody::TooLong) => (Refusal::TooLarge, Outcome::Unknown),
        client::Error::RequestBody(RequestBody::Broken) => (Refusal::Malformed, Outcome::Unknown),
        client::Error::Broken(_) | client::Error::TimedOut => broken,
    })?;
    let (head, body) = answer.into_parts();
    let is_refusal = head.headers.contains_key(&state.names.not_run);
    // A response to an earlier request on the same connection is discarded. Only a server that
    // rejects a request may leave out its ID, and only on a connection that has no earlier request.
    let is_own = match head.headers.get(&state.names.request_id) {
        Some(id) => id.as_bytes() == call.id.as_bytes(),
        None => is_refusal && call.route.repeat == Repeat::Forbidden,
    };
    if !is_own {
        return Err(broken);
    }
    notice::observe(state, call, server, &head);
    if is_refusal || head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err((Refusal::Shed, Outcome::NotRun));
    }
    if head.status.is_success() && !head.headers.contains_key(&state.names.seal) {
        return Err(broken);
    }
    let collected = body::collect_up_to(body, MAX_READ_AHEAD_BYTES).await;
    let collected = collected.map_err(|_| broken)?;
    Ok((head, collected))
}

fn answer(
    state: &Shared,
    call: &Call<'_>,
    mut head: http::response::Parts,
    collected: Collected,
    grant: Grant,
) -> Answer {
    names::strip_hop_by_hop(&mut head.headers);
    names::strip_internal(&mut head.headers);
    let body = match collected {
        Collected::Complete(bytes) => Body::from(bytes),
        Collected::Partial(first, rest) => {
            let (body, flow) = Body::flowing(first, rest);
            pass_on(state, call, flow, grant);
            body
        }
    };
    Response::from_parts(head, body)
}

/// Passes the rest of a body on until the client stops waiting. The slot is released with the
/// connection to the server, whatever the client reads.
fn pass_on(state: &Shared, call: &Call<'_>, flow: Flow, grant: Grant) {
    let remaining = call.client_deadline.remaining(state.clock.now()).unwrap_or_default();
    let limit = remaining.saturating_add(DEADLINE_MARGIN);
    let server = grant.server().map(|server| server.identity.name.clone());
    let (log, id) = (state.log.clone(), call.id.to_owned());
    tokio::spawn(async move {
        if let Err(error) = flow.run(grant, limit).await {
            warn!(log, "body not complete; aborting the response"; "request" => id,
                "server" => server.map(|server| server.to_string()), "reason" => %error);
        }
    });
}

/// Releases a slot after a delay that grows with the server's consecutive failures. Without it, a
/// server that fails immediately would look idle and attract more requests than a healthy one.
fn release_after_backoff(grant: Grant, server: &Server) {
    let backoff = (FAILURE_BACKOFF * server.failures().max(1)).min(MAX_FAILURE_BACKOFF);
    tokio::spawn(async move {
        tokio::time::sleep(backoff).await;
        drop(grant);
    });
}
