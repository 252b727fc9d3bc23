//! The caller port: locate and ready answers, job status, and requests to services.

use std::borrow::Cow;

use http::{HeaderMap, Method, Request, Response, Version, header, request};
use hyper::body::Incoming;
use oleanderspan::{
    prelude::*,
    request::{Outcome, Refusal, Repeat, retry::Deadline},
};
use serde::Serialize;
use slog::debug;

use crate::{
    codec,
    entry::{
        State, claims,
        dispatch::{Answer, Call},
        jobs,
        outbound::{Limits, OutboundRequest},
        refusal, routing,
        slot::Lease,
        state::Snapshot,
    },
    http::{Body, header as names, server::Handler},
};

/// The path of locate requests, which tell callers which entry hosts to use.
pub const LOCATE_PATH: &str = "/.well-known/oleanderspan/locate";

/// The path of readiness checks: whether this host has a snapshot and accepts callers.
pub const READY_PATH: &str = "/.well-known/oleanderspan/ready";

/// The request handler of the caller port.
#[derive(Clone, Debug)]
pub struct Front(pub State);

/// The body of a locate answer.
#[derive(Debug, Serialize)]
struct LocateBody<'a> {
    /// Addresses of entry hosts, best first.
    hosts: &'a [SocketAddr],
    /// How long the caller may cache the answer, in seconds.
    max_age_s: u64,
}

/// The body of a ready answer.
#[derive(Debug, Serialize)]
struct ReadyBody {
    /// The version of the document in force.
    version: u64,
    /// The number of entry hosts that accept callers, as seen by this one.
    live_hosts: usize,
    /// The number of pools (service and region) whose dispatch this host has taken over and that
    /// still wait for the previous host to yield.
    held_pools: usize,
}

impl Handler for Front {
    type Guard = Lease;

    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Answer {
        let (head, body) = request.into_parts();
        let id = request_id(&head.headers);
        let is_http1 = head.version <= Version::HTTP_11;
        let answered = match (head.uri.path(), &head.method) {
            (LOCATE_PATH, &Method::GET) => self.locate(&head, peer),
            (READY_PATH, &Method::GET) => self.ready(),
            (path, &Method::GET) if path.starts_with(jobs::STATUS_PATH) => {
                jobs::status::answer(&self.0, &path[jobs::STATUS_PATH.len()..]).await
            }
            _ => self.request(&id, head, body, peer).await,
        };
        let mut answer = answered.unwrap_or_else(|refusal| {
            debug!(self.0.log, "refused"; "request" => &id, "refusal" => refusal.as_str());
            self.0.counters.count_refused(refusal);
            refusal::response(refusal, &id, None)
        });
        answer.headers_mut().insert(names::REQUEST_ID, names::value(&id));
        if is_http1 && self.0.stop.is_closing() {
            answer.headers_mut().insert(header::CONNECTION, names::value("close"));
        }
        answer
    }
}

impl Front {
    fn locate(&self, head: &request::Parts, peer: SocketAddr) -> Result<Answer, Refusal> {
        let snapshot = self.0.snapshot().ok_or(Refusal::NotReady)?;
        let query = head.uri.query().unwrap_or("");
        let address = match query.strip_prefix("address=") {
            Some(address) => address.parse().map_err(|_| Refusal::Malformed)?,
            None => peer.ip(),
        };
        let answer = snapshot.locate(address).ok_or(Refusal::NotReady)?;
        let max_age_s = snapshot.document.locate.max_age.as_secs();
        let hosts = self.without_stopping_self(&snapshot, &answer.addresses);
        if hosts.is_empty() {
            return Err(Refusal::NotReady);
        }
        let body = LocateBody { hosts: &hosts, max_age_s };
        let mut response = json(&body);
        let cache = names::value(&format!("private, max-age={max_age_s}"));
        response.headers_mut().insert(header::CACHE_CONTROL, cache);
        Ok(response)
    }

    /// Removes this host from a locate answer once it was told to stop, even if no later snapshot
    /// arrives.
    fn without_stopping_self<'a>(
        &self,
        snapshot: &Snapshot,
        hosts: &'a [SocketAddr],
    ) -> Cow<'a, [SocketAddr]> {
        let Some(own) = snapshot.own_host().filter(|_| self.0.stop.has_begun()) else {
            return Cow::Borrowed(hosts);
        };
        hosts.iter().copied().filter(|host| *host != own.caller_address).collect()
    }

    fn ready(&self) -> Result<Answer, Refusal> {
        if self.0.stop.has_begun() {
            return Err(Refusal::NotReady);
        }
        let snapshot = self.0.snapshot().ok_or(Refusal::NotReady)?;
        snapshot.own_host().filter(|host| host.accepts_callers()).ok_or(Refusal::NotReady)?;
        let live_hosts = snapshot.hosts.iter().filter(|host| host.accepts_callers()).count();
        let held_pools = snapshot.dispatched_pools().filter(|pool| pool.is_held()).count();
        Ok(json(&ReadyBody { version: snapshot.version.0, live_hosts, held_pools }))
    }

    async fn request(
        &self,
        id: &str,
        mut head: request::Parts,
        body: Incoming,
        peer: SocketAddr,
    ) -> Result<Answer, Refusal> {
        let state = &self.0;
        let snapshot = state.snapshot().ok_or(Refusal::NotReady)?;
        let call = call(&snapshot, id, &head, peer.ip(), state.clock.now())?;
        names::strip_hop_by_hop(&mut head.headers);
        names::strip_internal(&mut head.headers);
        head.headers.insert(names::REQUEST_ID, names::value(id));
        forward_caller(&mut head, peer.ip());
        let started_at = state.clock.now();
        let is_keyed = head.headers.contains_key(names::IDEMPOTENCY_KEY);
        let answer = if call.repeat == Repeat::Forbidden && is_keyed {
            claims::request(state, snapshot, call, head, body, peer.ip()).await?
        } else {
            let mut outbound =
                OutboundRequest::receive(head, body, Limits::of_time(call.time_left(started_at)?))
                    .await?;
            routing::route(state, snapshot, call, &mut outbound).await?
        };
        state.counters.count_done(state.clock.now().since(started_at));
        Ok(answer)
    }
}

/// Determines the service, the region and the deadline of a request.
fn call<'a>(
    snapshot: &Snapshot,
    id: &'a str,
    head: &request::Parts,
    caller: IpAddr,
    now: Instant,
) -> Result<Call<'a>, Refusal> {
    if head.method == Method::CONNECT {
        return Err(Refusal::Malformed);
    }
    let authority = authority(head).ok_or(Refusal::Malformed)?;
    let service = snapshot.service(&authority).ok_or(Refusal::NoService)?;
    let definition = snapshot.service_definition(service);
    let repeat = match definition.is_idempotent(head.method.as_str(), head.uri.path()) {
        true => Repeat::Idempotent,
        false => Repeat::Forbidden,
    };
    let limit = definition.limits.request_timeout;
    let requested = names::number(&head.headers, &names::TIMEOUT_MS).map(Duration::from_millis);
    let deadline = Deadline(now + requested.map_or(limit, |requested| requested.min(limit)));
    let origin = snapshot.origin(caller);
    let region = routing::choose_region(snapshot, service, origin, now)?;
    Ok(Call { id, service, origin, region, repeat, deadline })
}

/// Sets the headers that tell the backend server the caller's address and the requested host.
fn forward_caller(head: &mut request::Parts, caller: IpAddr) {
    let previous = names::text(&head.headers, &names::FORWARDED_FOR);
    let path = match previous {
        Some(previous) => format!("{previous}, {caller}"),
        None => caller.to_string(),
    };
    head.headers.insert(names::FORWARDED_FOR, names::value(&path));
    // HTTP/2 carries the authority in the URI, which the next hop replaces.
    if let Some(authority) = head.uri.authority() {
        let host = names::value(authority.as_str());
        head.headers.insert(header::HOST, host);
    }
}

/// Returns the requested host without port, in lower case: from the URI in HTTP/2, from `Host` in
/// HTTP/1.1.
fn authority(head: &request::Parts) -> Option<String> {
    let uri_host = head.uri.authority().map(|authority| authority.host());
    let host = uri_host.or_else(|| names::text(&head.headers, &header::HOST))?;
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    Some(without_port.to_ascii_lowercase())
}

/// Returns the caller's request id if it is 1 to 128 bytes long, or else a new one.
fn request_id(headers: &HeaderMap) -> String {
    match names::text(headers, &names::REQUEST_ID) {
        Some(id) if (1..=128).contains(&id.len()) => id.to_owned(),
        _ => format!("{:032x}", rand::random::<u128>()),
    }
}

/// Builds an answer of this daemon with a JSON body.
fn json<T: Serialize>(value: &T) -> Answer {
    let body = codec::to_json(value).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes::Bytes::from(body)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, names::value("application/json"));
    headers.insert(names::OUTCOME, names::value(Outcome::Done.as_str()));
    response
}
