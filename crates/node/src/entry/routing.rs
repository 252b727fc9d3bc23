//! The first hop of a request: chooses its region and forwards it to the dispatching host.

use http::Response;
use oleanderspan::{
    entry::Host,
    prelude::*,
    region,
    request::{Refusal, Repeat},
    service,
    snapshot::Link,
};

use crate::{
    entry::{
        dispatch::{self, Answer, Call},
        outbound::OutboundRequest,
        refusal,
        state::{Shared, Snapshot},
    },
    http::{Body, Meter, client, header as names},
};

/// The initial delay before the dispatcher is looked up again in a newer snapshot.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The maximum delay between look-ups; after a change, hosts agree again within about one exchange.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);

/// Forwards a request to its dispatcher, on this host or another one, and returns the answer.
///
/// A request that its region refuses spills over to another region if the cap permits.
pub async fn route(
    state: &Shared,
    snapshot: Arc<Snapshot>,
    mut call: Call<'_>,
    outbound: &mut OutboundRequest,
) -> Result<Answer, Refusal> {
    let refusal = match send_to_region(state, snapshot, call, outbound).await {
        Ok(answer) => return Ok(answer),
        Err(refusal) => refusal,
    };
    let snapshot = state.snapshot().ok_or(Refusal::NotReady)?;
    let now = state.clock.now();
    record_backpressure(&snapshot, call, refusal, now);
    if !can_spill(refusal) || !outbound.can_send() || call.time_left(now).is_err() {
        return Err(refusal);
    }
    let spill_region = snapshot.spill_region(call.service, call.origin, Some(call.region), now);
    let Some(spill_region) = spill_region else { return Err(refusal) };
    call.region = spill_region;
    let answered = send_to_region(state, Arc::clone(&snapshot), call, outbound).await;
    if let Err(refusal) = &answered {
        record_backpressure(&snapshot, call, *refusal, state.clock.now());
    }
    answered
}

/// Chooses the region for the next request of a caller who belongs to `origin`. Fails with
/// [`Refusal::Capped`] if no region can take it.
pub fn choose_region(
    snapshot: &Snapshot,
    service: service::Index,
    origin: region::Index,
    now: Instant,
) -> Result<region::Index, Refusal> {
    snapshot
        .next_region(service, origin)
        .or_else(|| snapshot.spill_region(service, origin, None, now))
        .ok_or(Refusal::Capped)
}

/// Whether another region may serve a request after this refusal. With each of these refusals the
/// request provably did not run.
fn can_spill(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Capped
            | Refusal::Overloaded
            | Refusal::NoServer
            | Refusal::LinkFull
            | Refusal::Unreachable
    )
}

fn record_backpressure(snapshot: &Snapshot, call: Call<'_>, refusal: Refusal, now: Instant) {
    if matches!(refusal, Refusal::Overloaded | Refusal::NoServer) {
        snapshot.backpressure(call.service, call.region).record_refusal(now);
    }
}

/// Sends a request to the dispatcher of its region, and retries while hosts disagree about which
/// host that is.
async fn send_to_region(
    state: &Shared,
    mut snapshot: Arc<Snapshot>,
    call: Call<'_>,
    outbound: &mut OutboundRequest,
) -> Result<Answer, Refusal> {
    // The time to wait for hosts to agree is the same as for a slot.
    let queue_timeout = snapshot.service_definition(call.service).limits.queue_timeout;
    let retry_until = state.clock.now() + queue_timeout;
    let mut delay = MIN_RETRY_DELAY;
    loop {
        if snapshot.is_failed(call.service, call.region) {
            return Err(Refusal::Capped);
        }
        let refusal = match send_to_dispatcher(state, &snapshot, call, outbound).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let now = state.clock.now();
        let is_dispatcher_error = matches!(refusal, Refusal::Misdirected | Refusal::NotReady)
            || refusal == Refusal::Unreachable && !dispatches_here(&snapshot, call);
        if !is_dispatcher_error || !outbound.can_send() || now + delay >= retry_until {
            return Err(refusal);
        }
        call.time_left(now + delay)?;
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
        snapshot = state.snapshot().ok_or(Refusal::NotReady)?;
    }
}

fn dispatches_here(snapshot: &Snapshot, call: Call<'_>) -> bool {
    snapshot.dispatcher(call.service, call.region).is_some_and(|host| snapshot.is_own(host))
}

async fn send_to_dispatcher(
    state: &Shared,
    snapshot: &Snapshot,
    call: Call<'_>,
    outbound: &mut OutboundRequest,
) -> Result<Answer, Refusal> {
    let host = snapshot.dispatcher(call.service, call.region).ok_or(Refusal::NotReady)?;
    if snapshot.is_own(host) {
        dispatch::dispatch(state, snapshot, call, outbound).await
    } else {
        relay(state, snapshot, call, host, outbound).await
    }
}

async fn relay(
    state: &Shared,
    snapshot: &Snapshot,
    call: Call<'_>,
    host: &Host,
    outbound: &mut OutboundRequest,
) -> Result<Answer, Refusal> {
    let time_left = call.time_left(state.clock.now())?;
    let service = snapshot.service_definition(call.service).name.as_str();
    let region = snapshot.document.regions[usize::from(call.region.0)].name.as_str();
    let repeat = match call.repeat {
        Repeat::Idempotent => "harmless",
        Repeat::Forbidden => "forbidden",
    };
    let headers = &mut outbound.head_mut().headers;
    headers.insert(names::SERVICE, names::value(service));
    headers.insert(names::REGION, names::value(region));
    headers.insert(names::REPEAT, names::value(repeat));
    headers.insert(names::TIMEOUT_MS, names::value(&time_left.as_millis().to_string()));
    let link = snapshot.link(host.region);
    if let Some(link) = link {
        charge_link(link, outbound, state.clock.now())?;
    }
    let request = outbound.send_to(host.relay_address).ok_or(Refusal::Broken)?;
    match tokio::time::timeout(time_left, state.peers.send(request)).await {
        Ok(Ok(answer)) => match refusal::parse(answer.headers()) {
            Some(refusal) => Err(refusal),
            None => {
                let (mut head, body) = answer.into_parts();
                names::strip_hop_by_hop(&mut head.headers);
                let body = match link {
                    Some(link) => Body::metered(body, Meter::new(link, state.clock)),
                    None => Body::stream(body),
                };
                Ok(Response::from_parts(head, body))
            }
        },
        Ok(Err(client::Error::Connect(_))) => Err(Refusal::Unreachable),
        Ok(Err(_)) => Err(Refusal::Broken),
        Err(_) => Err(Refusal::TimedOut),
    }
}

/// Charges the bandwidth budget of a link for a request. Answers are charged as they arrive.
fn charge_link(link: &Link, outbound: &OutboundRequest, now: Instant) -> Result<(), Refusal> {
    if !link.answers.has_credit(now) {
        return Err(Refusal::LinkFull);
    }
    link.requests.try_spend(outbound.known_bytes(), now).map_err(|_| Refusal::LinkFull)
}
