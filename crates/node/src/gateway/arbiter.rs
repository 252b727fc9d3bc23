//! What a gateway answers other hosts: slots of the services that it gives out, and that it lives.

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oleanderspan::{
    backend::{self, Object, ReuseDistance, pool::Criteria},
    entry,
    prelude::*,
    request::{Refusal, admission::TimeLeft},
    service,
};
use slog::{info, warn};

use crate::{
    codec,
    entry::slot::Lease,
    gateway::{
        State, feed, grant, lending,
        message::{ASK_PATH, Ask, FOLLOW_PATH, LOAN_PATH, PING_PATH, Ping, Report, Seen},
        peers,
        slots::{self, Given, Refused},
    },
    http::{Body, server::Handler},
};

/// The largest message of another host, in bytes; the largest one sent is a tenth of it.
const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// For how long a server is avoided after another host said that it is not to be used; it says so
/// again as long as it is offered.
const AVOIDANCE: Duration = Duration::from_millis(2_000);

/// Answers other hosts.
#[derive(Clone, Debug)]
pub struct Arbiter(pub State);

type Answer = Response<Body<Lease>>;

impl Handler for Arbiter {
    type Guard = Lease;

    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Answer {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, MAX_MESSAGE_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                warn!(self.0.log, "message of a host broke"; "peer" => %peer, "reason" => %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        let answered = match head.uri.path() {
            ASK_PATH => codec::from_wire(&body).map(Some),
            PING_PATH => return self.ping(&body),
            LOAN_PATH => return self.loan(&body),
            FOLLOW_PATH => return self.follow(&body).await,
            _ => Ok(None),
        };
        match answered {
            Ok(Some(ask)) => self.ask(ask).await,
            Ok(None) => status(StatusCode::NOT_FOUND),
            Err(error) => {
                warn!(self.0.log, "unreadable message"; "peer" => %peer, "reason" => %error);
                status(StatusCode::BAD_REQUEST)
            }
        }
    }
}

impl Arbiter {
    async fn ask(&self, ask: Ask) -> Answer {
        ask.reports.iter().for_each(|report| self.note(report));
        match self.grant(&ask).await {
            Ok(given) => {
                let mut headers = HeaderMap::new();
                grant::server_headers(&mut headers, &given, &self.0.settings.topology);
                let mut answer = Response::new(Body::Open(given.lease));
                *answer.headers_mut() = headers;
                answer
            }
            Err(refused) => {
                let mut answer = status(StatusCode::SERVICE_UNAVAILABLE);
                grant::refused_headers(answer.headers_mut(), refused);
                answer
            }
        }
    }

    async fn grant(&self, ask: &Ask) -> Result<Given, Refused> {
        let state = &self.0;
        let no_server = Refused { refusal: Refusal::NoServer, retry_after: None };
        let service = service::Name::try_from(ask.service.as_str()).map_err(|_| no_server)?;
        let snapshot = state.snapshot();
        if let Some(demand) = snapshot.demand(&service) {
            demand.record_request();
        }
        let pool = snapshot.pool(&service, state.settings.region).map(Arc::clone);
        drop(snapshot);
        let pool = pool.ok_or(no_server)?;
        let time = TimeLeft {
            objective: Duration::from_millis(ask.objective_ms),
            deadline: Duration::from_millis(ask.deadline_ms),
        };
        let not = ask.not.as_deref().and_then(|name| backend::Name::try_from(name).ok());
        let wish = Criteria {
            object: ask.object.map(Object::from_hash),
            excluded: not,
            is_bound: ask.is_bound,
        };
        slots::acquire(&pool, state.clock, ask.priority, time, wish).await
    }

    fn note(&self, report: &Report) {
        let snapshot = self.0.snapshot();
        let service = service::Name::try_from(report.service.as_str()).ok();
        let server = backend::Name::try_from(report.server.as_str()).ok();
        let pool = service.and_then(|service| snapshot.pool(&service, self.0.settings.region));
        let server = server.and_then(|server| snapshot.server(&server));
        if let (true, Some(server)) = (report.is_unusable, server) {
            info!(self.0.log, "server avoided"; "server" => &report.server,
                "reason" => "another host knows that it is not to be used");
            server.avoid(self.0.clock.now() + AVOIDANCE);
            return;
        }
        if let (Some(pool), Some(server)) = (pool, server) {
            let recall = report.recall.map(ReuseDistance::from_number);
            slots::note(pool, server, recall, report.latency_us.map(Duration::from_micros));
        }
    }

    fn loan(&self, body: &[u8]) -> Answer {
        let state = &self.0;
        let answer = match codec::from_wire(body) {
            Ok(question) => lending::answer(state, &question),
            Err(error) => {
                warn!(state.log, "unreadable question for a loan"; "reason" => %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        // A host that does not give out the service's slots lends none.
        let Some(answer) = answer else { return status(StatusCode::MISDIRECTED_REQUEST) };
        match codec::to_wire(&answer) {
            Ok(body) => Response::new(Body::from(Bytes::from(body))),
            Err(error) => {
                warn!(state.log, "cannot answer about a loan"; "reason" => %error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    async fn follow(&self, body: &[u8]) -> Answer {
        match codec::from_wire(body) {
            Ok(question) => feed::answer(&self.0, &question).await,
            Err(error) => {
                warn!(self.0.log, "unreadable question for changes"; "reason" => %error);
                status(StatusCode::BAD_REQUEST)
            }
        }
    }

    fn ping(&self, body: &[u8]) -> Answer {
        let state = &self.0;
        let ping: Ping = match codec::from_wire(body) {
            Ok(ping) => ping,
            Err(error) => {
                warn!(state.log, "unreadable question of a host"; "reason" => %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        // Who asks lives.
        if let Ok(name) = entry::Name::try_from(ping.host.as_str()) {
            state.update(|beliefs, now| beliefs.roster.record_answer(&name, ping.is_leaving, now));
        }
        let sightings = {
            let beliefs = state.beliefs();
            beliefs.roster.liveness_reports(state.settings.zone, state.clock.now())
        };
        let own = peers::own(state, sightings.iter().map(Seen::from).collect());
        match codec::to_wire(&own) {
            Ok(body) => Response::new(Body::from(Bytes::from(body))),
            Err(error) => {
                warn!(state.log, "cannot answer a host"; "reason" => %error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(Body::empty());
    *answer.status_mut() = status;
    answer
}
