//! The HTTP client towards backend servers, other hosts and the platform.

use std::fmt;

use bytes::Bytes;
use http::{Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use oleanderspan::prelude::*;

use crate::http::Body;

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest answer that [`Client::call`] reads.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Body>,
}

/// What the other side speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1: one request at a time on a connection, so that ending one cancels the request.
    Http1,
    /// HTTP/2 without negotiation, as our own hosts speak it to each other.
    Http2,
}

/// How a client treats its connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest time to set up a connection.
    pub connect_timeout: Duration,
    /// How long an unused connection is kept; none is kept for zero.
    pub idle_timeout: Duration,
    /// How long sent bytes may stay unacknowledged, and how often the other side is probed, so
    /// that a connection that fell silent is noticed.
    pub keepalive_interval: Option<Duration>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            keepalive_interval: None,
        }
    }
}

/// Probes of a silent connection before it is given up.
const KEEPALIVE_PROBES: u32 = 2;

impl Client {
    /// A client with no connections yet.
    pub fn new(protocol: Protocol) -> Client {
        Client::build(protocol, HttpConnector::new(), Options::default())
    }

    /// A client with no connections yet that treats them as told.
    pub fn with_options(protocol: Protocol, options: Options) -> Client {
        Client::build(protocol, HttpConnector::new(), options)
    }

    /// A client that connects from `address`, for tools that act for several callers.
    pub fn bound_to(protocol: Protocol, address: IpAddr) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_local_address(Some(address));
        Client::build(protocol, connector, Options::default())
    }

    fn build(protocol: Protocol, mut connector: HttpConnector, options: Options) -> Client {
        connector.set_connect_timeout(Some(options.connect_timeout));
        if let Some(keepalive_interval) = options.keepalive_interval {
            connector.set_keepalive(Some(keepalive_interval));
            connector.set_keepalive_interval(Some(keepalive_interval));
            connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
            connector.set_tcp_user_timeout(Some(keepalive_interval * (KEEPALIVE_PROBES + 1)));
        }
        connector.set_nodelay(true);
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).timer(TokioTimer::new());
        builder.pool_idle_timeout(options.idle_timeout);
        if options.idle_timeout.is_zero() {
            builder.pool_max_idle_per_host(0);
        }
        if protocol == Protocol::Http2 {
            builder.http2_keep_alive_interval(options.keepalive_interval);
            builder.http2_keep_alive_timeout(options.keepalive_interval.unwrap_or(IDLE_TIMEOUT));
        }
        builder.http2_only(protocol == Protocol::Http2);
        Client { inner: builder.build(connector) }
    }

    /// Sends a request and returns the answer's head; its body follows as a stream.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>, Error> {
        self.inner.request(request).await.map_err(Error::from)
    }

    /// Sends a request and reads the whole answer within `limit`.
    pub async fn call(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let (head, body) = self.call_with_head(request, timeout).await?;
        Ok((head.status, body))
    }

    /// Sends a request and reads the whole answer with its headers within `limit`.
    pub async fn call_with_head(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        let response = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| Error::Broken(error.to_string()))?;
            Ok((head, body.to_bytes()))
        };
        tokio::time::timeout(timeout, response).await.unwrap_or(Err(Error::TimedOut))
    }
}

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection could be set up, so nothing was sent.
    Connect(String),
    /// The connection broke; the request may have been received.
    Broken(String),
    /// The time limit passed; the request may have been received.
    TimedOut,
}

impl From<legacy::Error> for Error {
    fn from(error: legacy::Error) -> Error {
        let reason = match std::error::Error::source(&error) {
            Some(source) => format!("{error}: {source}"),
            None => error.to_string(),
        };
        if error.is_connect() { Error::Connect(reason) } else { Error::Broken(reason) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(reason) => write!(f, "cannot connect: {reason}"),
            Error::Broken(reason) => write!(f, "the connection broke: {reason}"),
            Error::TimedOut => f.write_str("no answer within the time limit"),
        }
    }
}

impl std::error::Error for Error {}
