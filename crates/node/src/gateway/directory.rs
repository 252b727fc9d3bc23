//! HTTP endpoints for host discovery, readiness and metrics.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use oleanderspan::prelude::*;
use serde::Serialize;
use slog::{debug, warn};

use crate::{
    codec,
    entry::front::{LOCATE_PATH, READY_PATH},
    gateway::{State, page},
    http::{Body, header as names, server::Handler},
};

/// Path of the metrics endpoint, which answers in plain text.
pub const METRICS_PATH: &str = "/metrics";

/// How long callers may cache a locate answer: no longer than it takes to detect a dead host.
const MAX_AGE_S: u64 = 2;

/// Maximum number of hosts in a locate answer; the platform's clients read no more.
const MAX_HOSTS: usize = 64;

/// Request handler for the discovery, readiness and metrics endpoints.
#[derive(Clone, Debug)]
pub struct Directory(pub State);

/// JSON body of a locate answer.
#[derive(Debug, Serialize)]
struct LocateResponse {
    hosts: Vec<SocketAddr>,
    max_age_s: u64,
}

impl Handler for Directory {
    type Guard = ();

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match request.uri().path() {
            LOCATE_PATH => {
                self.count_foreign_client(request.uri());
                self.locate()
            }
            READY_PATH if self.is_ready() => text(String::new(), "text/plain"),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => text(page::render(&self.0), "text/plain"),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl Directory {
    fn is_ready(&self) -> bool {
        !self.0.stop.has_begun() && self.0.snapshot().is_ready()
    }

    /// Counts a lookup by a client of another region, which is sent to hosts of this one.
    fn count_foreign_client(&self, uri: &Uri) {
        let state = &self.0;
        let mut fields = uri.query().unwrap_or("").split('&');
        let zone = fields.find_map(|field| field.strip_prefix("zone="));
        let region = zone.and_then(|zone| state.settings.topology.find_zone(zone));
        let Some((_, region)) = region else { return };
        if region != state.settings.region {
            state.foreign_lookups.fetch_add(1, Ordering::Relaxed);
            debug!(state.log, "client of another region sent to hosts of this one"; "zone" => zone);
        }
    }

    /// Lists the live hosts of the region. All of them reach the same servers, so that callers can
    /// spread their load over them and fail over when one dies.
    fn locate(&self) -> Response<Body> {
        let snapshot = self.0.snapshot();
        let mut hosts: Vec<SocketAddr> =
            snapshot.peers.iter().map(|peer| peer.caller_address).collect();
        if self.is_ready() || hosts.is_empty() {
            hosts.push(self.0.settings.listen.callers);
        }
        hosts.sort();
        hosts.truncate(MAX_HOSTS);
        match codec::to_json(&LocateResponse { hosts, max_age_s: MAX_AGE_S }) {
            Ok(body) => text(body, "application/json"),
            Err(error) => {
                warn!(self.0.log, "could not encode a locate answer; answering 500";
                    "reason" => %error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn text(body: impl Into<Bytes>, content_type: &str) -> Response<Body> {
    let mut answer = Response::new(Body::from(body.into()));
    answer.headers_mut().insert(header::CONTENT_TYPE, names::value(content_type));
    answer
}

fn status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(Body::empty());
    *answer.status_mut() = status;
    answer
}
