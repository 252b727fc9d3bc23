//! The relay port: requests that other entry daemons forward to this host as their dispatcher.

use http::{HeaderMap, Request, request};
use hyper::body::Incoming;
use oleanderspan::{
    entry::host,
    prelude::*,
    region,
    request::{Refusal, Repeat, retry::Deadline},
    service,
};

use crate::{
    entry::{
        State,
        dispatch::{self, Answer, Call},
        outbound::{Limits, OutboundRequest},
        refusal,
        slot::Lease,
        state::Snapshot,
    },
    http::{header as names, server::Handler},
};

/// The request handler of the relay port.
#[derive(Clone, Debug)]
pub struct Relay(pub State);

impl Handler for Relay {
    type Guard = Lease;

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        let (head, body) = request.into_parts();
        let id = names::text(&head.headers, &names::REQUEST_ID).unwrap_or("-").to_owned();
        let answer = self.dispatch(&id, head, body).await;
        answer.unwrap_or_else(|refusal| refusal::response(refusal, &id, None))
    }
}

impl Relay {
    async fn dispatch(
        &self,
        id: &str,
        mut head: request::Parts,
        body: Incoming,
    ) -> Result<Answer, Refusal> {
        let state = &self.0;
        let snapshot = state.snapshot().ok_or(Refusal::NotReady)?;
        let now = state.clock.now();
        let call = call(&snapshot, id, &head.headers, now)?;
        if !dispatches(&snapshot, &call) {
            return Err(Refusal::Misdirected);
        }
        names::strip_hop_by_hop(&mut head.headers);
        names::strip_internal(&mut head.headers);
        let mut outbound =
            OutboundRequest::receive(head, body, Limits::of_time(call.time_left(now)?)).await?;
        dispatch::dispatch(state, &snapshot, call, &mut outbound).await
    }
}

/// Whether this host dispatches the call, or is leaving and may have done so before. Hosts that
/// have not yet learned of the change may have sent a body that they cannot send again.
fn dispatches(snapshot: &Snapshot, call: &Call<'_>) -> bool {
    let dispatcher = snapshot.dispatcher(call.service, call.region);
    dispatcher.is_some_and(|host| snapshot.is_own(host))
        || snapshot.own_host().is_some_and(|host| host.state == host::State::Leaving)
}

/// Reads the routing decision of the first hop. Names are resolved here, as the hosts may have
/// different documents.
fn call<'a>(
    snapshot: &Snapshot,
    id: &'a str,
    headers: &HeaderMap,
    now: Instant,
) -> Result<Call<'a>, Refusal> {
    let document = &snapshot.document;
    let name = names::text(headers, &names::SERVICE).ok_or(Refusal::Malformed)?;
    let index = document.services.iter().position(|service| service.name.as_str() == name);
    let service = index.and_then(|i| u16::try_from(i).ok()).map(service::Index);
    let name = names::text(headers, &names::REGION).ok_or(Refusal::Malformed)?;
    let region: Option<region::Index> = region::find(&document.regions, name);
    let timeout_ms = names::number(headers, &names::TIMEOUT_MS).ok_or(Refusal::Malformed)?;
    let repeat = match names::text(headers, &names::REPEAT) {
        Some("harmless") => Repeat::Idempotent,
        _ => Repeat::Forbidden,
    };
    let region = region.ok_or(Refusal::Misdirected)?;
    Ok(Call {
        id,
        service: service.ok_or(Refusal::Misdirected)?,
        // The caller's region is no longer needed, as the first hop has already chosen a region.
        origin: region,
        region,
        repeat,
        deadline: Deadline(now + Duration::from_millis(timeout_ms)),
    })
}
