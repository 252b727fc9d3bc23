//! The last hop: a slot of a backend server, the request, and what its answer proves.

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
    clock::Entropy,
    entry::{
        health,
        outbound::OutboundRequest,
        slot::{self, Lease},
        state::{Shared, Snapshot},
    },
    http::{Body, client, header as names},
};

/// The most attempts of one request in one region.
const MAX_ATTEMPTS: u32 = 3;

/// The mean time that a slot counts as taken after its server shed a request.
const SHED_HOLD: Duration = Duration::from_millis(250);

/// The time after which a read whose server seems frozen goes to another as well, in multiples
/// of the pool's typical latency.
const HEDGE_FACTOR: u32 = 20;

/// The least such time; a sound server answers a question about its health meanwhile.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1_200);

/// What a hop has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The identity of the request.
    pub id: &'a str,
    /// The service.
    pub service: service::Index,
    /// The region that the caller belongs to.
    pub origin: region::Index,
    /// The region that shall serve it.
    pub region: region::Index,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// When its answer must have begun.
    pub deadline: Deadline,
}

impl Call<'_> {
    /// Whether the request may be sent once more after `refusal`.
    pub fn may_repeat_after(&self, refusal: Refusal) -> bool {
        refusal.outcome() == Outcome::NotRun || self.repeat == Repeat::Idempotent
    }

    /// The time left, or a refusal that proves that nothing was sent.
    pub fn time_left(&self, now: Instant) -> Result<Duration, Refusal> {
        self.deadline.remaining(now).ok_or(Refusal::Expired)
    }
}

/// An answer that holds the slot until its body has ended.
pub type Answer = Response<Body<Lease>>;

/// Sends a request to a backend server of the region, can_retry to another where that is safe.
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
            // A shed request goes back to the queue; the slot that is held bounds how often.
            Refusal::Shed => state.clock.now() < retry_until,
            Refusal::Unreachable | Refusal::Broken => {
                attempts < MAX_ATTEMPTS && snapshot.retries(call.service).try_spend()
            }
            _ => false,
        };
        if !can_retry {
            // An earlier attempt that may have run outweighs a later one that did not.
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
    // A takeover of dispatch is no overload: its hold does not count against the queue.
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

/// Waits for the answer of a read, and sends it to another server as well if the first one seems
/// frozen; the first answer wins, and the other request is cancelled with its future.
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
    // A server that answers others is not frozen: the request is long by itself, and a second
    // one would only take another slot for as long.
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

/// Of two refusals of one request the one that proves less.
fn less_certain(one: Refusal, other: Refusal) -> Refusal {
    if one.outcome() == Outcome::Unknown { one } else { other }
}

/// Prepares the request to the server of a lease; the answer proves what became of it.
fn send<'a>(
    state: &'a Shared,
    snapshot: &'a Snapshot,
    call: Call<'_>,
    outbound: &mut OutboundRequest,
    lease: Lease,
) -> Result<impl Future<Output = Result<Answer, Refusal>> + use<'a>, Refusal> {
    let server = lease.server().cloned().ok_or(Refusal::NoServer)?;
    let left = call.time_left(state.clock.now())?;
    let headers = &mut outbound.head_mut().headers;
    headers.insert(names::TIMEOUT_MS, names::value(&left.as_millis().to_string()));
    let request = outbound.send_to(server.address).ok_or(Refusal::Broken)?;
    let pool = snapshot.pool(call.service, call.region);
    Ok(async move {
        let sent_at = state.clock.now();
        let answered = tokio::time::timeout(left, state.servers.send(request)).await;
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

/// Keeps a slot taken for a while whose server said that it had none free: somebody else has
/// requests there, the last dispatching host for example.
fn release_later(lease: Lease) {
    tokio::spawn(async move {
        tokio::time::sleep(jitter(SHED_HOLD, &mut Entropy)).await;
        drop(lease);
    });
}

/// Whether only the end of the connection would end the body; a cut would look the same.
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
