//! HTTP client for backend servers, other hosts and the platform.

use std::{
    fmt,
    ops::RangeInclusive,
    sync::atomic::{AtomicU32, Ordering},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, Version, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use oleanderspan::prelude::*;
use tokio::sync::Notify;

use crate::http::{Body, body, server::MIN_BUFFER_BYTES};

/// Default timeout for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Default time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Default limit on the size of a response head.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Limit on the number of interim responses (1xx) before the response to a request.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// Statuses of responses that end a request.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Default limit on the response body that [`Client::call`] reads.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Body>,
    max_response_bytes: usize,
}

/// HTTP version of the remote side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1: one request at a time per connection, so closing the connection cancels it.
    Http1,
    /// HTTP/2 with prior knowledge, as used between the hosts of oleanderspan.
    Http2,
}

/// Connection settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Timeout for setting up a connection.
    pub connect_timeout: Duration,
    /// Time after which an unused connection is closed; zero disables connection reuse.
    pub idle_timeout: Duration,
    /// Interval of TCP and HTTP/2 keep-alive probes, which detect a peer that stopped responding.
    /// A connection is closed if sent bytes stay unacknowledged for three intervals, or an HTTP/2
    /// ping for one. `None` disables the probes.
    pub keepalive_interval: Option<Duration>,
    /// Limit on the size of a response head, in bytes (HTTP/1.1); at least 8 KiB. A longer one is
    /// an error. Bodies are read in pieces up to this size.
    pub max_head_bytes: usize,
    /// Limit on the response body that [`Client::call`] collects; a longer one is an error. Several
    /// calls may be open at once, so the process needs a multiple of it.
    pub max_response_bytes: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            keepalive_interval: None,
            max_head_bytes: MAX_HEAD_BYTES,
            max_response_bytes: MAX_RESPONSE_BYTES,
        }
    }
}

/// Number of unanswered TCP keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

impl Client {
    /// Creates a client with the default options and no open connections.
    pub fn new(protocol: Protocol) -> Client {
        Client::build(protocol, HttpConnector::new(), Options::default())
    }

    /// Creates a client with the given options and no open connections.
    pub fn with_options(protocol: Protocol, options: Options) -> Client {
        Client::build(protocol, HttpConnector::new(), options)
    }

    /// Creates a client that connects from the local `address`, for tools that simulate several
    /// callers.
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
        builder.http1_max_buf_size(options.max_head_bytes.max(MIN_BUFFER_BYTES));
        builder.http2_only(protocol == Protocol::Http2);
        let max_response_bytes = options.max_response_bytes;
        Client { inner: builder.build(connector), max_response_bytes }
    }

    /// Sends a request and returns the response once its head has arrived; the body is streamed.
    /// There is no timeout beyond that of connecting.
    pub async fn send(&self, mut request: Request<Body>) -> Result<Response<Incoming>, Error> {
        let interim = Arc::new(Interim::default());
        let counter = Arc::clone(&interim);
        hyper::ext::on_informational(&mut request, move |_| counter.count());
        let response = tokio::select! {
            biased;
            response = self.inner.request(request) => response?,
            () = interim.exceeded.notified() => {
                let reason = format!("over {MAX_INTERIM_RESPONSES} interim responses");
                return Err(Error::Broken(reason));
            }
        };
        into_answer(response)
    }

    /// Sends a request and returns status and body of the response; fails with
    /// [`Error::TimedOut`] after `timeout`.
    pub async fn call(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let (head, body) = self.call_with_head(request, timeout).await?;
        Ok((head.status, body))
    }

    /// Does the same as [`Client::call`], and returns the response headers too.
    pub async fn call_with_head(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        let response = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, self.max_response_bytes).collect().await;
            let body = body.map_err(|error| Error::Broken(error.to_string()))?;
            Ok((head, body.to_bytes()))
        };
        tokio::time::timeout(timeout, response).await.unwrap_or(Err(Error::TimedOut))
    }
}

/// Decides whether a response is an answer to its request, whoever sent it. A final response has a
/// status of 200 to 599 (RFC 9110, section 15); anything else says nothing about the request. That
/// includes a switch to another protocol, which no request asks for. `hyper` rejects status lines
/// with other syntax, but takes statuses up to 999.
fn into_answer(mut response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(Error::Broken(format!("status {} of no final response", status.as_str())));
    }
    // The version is that of the one connection. Passed on, HTTP/1.0 would end a body of unknown
    // length with the connection, so that a client could not tell a part from the whole.
    *response.version_mut() = Version::default();
    Ok(response)
}

/// The interim responses to one request.
#[derive(Debug, Default)]
struct Interim {
    count: AtomicU32,
    /// Notified when there are too many.
    exceeded: Notify,
}

impl Interim {
    fn count(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            self.exceeded.notify_one();
        }
    }
}

/// Error of a request that got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection could be set up, so the request was not sent.
    Connect(String),
    /// The connection failed, or the response was too large or no answer; the request may have been
    /// received.
    Broken(String),
    /// The timeout passed; the request may have been received.
    TimedOut,
    /// The body of the request broke off, so that a part of it may have been received. That is due
    /// to who sends the request, not to the remote side.
    RequestBody(RequestBody),
}

/// Why the body of a request broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBody {
    /// It is longer than it may be.
    TooLong,
    /// Its sender left, or did not keep to the protocol.
    Broken,
}

impl From<&body::Error> for RequestBody {
    fn from(error: &body::Error) -> RequestBody {
        match error {
            body::Error::TooLong => RequestBody::TooLong,
            _ => RequestBody::Broken,
        }
    }
}

impl From<legacy::Error> for Error {
    fn from(error: legacy::Error) -> Error {
        // Only the body of a request has this error; that of a response is read elsewhere.
        let first = std::error::Error::source(&error);
        let mut sources = std::iter::successors(first, |error| error.source());
        if let Some(error) = sources.find_map(|error| error.downcast_ref::<body::Error>()) {
            return Error::RequestBody(error.into());
        }
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
            Error::Connect(reason) => write!(f, "connection failed: {reason}"),
            Error::Broken(reason) => write!(f, "connection lost: {reason}"),
            Error::RequestBody(RequestBody::TooLong) => f.write_str("request body too long"),
            Error::RequestBody(RequestBody::Broken) => f.write_str("request body broken off"),
            Error::TimedOut => f.write_str("no complete response within the timeout"),
        }
    }
}

impl std::error::Error for Error {}
