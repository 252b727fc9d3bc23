//! The way of a request to a backend server, and again to another one where that is safe.

use http::{Response, StatusCode};
use hyper::body::Incoming;
use oleanderspan::{
    backend::{self, Object, ReuseDistance, Server, pool::Criteria},
    prelude::*,
    request::{Outcome, Refusal, Repeat, admission::TimeLeft, retry::Deadline},
    route::Route,
    service,
};
use slog::{debug, info};

use crate::{
    entry::outbound::OutboundRequest,
    gateway::{
        grant::{self, Grant, Want},
        slots::Refused,
        state::Shared,
    },
    http::{
        Body,
        body::{self, Collected},
        client, header as names,
    },
};

/// The largest part of an answer that is read before any of it is passed on, in bytes. An answer
/// that breaks off within it can still be asked for again.
const MAX_READ_AHEAD: usize = 64 << 10;

/// The most servers that may turn a request away before it is refused.
const MAX_TURNS: u32 = 3;

/// How much later than the server's the own deadline is, so that the server's answer arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(40);

/// How long a slot stays taken after its server turned a request away or failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// The longest such pause of a server that fails again and again.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);

/// An answer that holds the slot until its body has ended.
pub type Answer = Response<Body<Grant>>;

/// A request on its way.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Its identity.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service that it was split to.
    pub service: &'a service::Name,
    /// The object that it is about, if that matters.
    pub object: Option<Object>,
    /// When it is late.
    pub objective: Deadline,
    /// When nobody waits for an answer any more.
    pub deadline: Deadline,
}

/// Why a request ended without the answer of a server.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// The reason.
    pub refusal: Refusal,
    /// What is known of its effect, over all attempts.
    pub outcome: Outcome,
    /// When the client may come back.
    pub retry_after: Option<Duration>,
    /// How often it was sent to a server.
    pub attempts: u32,
}

impl Ended {
    /// A request that was never sent to a server.
    pub fn refused(refusal: Refusal) -> Ended {
        Ended { refusal, outcome: Outcome::NotRun, retry_after: refusal.retry_after(), attempts: 0 }
    }

    /// The status for the client: 503 promises that the request has not run.
    pub fn status(&self) -> u16 {
        match (self.outcome, self.refusal.status()) {
            (Outcome::NotRun, status @ 400..=499) if status != 409 => status,
            (Outcome::NotRun, _) => 503,
            (_, 504) => 504,
            _ => 502,
        }
    }
}

/// How an attempt ended that gave no answer to pass on.
#[derive(Debug)]
struct Failure {
    refusal: Refusal,
    outcome: Outcome,
    /// The server, to ask another one next time.
    server: Option<backend::Name>,
    /// The server's own failure, passed on if no other server may be asked.
    answer: Option<Answer>,
    retry_after: Option<Duration>,
}

/// Sends a request to a server, and to another one after a failure if that is safe and allowed.
pub async fn forward(
    state: &Shared,
    call: &Call<'_>,
    parcel: &mut OutboundRequest,
) -> Result<Answer, Ended> {
    let budget = state.snapshot().budget(call.service).map(Arc::clone);
    if let Some(budget) = &budget {
        budget.record_first_attempt();
    }
    let mut outcome = Outcome::NotRun;
    let (mut attempts, mut runs) = (0, 0);
    let mut not = None;
    let mut answered = None;
    loop {
        let failure = match attempt(state, call, parcel, not.clone()).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        outcome = outcome.combine(failure.outcome);
        attempts += u32::from(failure.server.is_some());
        runs += u32::from(failure.outcome == Outcome::Unknown);
        let is_safe = outcome == Outcome::NotRun || call.route.repeat == Repeat::Idempotent;
        let has_time = call.deadline.remaining(state.clock.now()).is_some();
        let again = failure.server.is_some()
            && is_safe
            && has_time
            && parcel.can_send()
            && runs < call.route.max_attempts
            && attempts <= MAX_TURNS
            && budget.as_ref().is_some_and(|budget| budget.try_spend());
        if let Some(server) = &failure.server {
            info!(state.log, "attempt failed"; "request" => call.id, "attempt" => attempts,
                "service" => %call.service, "refusal" => failure.refusal.as_str(),
                "server" => %server, "again" => again);
        }
        // The failure of a server is an answer, and is delivered if no other server gave one.
        answered = failure.answer.or(answered);
        if !again {
            if let Some(answer) = answered {
                return Ok(answer);
            }
            let retry_after = failure.retry_after.or(failure.refusal.retry_after());
            return Err(Ended { refusal: failure.refusal, outcome, retry_after, attempts });
        }
        not = failure.server;
    }
}

async fn attempt(
    state: &Shared,
    call: &Call<'_>,
    parcel: &mut OutboundRequest,
    not: Option<backend::Name>,
) -> Result<Answer, Failure> {
    let now = state.clock.now();
    let region = state.snapshot().region(&state.settings, call.route, call.service);
    let region = region.ok_or_else(|| Failure::unsent(Refusal::NoServer, None))?;
    let time = TimeLeft {
        objective: call.objective.remaining(now).unwrap_or_default(),
        deadline: call.deadline.remaining(now).unwrap_or_default(),
    };
    let want = Want {
        id: call.id,
        service: call.service,
        region,
        priority: call.route.priority,
        time,
        wish: Criteria {
            object: call.object,
            excluded: not,
            is_bound: !call.route.homes.is_empty(),
        },
    };
    let grant = grant::acquire(state, &want).await;
    let grant =
        grant.map_err(|Refused { refusal, retry_after }| Failure::unsent(refusal, retry_after))?;
    let server = grant.server().cloned();
    let server = server.ok_or_else(|| Failure::unsent(Refusal::NoServer, None))?;
    let sent_at = state.clock.now();
    let left = call.deadline.remaining(sent_at);
    let left = left.ok_or_else(|| Failure::unsent(Refusal::Expired, None))?;
    let exchange = exchange(state, call, parcel, &server, left);
    match tokio::time::timeout(left + DEADLINE_MARGIN, exchange).await {
        Ok(Ok((head, collected))) => {
            let latency = state.clock.now().since(sent_at);
            grant::report(state, &want, &grant, Some(latency));
            debug!(state.log, "answered"; "request" => call.id, "service" => %call.service,
                "server" => %server.identity.name, "status" => head.status.as_u16(),
                "object" => call.object.map(Object::hash),
                "recall" => grant.recall().map(ReuseDistance::number),
                "latency_ms" => latency.as_millis());
            let is_failure = head.status.is_server_error();
            let refusal = match head.status {
                StatusCode::GATEWAY_TIMEOUT => Refusal::TimedOut,
                _ => Refusal::Broken,
            };
            let answer = answer(head, collected, grant);
            if !is_failure {
                return Ok(answer);
            }
            server.observe_failure();
            Err(Failure { answer: Some(answer), ..Failure::sent(refusal, &server) })
        }
        Ok(Err((refusal, outcome))) => {
            grant::report(state, &want, &grant, None);
            pause(grant, &server);
            Err(Failure { outcome, ..Failure::sent(refusal, &server) })
        }
        Err(_) => {
            // The server may run on for a moment; only a loss of many in a row speaks against it.
            grant::report(state, &want, &grant, None);
            Err(Failure::sent(Refusal::TimedOut, &server))
        }
    }
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

/// Sends the request and reads the answer, or tells what became of the request.
async fn exchange(
    state: &Shared,
    call: &Call<'_>,
    parcel: &mut OutboundRequest,
    server: &Server,
    left: Duration,
) -> Result<Received, (Refusal, Outcome)> {
    let broken = (Refusal::Broken, Outcome::Unknown);
    let headers = &mut parcel.head_mut().headers;
    headers.insert(state.names.time_left.clone(), names::value(&left.as_millis().to_string()));
    let target = names::value(server.identity.name.as_str());
    headers.insert(state.names.target_server.clone(), target);
    let request = parcel.send_to(server.address).ok_or((Refusal::Broken, Outcome::NotRun))?;
    let client = match call.route.repeat {
        Repeat::Idempotent => &state.kept,
        Repeat::Forbidden => &state.fresh,
    };
    let answer = client.send(request).await.map_err(|error| match error {
        client::Error::Connect(_) => (Refusal::Unreachable, Outcome::NotRun),
        client::Error::Broken(_) | client::Error::TimedOut => broken,
    })?;
    let (head, body) = answer.into_parts();
    // A late answer to an earlier request on the connection belongs to nobody. Only a server that
    // refuses a request may leave out its identity.
    let id = names::text(&head.headers, &state.names.request_id);
    let is_refusal = head.headers.contains_key(&state.names.not_run);
    if id != Some(call.id) && !(id.is_none() && is_refusal) {
        return Err(broken);
    }
    if is_refusal || head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err((Refusal::Shed, Outcome::NotRun));
    }
    if head.status.is_success() && !head.headers.contains_key(&state.names.seal) {
        return Err(broken);
    }
    let collected = collect(body).await.map_err(|_| broken)?;
    Ok((head, collected))
}

async fn collect(body: Incoming) -> Result<Collected, hyper::Error> {
    body::collect_up_to(body, MAX_READ_AHEAD).await
}

fn answer(mut head: http::response::Parts, collected: Collected, grant: Grant) -> Answer {
    names::strip_hop_by_hop(&mut head.headers);
    names::strip_internal(&mut head.headers);
    let body = match collected {
        Collected::Whole(bytes) => Body::from(bytes),
        Collected::Part(first, rest) => Body::resumed(first, rest, grant),
    };
    Response::from_parts(head, body)
}

/// Keeps a slot taken for a while, so that a server that fails at once gets no more requests
/// than one that works: it would seem to be the freest of all.
fn pause(grant: Grant, server: &Server) {
    let pause = (FAILURE_PAUSE * server.failures().max(1)).min(LONGEST_PAUSE);
    tokio::spawn(async move {
        tokio::time::sleep(pause).await;
        drop(grant);
    });
}
