//! Dispatch of a request to a backend server: acquires a slot, sends the request, and determines
//! from the answer whether it ran.

use std::pin::pin;

use futures_util::future::Either;
use http::{Response, header};
use hyper::body::{Body as _, Incoming};
use oleanderspan::{
    backend::Server,
    entry::membership::jitter,
    event::Kind,
    prelude::*,
    region::{self, handover},
    request::{Outcome, Refusal, Repeat, retry::Deadline},
    service,
};
use slog::debug;

use crate::{
    clock::ThreadRandom,
    entry::{
        health,
        outbound::OutboundRequest,
        slot::{self, Lease},
        state::{Shared, Snapshot},
    },
    http::{Body, client, header as names},
};

/// The maximum number of attempts per request and region; a retry after the server shed the
/// request may exceed it.
const MAX_ATTEMPTS: u32 = 3;

/// The mean time that a slot stays occupied after its server shed a request.
const SHED_HOLD: Duration = Duration::from_millis(250);

/// The delay before a hedged read is sent to a second server, in multiples of the pool's typical
/// latency.
const HEDGE_FACTOR: u32 = 20;

/// The minimum hedge delay; a healthy server answers a health probe within this time.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1_200);

/// The routing information of a request.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The request id, as in the `x-request-id` header.
    pub id: &'a str,
    /// The service that the request is addressed to.
    pub service: service::Index,
    /// The region that the caller belongs to.
    pub origin: region::Index,
    /// The region chosen to serve the request.
    pub region: region::Index,
    /// Whether the request is idempotent.
    pub repeat: Repeat,
    /// The time by which the answer must have begun.
    pub deadline: Deadline,
}

impl Call<'_> {
    /// Whether the request may be sent again after `refusal`.
    pub fn may_repeat_after(&self, refusal: Refusal) -> bool {
        refusal.outcome() == Outcome::NotRun || self.repeat == Repeat::Idempotent
    }

    /// The time left until the deadline. Fails with [`Refusal::Expired`], which states that the
    /// request did not run.
    pub fn time_left(&self, now: Instant) -> Result<Duration, Refusal> {
        self.deadline.remaining(now).ok_or(Refusal::Expired)
    }
}

/// An answer that holds the slot of its server until its body has ended.
pub type Answer = Response<Body<Lease>>;

/// Sends a request to a backend server of its region, and again if the failed attempt provably did
/// not run or the request is idempotent.
pub async fn dispatch(
    state: &Shared,
    snapshot: &Snapshot,
    call: Call<'_>,
    outbound: &mut OutboundRequest,
) -> Result<Answer, Refusal> {
    snapshot.retries(call.service).record_first_attempt();
    let mut attempts = 1;
    let mut outcome = Outcome::NotRun;
    let queue_timeout = snapshot.service_definition(call.service).limits.queue_timeout;
    let retry_until = state.clock.now() + queue_timeout;
    loop {
        let refusal = match attempt(state, snapshot, call, outbound).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        outcome = outcome.combine(refusal.outcome());
        let is_repeatable = call.may_repeat_after(refusal) && outbound.can_send();
        let can_retry = match refusal {
            _ if !is_repeatable => false,
            // A shed request returns to the queue. Its slot stays occupied for a while, which
            // limits how often this happens.
            Refusal::Shed => state.clock.now() < retry_until,
            Refusal::Unreachable | Refusal::Broken => {
                attempts < MAX_ATTEMPTS && snapshot.retries(call.service).try_spend()
            }
            _ => false,
        };
        if !can_retry {
            // If an earlier attempt may have run, the outcome is unknown even if the last attempt
            // did not run.
            return Err(if outcome == refusal.outcome() { refusal } else { Refusal::Broken });
        }
        attempts += 1;
        debug!(state.log, "retry"; "request" => call.id, "refusal" => refusal.as_str());
    }
}

async fn attempt(
    state: &Shared,
    snapshot: &Snapshot,
    call: Call<'_>,
    outbound: &mut OutboundRequest,
) -> Result<Answer, Refusal> {
    let pool = snapshot.pool(call.service, call.region);
    let queue_timeout = snapshot.service_definition(call.service).limits.queue_timeout;
    // Waiting for a takeover of dispatch is not overload, so it is added to the queue timeout.
    let takeover_hold = if pool.is_held() { handover::MAX_HOLD } else { Duration::ZERO };
    let wait = call.time_left(state.clock.now())?.min(queue_timeout + takeover_hold);
    let lease = slot::acquire(pool, state.clock, wait).await?;
    let server = lease.server().cloned().ok_or(Refusal::NoServer)?;
    let first = send(state, snapshot, call, outbound, lease)?;
    if call.repeat == Repeat::Forbidden || !outbound.can_send() {
        return first.await;
    }
    hedge(state, snapshot, call, outbound, first, &server).await
}

/// Waits for the answer to an idempotent request, and sends it to a second server as well if the
/// first appears to be frozen. The first answer wins; dropping the other future cancels its
/// request.
async fn hedge(
    state: &Shared,
    snapshot: &Snapshot,
    call: Call<'_>,
    outbound: &mut OutboundRequest,
    first: impl Future<Output = Result<Answer, Refusal>>,
    server: &Server,
) -> Result<Answer, Refusal> {
    let pool = snapshot.pool(call.service, call.region);
    snapshot.hedges(call.service).record_first_attempt();
    let sent_at = state.clock.now();
    let mut first = pin!(first);
    let delay = (pool.typical_latency() * HEDGE_FACTOR).max(MIN_HEDGE_DELAY);
    if let Ok(answered) = tokio::time::timeout(delay, &mut first).await {
        return answered;
    }
    // A server that answers other requests is not frozen. This request takes long by itself, and a
    // second one would only occupy another slot for as long.
    if server.has_answered_since(sent_at) {
        return first.await;
    }
    if !server.is_suspect() {
        server.suspect();
        state.record(Kind::ServerSuspect, server.identity.name.as_str(), "it answers nothing");
    }
    if !snapshot.hedges(call.service).try_spend() {
        return first.await;
    }
    let Some(lease) = slot::try_acquire_other(pool, state.clock, server) else {
        return first.await;
    };
    debug!(state.log, "hedge"; "request" => call.id, "server" => %server.identity.name);
    let mut second = pin!(send(state, snapshot, call, outbound, lease)?);
    let (answered, other) = tokio::select! {
        answered = &mut first => (answered, Either::Right(second)),
        answered = &mut second => (answered, Either::Left(first)),
    };
    match answered {
        Ok(answer) => Ok(answer),
        Err(refusal) => other.await.map_err(|later| less_certain(refusal, later)),
    }
}

/// Returns the refusal that leaves the outcome unknown, if either does.
fn less_certain(one: Refusal, other: Refusal) -> Refusal {
    if one.outcome() == Outcome::Unknown { one } else { other }
}

/// Prepares the request for the server of `lease`; the returned future sends it and classifies the
/// answer.
fn send<'a>(
    state: &'a Shared,
    snapshot: &'a Snapshot,
    call: Call<'_>,
    outbound: &mut OutboundRequest,
    lease: Lease,
) -> Result<impl Future<Output = Result<Answer, Refusal>> + use<'a>, Refusal> {
    let server = lease.server().cloned().ok_or(Refusal::NoServer)?;
    let time_left = call.time_left(state.clock.now())?;
    let headers = &mut outbound.head_mut().headers;
    headers.insert(names::TIMEOUT_MS, names::value(&time_left.as_millis().to_string()));
    let request = outbound.send_to(server.address).ok_or(Refusal::Broken)?;
    let pool = snapshot.pool(call.service, call.region);
    Ok(async move {
        let sent_at = state.clock.now();
        let answered = tokio::time::timeout(time_left, state.servers.send(request)).await;
        let answer = answered.map_err(|_| Refusal::TimedOut).and_then(|sent| {
            sent.map_err(|error| match error {
                client::Error::Connect(_) => Refusal::Unreachable,
                _ => Refusal::Broken,
            })
        });
        let answer = answer.inspect_err(|_| server.observe_failure())?;
        let now = state.clock.now();
        server.record_answer(now);
        check_leaving(state, &server, &answer);
        if names::text(answer.headers(), &names::OUTCOME) == Some(Outcome::NotRun.as_str()) {
            release_later(lease);
            return Err(Refusal::Shed);
        }
        if is_unframed(&answer) {
            server.observe_failure();
            return Err(Refusal::Unframed);
        }
        pool.observe(&server, now.since(sent_at));
        Ok(into_answer(answer, lease))
    })
}

/// Keeps a slot occupied for a while after its server reported that it had no free slot: another
/// host, such as the previous dispatcher, has requests there.
fn release_later(lease: Lease) {
    tokio::spawn(async move {
        tokio::time::sleep(jitter(SHED_HOLD, &mut ThreadRandom)).await;
        drop(lease);
    });
}

/// Whether the body would only be ended by closing the connection, which cannot be told apart from
/// a truncated body.
fn is_unframed(answer: &Response<Incoming>) -> bool {
    let body = answer.body();
    !body.is_end_stream()
        && body.size_hint().exact().is_none()
        && !answer.headers().contains_key(header::TRANSFER_ENCODING)
}

fn check_leaving(state: &Shared, server: &Server, answer: &Response<Incoming>) {
    if answer.headers().contains_key(names::LEAVING) {
        health::report_leaving(state, server);
    }
}

fn into_answer(answer: Response<Incoming>, lease: Lease) -> Answer {
    let (mut head, body) = answer.into_parts();
    names::strip_hop_by_hop(&mut head.headers);
    names::strip_internal(&mut head.headers);
    head.headers.insert(names::OUTCOME, names::value(Outcome::Done.as_str()));
    Response::from_parts(head, Body::guarded(body, lease))
}
