//! The first hop: which region serves a request, and which host dispatches it there.

use http::Response;
use oleanderspan::{
    entry::Host,
    request::{Refusal, Repeat},
};

use oleanderspan::prelude::*;

use crate::{
    entry::{
        dispatch::{self, Answer, Call},
        parcel::Parcel,
        refusal,
        state::{Shared, Snapshot},
    },
    http::{Body, client, header as names},
};

/// The first wait before the snapshot is read again for another dispatcher.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// The longest such wait; hosts agree again about one exchange after a change.
const LONGEST_PAUSE: Duration = Duration::from_millis(320);

/// Brings a request to its dispatcher, here or on another host, and its answer back.
pub async fn steer(
    state: &Shared,
    mut snapshot: Arc<Snapshot>,
    call: Call<'_>,
    parcel: &mut Parcel,
) -> Result<Answer, Refusal> {
    // A request waits for hosts to agree as long as it would wait for a slot.
    let patience = snapshot.described(call.service).limits.queue_timeout;
    let give_up = state.clock.now() + patience;
    let mut pause = FIRST_PAUSE;
    loop {
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
    let service = snapshot.described(call.service).name.as_str();
    let region = snapshot.draft.regions[usize::from(call.region.0)].name.as_str();
    let repeat = match call.repeat {
        Repeat::Harmless => "harmless",
        Repeat::Forbidden => "forbidden",
    };
    let headers = &mut parcel.head_mut().headers;
    headers.insert(names::SERVICE, names::value(service));
    headers.insert(names::REGION, names::value(region));
    headers.insert(names::REPEAT, names::value(repeat));
    headers.insert(names::TIMEOUT_MS, names::value(&left.as_millis().to_string()));
    let request = parcel.send_to(host.relay_address).ok_or(Refusal::Broken)?;
    match tokio::time::timeout(left, state.peers.send(request)).await {
        Ok(Ok(answer)) => match refusal::parse(answer.headers()) {
            Some(refusal) => Err(refusal),
            None => {
                let (mut head, body) = answer.into_parts();
                names::strip_hop_by_hop(&mut head.headers);
                Ok(Response::from_parts(head, Body::stream(body)))
            }
        },
        Ok(Err(client::Error::Connect(_))) => Err(Refusal::Unreachable),
        Ok(Err(_)) => Err(Refusal::Broken),
        Err(_) => Err(Refusal::TimedOut),
    }
}
