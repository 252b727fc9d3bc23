//! HTTP handler for client requests: finds the route, sets the deadlines and forwards the request.

use http::{HeaderMap, HeaderValue, Method, Request, header, request};
use hyper::body::{Body as _, Incoming};
use oleanderspan::{
    backend::Object,
    customer::{Customer, Directory, directory::Miss},
    entry::rank,
    prelude::*,
    request::{Refusal, admission, retry::Deadline},
    route::{self, Route, Table},
    service,
};
use slog::{debug, info};

use crate::{
    entry::{
        outbound::{Limits, OutboundRequest},
        refusal,
    },
    gateway::{
        State,
        forward::{self, Answer, Call, ForwardError},
        state::Shared,
    },
    http::{header as names, server::Handler},
};

/// Request handler for client requests.
#[derive(Clone, Debug)]
pub struct Front(pub State);

impl Handler for Front {
    type Guard = ();

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
        let state = &self.0;
        let arrived = state.clock.now();
        let (head, body) = request.into_parts();
        let id = names::text(&head.headers, &state.names.request_id).unwrap_or("").to_owned();
        let answered = self.request(&id, head, body, arrived).await;
        let mut answer = match answered {
            Ok(answer) => {
                state.counters.count_done(state.clock.now().since(arrived));
                answer
            }
            Err(error) => self.refuse(&id, error, arrived),
        };
        if state.stop.has_begun() {
            answer.headers_mut().insert(header::CONNECTION, names::value("close"));
        }
        answer
    }
}

impl Front {
    async fn request(
        &self,
        id: &str,
        mut head: request::Parts,
        body: Incoming,
        arrived: Instant,
    ) -> Result<Answer, ForwardError> {
        let state = &self.0;
        let snapshot = state.snapshot();
        let Some(table) = snapshot.table.clone().filter(|_| snapshot.is_ready()) else {
            return Err(ForwardError::refused(Refusal::NotReady));
        };
        drop(snapshot);
        if state.stopping.get().is_some_and(|grace| !grace.is_open(arrived)) {
            return Err(ForwardError::refused(Refusal::Stopping));
        }
        if id.is_empty() || head.method == Method::CONNECT {
            return Err(ForwardError::refused(Refusal::Malformed));
        }
        let route = find_route(&table, &head).map_err(|miss| {
            ForwardError::refused(match miss {
                route::Miss::Unknown => Refusal::NoService,
                route::Miss::Unusable => Refusal::UnusableRoute,
            })
        })?;
        if body.size_hint().lower() > table.limits.max_body_bytes {
            return Err(ForwardError::refused(Refusal::TooLarge));
        }
        let client_timeout = names::number(&head.headers, &state.names.time_left);
        // Before the name of the customer is set, which the client could list as hop-by-hop.
        names::strip_hop_by_hop(&mut head.headers);
        names::strip_internal(&mut head.headers);
        let sender = identify(state, &table, &route, &mut head.headers);
        let sender = sender.map_err(ForwardError::refused)?;
        let customer = sender.as_ref().map(|sender| &sender.customer);
        let client_timeout = client_timeout.map_or(route.timeout, Duration::from_millis);
        let age = route.max_client_timeout.request_age(client_timeout);
        let limit = client_timeout.min(route.timeout);
        let service = route.split.next();
        if table.service(service).is_none() {
            return Err(ForwardError::refused(Refusal::UnusableRoute));
        }
        let pool = state.snapshot().pool(service, state.settings.region).map(Arc::clone);
        let typical_latency = pool.map(|pool| pool.typical_latency()).unwrap_or_default();
        let objective = admission::effective_objective(route.objective, typical_latency);
        let call = Call {
            id,
            route: &route,
            routes_version: table.version,
            sender: sender.as_ref(),
            service,
            object: requested_object(&head.headers, state.names.object_cookie, &route, service),
            objective: Deadline(arrived + objective.saturating_sub(age)),
            deadline: Deadline(arrived + limit),
            client_deadline: Deadline(arrived + client_timeout),
        };
        let max_bytes = table.limits.max_body_bytes;
        let limits = Limits { time: limit, max_bytes, budget: state.bodies.as_ref() };
        let outbound = OutboundRequest::receive(head, body, limits).await;
        let mut outbound = outbound.map_err(ForwardError::refused)?;
        debug!(state.log, "request"; "request" => id, "route" => &*route.name,
            "customer" => customer.map(|customer| customer.name.as_str()),
            "service" => %call.service, "left_ms" => limit.as_millis(),
            "waits_ms" => client_timeout.as_millis(), "age_ms" => age.as_millis());
        forward::forward(state, &call, &mut outbound).await
    }

    fn refuse(&self, id: &str, error: ForwardError, arrived: Instant) -> Answer {
        let state = &self.0;
        let held = state.clock.now().since(arrived);
        let status = error.status();
        info!(state.log, "request failed; answering the client with a refusal";
            "request" => id, "status" => status,
            "refusal" => error.refusal.as_str(), "outcome" => error.outcome.as_str(),
            "attempts" => error.attempts, "held_ms" => held.as_millis(),
            "retry_after_ms" => error.retry_after.map(|wait| wait.as_millis()));
        state.counters.count_refused(error.refusal);
        let retry_after = error.retry_after.filter(|_| matches!(status, 429 | 503));
        let ForwardError { refusal, outcome, .. } = error;
        let mut answer = refusal::response_after(refusal, outcome, status, retry_after, id, None);
        let headers = answer.headers_mut();
        headers.remove(names::REQUEST_ID);
        headers.insert(state.names.request_id.clone(), names::value(id));
        answer
    }
}

/// Finds the route by the request's host name and the longest matching path prefix.
pub(super) fn find_route(table: &Table, head: &request::Parts) -> Result<Arc<Route>, route::Miss> {
    let named = head.uri.authority().map(|authority| authority.as_str());
    let host = named.or_else(|| names::text(&head.headers, &header::HOST));
    let host = host.ok_or(route::Miss::Unknown)?;
    let host = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    table.find(&host.to_ascii_lowercase(), head.uri.path()).cloned()
}

/// The customer that sends a request, and the key by which it was identified.
#[derive(Debug)]
pub struct Sender {
    /// The customer that the key belonged to when the request arrived.
    pub customer: Arc<Customer>,
    /// Marked as sensitive, so that it is never printed.
    key: HeaderValue,
}

impl Sender {
    /// Checks by a later version of the customers that the key still identifies this customer: it may
    /// be withdrawn while the request waits for its body or a slot.
    pub(super) fn confirm(&self, customers: &Directory) -> Result<(), Refusal> {
        let customer = customers.find(self.key.as_bytes()).map_err(refusal)?;
        // The server would be told the former name. The client may send the request again.
        if customer.name == self.customer.name { Ok(()) } else { Err(Refusal::UnusableRoute) }
    }
}

fn refusal(miss: Miss) -> Refusal {
    match miss {
        Miss::Unknown => Refusal::UnknownCustomer,
        Miss::Unreadable => Refusal::UnusableRoute,
    }
}

/// Finds the customer that sends a request and replaces its key by its name, which only this host
/// may set. `None` if the request needs no key.
fn identify(
    state: &Shared,
    table: &Table,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Sender>, Refusal> {
    let Some(customers) = &table.customers else { return Ok(None) };
    headers.remove(&state.names.customer);
    // Trailers that this header does not announce are not passed on. A server could take them for
    // headers that this host has set.
    headers.remove(header::TRAILER);
    let keys = headers.get_all(&state.names.customer_key).iter().count();
    let key = headers.remove(&state.names.customer_key);
    if route.is_public {
        return Ok(None);
    }
    // With several keys it is not clear who sends the request.
    let mut key = key.filter(|_| keys == 1).ok_or(Refusal::UnknownCustomer)?;
    key.set_sensitive(true);
    let customer = Arc::clone(customers.find(key.as_bytes()).map_err(refusal)?);
    headers.insert(state.names.customer.clone(), names::value(customer.name.as_str()));
    Ok(Some(Sender { customer, key }))
}

/// The object that a request accesses, from its affinity cookie. `None` if the route has no sticky
/// sessions.
fn requested_object(
    headers: &HeaderMap,
    cookie: &str,
    route: &Route,
    service: &service::Name,
) -> Option<Object> {
    if !route.is_sticky {
        return None;
    }
    let cookies = headers.get_all(header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|value| value.split(';')).filter_map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        (name == cookie).then_some(value)
    });
    pairs.next().map(|value| Object::from_hash(rank::weight(service.as_str(), value)))
}
