//! What a gateway tells about itself: which hosts to use, whether it is ready, its metrics.

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use oleanderspan::prelude::*;
use serde::Serialize;
use slog::warn;

use crate::{
    codec,
    entry::front::{LOCATE_PATH, READY_PATH},
    gateway::{State, page},
    http::{Body, header as names, server::Handler},
};

/// Where metrics are read.
pub const METRICS_PATH: &str = "/metrics";

/// How long callers may keep an answer: as short as a host may be dead before others see it.
const MAX_AGE_S: u64 = 2;

/// The most hosts in an answer; the platform's clients read no more.
const MAX_HOSTS: usize = 64;

/// Answers questions about this host and its region.
#[derive(Clone, Debug)]
pub struct Page(pub State);

/// The body of an answer which hosts to use.
#[derive(Debug, Serialize)]
struct Located {
    hosts: Vec<SocketAddr>,
    max_age_s: u64,
}

impl Handler for Page {
    type Guard = ();

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match request.uri().path() {
            LOCATE_PATH => self.locate(),
            READY_PATH if self.is_ready() => text(String::new(), "text/plain"),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            METRICS_PATH => text(page::render(&self.0), "text/plain"),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl Page {
    fn is_ready(&self) -> bool {
        !self.0.stop.has_begun() && self.0.snapshot().is_ready()
    }

    /// The live hosts of the region. Each of them reaches the same servers, so that callers
    /// spread over all of them and have others when one dies.
    fn locate(&self) -> Response<Body> {
        let snapshot = self.0.snapshot();
        let mut hosts: Vec<SocketAddr> =
            snapshot.peers.iter().map(|peer| peer.caller_address).collect();
        if self.is_ready() || hosts.is_empty() {
            hosts.push(self.0.settings.listen.callers);
        }
        hosts.sort();
        hosts.truncate(MAX_HOSTS);
        match codec::to_json(&Located { hosts, max_age_s: MAX_AGE_S }) {
            Ok(body) => text(body, "application/json"),
            Err(error) => {
                warn!(self.0.log, "cannot answer which hosts to use"; "reason" => %error);
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
