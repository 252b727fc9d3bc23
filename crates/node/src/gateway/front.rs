//! What callers send a gateway: the route, the time that a request has, and its answer.

use http::{HeaderMap, Method, Request, header, request};
use hyper::body::{Body as _, Incoming};
use oleanderspan::{
    backend::Object,
    entry::rank,
    prelude::*,
    request::{Refusal, admission, retry::Deadline},
    route::{Route, Table},
    service,
};
use slog::{debug, info};

use crate::{
    entry::{outbound::OutboundRequest, refusal},
    gateway::{
        State,
        forward::{self, Answer, Call, Ended},
        grant::Grant,
    },
    http::{header as names, server::Handler},
};

/// Answers callers.
#[derive(Clone, Debug)]
pub struct Front(pub State);

impl Handler for Front {
    type Guard = Grant;

    async fn answer(&self, request: Request<Incoming>, _peer: SocketAddr) -> Answer {
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
            Err(ended) => self.refuse(&id, ended, arrived),
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
    ) -> Result<Answer, Ended> {
        let state = &self.0;
        let snapshot = state.snapshot();
        let Some(table) = snapshot.table.clone().filter(|_| snapshot.is_ready()) else {
            return Err(Ended::refused(Refusal::NotReady));
        };
        drop(snapshot);
        if id.is_empty() || head.method == Method::CONNECT {
            return Err(Ended::refused(Refusal::Malformed));
        }
        let route = find(&table, &head).ok_or(Ended::refused(Refusal::NoService))?;
        if body.size_hint().lower() > table.limits.max_body_bytes {
            return Err(Ended::refused(Refusal::TooLarge));
        }
        let waits = names::number(&head.headers, &state.names.time_left);
        let waits = waits.map_or(route.timeout, Duration::from_millis);
        let age = route.max_client_timeout.request_age(waits);
        let limit = waits.min(route.timeout);
        names::strip_hop_by_hop(&mut head.headers);
        names::strip_internal(&mut head.headers);
        let service = route.split.next();
        let pool = state.snapshot().pool(service, state.settings.region).map(Arc::clone);
        let typical = pool.map(|pool| pool.typical_latency()).unwrap_or_default();
        let objective = admission::effective_objective(route.objective, typical);
        let call = Call {
            id,
            route: &route,
            service,
            object: object(&head.headers, state.names.object_cookie, &route, service),
            objective: Deadline(arrived + objective.saturating_sub(age)),
            deadline: Deadline(arrived + limit),
        };
        let parcel = OutboundRequest::receive(head, body, limit).await;
        let mut parcel = parcel.map_err(Ended::refused)?;
        debug!(state.log, "request"; "request" => id, "route" => &*route.name,
            "service" => %call.service, "left_ms" => limit.as_millis(),
            "waits_ms" => waits.as_millis(), "age_ms" => age.as_millis());
        forward::forward(state, &call, &mut parcel).await
    }

    fn refuse(&self, id: &str, ended: Ended, arrived: Instant) -> Answer {
        let state = &self.0;
        let held = state.clock.now().since(arrived);
        let status = ended.status();
        info!(state.log, "request ended without an answer"; "request" => id, "status" => status,
            "refusal" => ended.refusal.as_str(), "outcome" => ended.outcome.as_str(),
            "attempts" => ended.attempts, "held_ms" => held.as_millis(),
            "retry_after_ms" => ended.retry_after.map(|wait| wait.as_millis()));
        state.counters.count_refused(ended.refusal);
        let retry_after = ended.retry_after.filter(|_| status == 503);
        let mut answer = refusal::response_after(ended.refusal, status, retry_after, id, None);
        let headers = answer.headers_mut();
        headers.remove(names::REQUEST_ID);
        headers.insert(names::OUTCOME, names::value(ended.outcome.as_str()));
        headers.insert(state.names.request_id.clone(), names::value(id));
        answer
    }
}

/// The route of a request: by the host that it names and the longest prefix of its path.
fn find(table: &Table, head: &request::Parts) -> Option<Arc<Route>> {
    let named = head.uri.authority().map(|authority| authority.as_str());
    let host = named.or_else(|| names::text(&head.headers, &header::HOST))?;
    let host = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    table.find(&host.to_ascii_lowercase(), head.uri.path()).cloned()
}

/// The object that a request is about, on routes whose servers are faster on known ones.
fn object(
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
