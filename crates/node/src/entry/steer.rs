//! The first hop: which region serves a request, and which host dispatches it there.

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
        parcel::Parcel,
        refusal,
        state::{Shared, Snapshot},
    },
    http::{Body, Meter, client, header as names},
};

/// The first wait before the snapshot is read again for another dispatcher.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// The longest such wait; hosts agree again about one exchange after a change.
const LONGEST_PAUSE: Duration = Duration::from_millis(320);

/// Brings a request to its dispatcher, here or on another host, and its answer back.
///
/// A request that the region refuses goes to another one if the cap leaves room for that.
pub async fn steer(
    state: &Shared,
    snapshot: Arc<Snapshot>,
    mut call: Call<'_>,
    parcel: &mut Parcel,
) -> Result<Answer, Refusal> {
    let refusal = match reach(state, snapshot, call, parcel).await {
        Ok(answer) => return Ok(answer),
        Err(refusal) => refusal,
    };
    let snapshot = state.snapshot().ok_or(Refusal::NotReady)?;
    let now = state.clock.now();
    note_pressure(&snapshot, call, refusal, now);
    if !may_spill(refusal) || !parcel.can_send() || call.left(now).is_err() {
        return Err(refusal);
    }
    let other = snapshot.spill_region(call.service, call.origin, Some(call.region), now);
    let Some(other) = other else { return Err(refusal) };
    call.region = other;
    let answered = reach(state, Arc::clone(&snapshot), call, parcel).await;
    if let Err(refusal) = &answered {
        note_pressure(&snapshot, call, *refusal, state.clock.now());
    }
    answered
}

/// Chooses the region for the next request of callers who belong to `origin`.
pub fn choose(
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

/// Whether another region may do what this one refused; none of these requests has run.
fn may_spill(refusal: Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Capped
            | Refusal::Overloaded
            | Refusal::NoServer
            | Refusal::LinkFull
            | Refusal::Unreachable
    )
}

fn note_pressure(snapshot: &Snapshot, call: Call<'_>, refusal: Refusal, now: Instant) {
    if matches!(refusal, Refusal::Overloaded | Refusal::NoServer) {
        snapshot.pressure(call.service, call.region).record_refusal(now);
    }
}

/// Brings a request to the dispatcher of its region, and again while hosts disagree who that is.
async fn reach(
    state: &Shared,
    mut snapshot: Arc<Snapshot>,
    call: Call<'_>,
    parcel: &mut Parcel,
) -> Result<Answer, Refusal> {
    // A request waits for hosts to agree as long as it would wait for a slot.
    let patience = snapshot.service_definition(call.service).limits.queue_timeout;
    let give_up = state.clock.now() + patience;
    let mut pause = FIRST_PAUSE;
    loop {
        if snapshot.is_failed(call.service, call.region) {
            return Err(Refusal::Capped);
        }
        let refusal = match hop(state, &snapshot, call, parcel).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let now = state.clock.now();
        let is_of_hop = matches!(refusal, Refusal::Misdirected | Refusal::NotReady)
            || refusal == Refusal::Unreachable && !dispatches_here(&snapshot, call);
        if !is_of_hop || !parcel.can_send() || now + pause >= give_up {
            return Err(refusal);
        }
        call.left(now + pause)?;
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        snapshot = state.snapshot().ok_or(Refusal::NotReady)?;
    }
}

fn dispatches_here(snapshot: &Snapshot, call: Call<'_>) -> bool {
    snapshot.dispatcher(call.service, call.region).is_some_and(|host| snapshot.is_own(host))
}

async fn hop(
    state: &Shared,
    snapshot: &Snapshot,
    call: Call<'_>,
    parcel: &mut Parcel,
) -> Result<Answer, Refusal> {
    let host = snapshot.dispatcher(call.service, call.region).ok_or(Refusal::NotReady)?;
    if snapshot.is_own(host) {
        dispatch::dispatch(state, snapshot, call, parcel).await
    } else {
        relay(state, snapshot, call, host, parcel).await
    }
}

async fn relay(
    state: &Shared,
    snapshot: &Snapshot,
    call: Call<'_>,
    host: &Host,
    parcel: &mut Parcel,
) -> Result<Answer, Refusal> {
    let left = call.left(state.clock.now())?;
    let service = snapshot.service_definition(call.service).name.as_str();
    let region = snapshot.draft.regions[usize::from(call.region.0)].name.as_str();
    let repeat = match call.repeat {
        Repeat::Idempotent => "harmless",
        Repeat::Forbidden => "forbidden",
    };
    let headers = &mut parcel.head_mut().headers;
    headers.insert(names::SERVICE, names::value(service));
    headers.insert(names::REGION, names::value(region));
    headers.insert(names::REPEAT, names::value(repeat));
    headers.insert(names::TIMEOUT_MS, names::value(&left.as_millis().to_string()));
    let link = snapshot.link(host.region);
    if let Some(link) = link {
        admit(link, parcel, state.clock.now())?;
    }
    let request = parcel.send_to(host.relay_address).ok_or(Refusal::Broken)?;
    match tokio::time::timeout(left, state.peers.send(request)).await {
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

/// Spends the budget of a link for a request; answers spend theirs as they come back.
fn admit(link: &Link, parcel: &Parcel, now: Instant) -> Result<(), Refusal> {
    if !link.answers.has_credit(now) {
        return Err(Refusal::LinkFull);
    }
    link.requests.try_spend(parcel.bytes(), now).map_err(|_| Refusal::LinkFull)
}
