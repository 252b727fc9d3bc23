//! HTTP interface between gateways: slot requests, pings, loan exchanges and change subscriptions.
//!
//! The arbiter of a service is the host of a region that allocates the slots of the service's
//! servers there.

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oleanderspan::{
    backend::{self, Object, ReuseDistance, Sender, Server, pool::Criteria},
    customer::{self, share::Claimant},
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
        message::{
            FOLLOW_PATH, LOAN_PATH, Liveness, PING_PATH, Ping, QUOTA_PATH, SLOT_PATH, ServerReport,
            SlotRequest,
        },
        notice, peers, quotas,
        slots::{self, AcquireError, Allocation},
    },
    http::{Body, server::Handler},
};

/// Upper limit for the body of a message from another host; the largest one sent is a tenth of it.
const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// How long a server is avoided after another host reported it as unusable. The host repeats the
/// report as long as it is offered the server.
const AVOID_DURATION: Duration = Duration::from_millis(2_000);

/// Request handler for messages of other hosts.
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
                warn!(self.0.log, "could not read the body of a peer's message; answering 400";
                    "peer" => %peer, "reason" => %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        let answered = match head.uri.path() {
            SLOT_PATH => codec::from_wire(&body).map(Some),
            PING_PATH => return self.ping(&body),
            LOAN_PATH => return self.loan(&body),
            FOLLOW_PATH => return self.follow(&body).await,
            QUOTA_PATH => return self.quota(&body),
            _ => Ok(None),
        };
        match answered {
            Ok(Some(request)) => self.slot(request).await,
            Ok(None) => status(StatusCode::NOT_FOUND),
            Err(error) => {
                warn!(self.0.log, "could not decode a slot request; answering 400";
                    "peer" => %peer, "reason" => %error);
                status(StatusCode::BAD_REQUEST)
            }
        }
    }
}

impl Arbiter {
    async fn slot(&self, request: SlotRequest) -> Answer {
        let host = request.host.as_deref().and_then(|host| entry::Name::try_from(host).ok());
        let sender = host.as_ref().map(Sender::from);
        request.reports.iter().for_each(|report| self.record_report(report, sender));
        let refunded = request.refunds.iter().map(String::as_str).map(customer::Name::try_from);
        refunded.flatten().for_each(|customer| quotas::refund(&self.0, &customer, true));
        match self.grant(&request, sender).await {
            Ok(allocation) => {
                let mut headers = HeaderMap::new();
                grant::insert_server_headers(&mut headers, &allocation, &self.0.settings.topology);
                let mut answer = Response::new(Body::Open(allocation.lease));
                *answer.headers_mut() = headers;
                answer
            }
            Err(error) => {
                let mut answer = status(StatusCode::SERVICE_UNAVAILABLE);
                grant::insert_refusal_headers(answer.headers_mut(), error);
                answer
            }
        }
    }

    async fn grant(
        &self,
        request: &SlotRequest,
        sender: Option<Sender>,
    ) -> Result<Allocation, AcquireError> {
        let state = &self.0;
        let no_server = AcquireError { refusal: Refusal::NoServer, retry_after: None };
        let service = service::Name::try_from(request.service.as_str()).map_err(|_| no_server)?;
        let snapshot = state.snapshot();
        if let Some(demand) = snapshot.demand(&service) {
            demand.record_request();
        }
        let pool = snapshot.pool(&service, state.settings.region).map(Arc::clone);
        // A customer that this host does not know yet has no quota here.
        let customer = request.customer.as_deref().map(|name| {
            let customers = snapshot.table.as_ref().and_then(|table| table.customers.as_ref());
            let quota = customers.and_then(|customers| customers.named(name)?.quota);
            Claimant { name, quota }
        });
        drop(snapshot);
        let pool = pool.ok_or(no_server)?;
        let time = TimeLeft {
            objective: Duration::from_millis(request.objective_ms),
            deadline: Duration::from_millis(request.deadline_ms),
        };
        let excluded =
            request.excluded.as_deref().and_then(|name| backend::Name::try_from(name).ok());
        let criteria = Criteria {
            object: request.object.map(Object::from_hash),
            excluded,
            region: request.is_bound.then_some(state.settings.region),
            sender,
        };
        let charged = request.customer.as_deref().filter(|_| criteria.excluded.is_none());
        let charged = charged.and_then(|name| customer::Name::try_from(name).ok());
        let arrived = state.clock.now();
        let charge = quotas::charge(state, charged.as_ref(), time).await?;
        let time = time.after(state.clock.now().since(arrived));
        let (clock, priority) = (state.clock, request.priority);
        let allocation = slots::acquire(&pool, clock, priority, time, criteria, customer).await?;
        charge.keep();
        Ok(allocation)
    }

    fn record_report(&self, report: &ServerReport, sender: Option<Sender>) {
        let snapshot = self.0.snapshot();
        let service = service::Name::try_from(report.service.as_str()).ok();
        let server = backend::Name::try_from(report.server.as_str()).ok();
        let pool = service.and_then(|service| snapshot.pool(&service, self.0.settings.region));
        let server = server.and_then(|server| snapshot.server(&server));
        // A report on a former start says nothing about the one of the same name now.
        let is_same_start = |server: &&Arc<Server>| {
            report.incarnation.is_none_or(|start| start == server.identity.incarnation)
        };
        let server = server.filter(is_same_start);
        if let (true, Some(_), Some(server)) = (report.is_leaving, report.incarnation, server)
            && notice::record_leaving(&self.0, server)
        {
            info!(self.0.log, "server said to another host that it is leaving; allocating none of \
                its slots"; "server" => &report.server, "incarnation" => report.incarnation);
        }
        if let (Some(backoff_ms), Some(sender), Some(server)) = (report.backoff_ms, sender, server)
        {
            notice::record_backoff(&self.0, server, sender, Duration::from_millis(backoff_ms));
            return;
        }
        if let (true, Some(server)) = (report.is_unusable, server) {
            info!(self.0.log, "server reported unusable; pausing its slots";
                "server" => &report.server,
                "reason" => "another host reported it as leaving, gone or evacuated");
            server.avoid(self.0.clock.now() + AVOID_DURATION);
            return;
        }
        if let (Some(pool), Some(server)) = (pool, server) {
            let reuse_distance = report.reuse_distance.map(ReuseDistance::from_number);
            slots::record_outcome(
                pool,
                server,
                reuse_distance,
                report.latency_us.map(Duration::from_micros),
            );
        }
    }

    fn loan(&self, body: &[u8]) -> Answer {
        let state = &self.0;
        let answer = match codec::from_wire(body) {
            Ok(message) => lending::answer(state, &message),
            Err(error) => {
                warn!(state.log, "could not decode a loan exchange; answering 400";
                    "reason" => %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        // Only the arbiter of a service lends its slots.
        let Some(answer) = answer else { return status(StatusCode::MISDIRECTED_REQUEST) };
        match codec::to_wire(&answer) {
            Ok(body) => Response::new(Body::from(Bytes::from(body))),
            Err(error) => {
                warn!(state.log, "could not encode the answer to a loan exchange; answering 500";
                    "reason" => %error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    fn quota(&self, body: &[u8]) -> Answer {
        let state = &self.0;
        let answer = match codec::from_wire(body) {
            Ok(message) => quotas::answer(state, &message),
            Err(error) => {
                warn!(state.log, "could not decode a quota report; answering 400";
                    "reason" => %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        let Some(answer) = answer else { return status(StatusCode::CONFLICT) };
        match codec::to_wire(&answer) {
            Ok(body) => Response::new(Body::from(Bytes::from(body))),
            Err(error) => {
                warn!(state.log, "could not encode the answer to a quota report; answering 500";
                    "reason" => %error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    async fn follow(&self, body: &[u8]) -> Answer {
        match codec::from_wire(body) {
            Ok(message) => feed::serve(&self.0, &message).await,
            Err(error) => {
                warn!(self.0.log, "could not decode a follow request; answering 400";
                    "reason" => %error);
                status(StatusCode::BAD_REQUEST)
            }
        }
    }

    fn ping(&self, body: &[u8]) -> Answer {
        let state = &self.0;
        let ping: Ping = match codec::from_wire(body) {
            Ok(ping) => ping,
            Err(error) => {
                warn!(state.log, "could not decode a ping; answering 400"; "reason" => %error);
                return status(StatusCode::BAD_REQUEST);
            }
        };
        // A ping proves that its sender is alive.
        if let Ok(name) = entry::Name::try_from(ping.host.as_str()) {
            feed::record_changes(state, &name, &ping.changes);
            state.record_silence(&name, ping.silence_age_ms);
            state.update(|view, now| view.roster.record_answer(&name, ping.is_leaving, now));
        }
        let liveness_reports = {
            let view = state.view();
            view.roster.liveness_reports(state.settings.zone, state.clock.now())
        };
        let own_ping =
            peers::own_ping(state, liveness_reports.iter().map(Liveness::from).collect());
        match codec::to_wire(&own_ping) {
            Ok(body) => Response::new(Body::from(Bytes::from(body))),
            Err(error) => {
                warn!(state.log, "could not encode the answer to a ping; answering 500";
                    "reason" => %error);
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
