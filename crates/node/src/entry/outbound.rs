//! Requests to be forwarded. A request can be sent again if its body is in memory.

use bytes::Bytes;
use http::{Request, Uri, request};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use oleanderspan::{
    prelude::*,
    request::{
        Refusal,
        body_budget::{Budget, Reservation},
    },
};

use crate::http::Body;

/// The maximum size of a body that is kept in memory for retries.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// What a streamed body takes up: the read buffer of the client's connection, which is as large as
/// a head may be (16 KiB where heads have the usual limit), the write buffer of the server's
/// connection (32 KiB), and as much again while these grow.
const STREAM_BYTES: u64 = 96 << 10;

/// A request to be forwarded to the next hop.
#[derive(Debug)]
pub struct OutboundRequest {
    head: request::Parts,
    payload: Payload,
}

/// Limits of the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits<'a> {
    /// Time to read a body that is read whole.
    pub time: Duration,
    /// The most bytes of a body whose length is not known before.
    pub max_bytes: u64,
    /// The memory for bodies; `None` if it is not limited.
    pub budget: Option<&'a Arc<Budget>>,
}

impl Limits<'_> {
    /// A limit of the time only.
    pub fn of_time(time: Duration) -> Limits<'static> {
        Limits { time, max_bytes: u64::MAX, budget: None }
    }
}

/// The body of a request to be forwarded.
#[derive(Debug)]
enum Payload {
    Buffered(Bytes),
    /// The body, the most bytes of it that may be passed on, and its room.
    Streaming(Incoming, u64, Option<Reservation>),
    Sent,
}

/// A body in memory with its room, which is given back when the last copy of the bytes is dropped:
/// a connection may still send them after the request has been answered.
#[derive(Debug)]
struct Reserved {
    bytes: Bytes,
    #[expect(dead_code, reason = "held until it is dropped")]
    reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl OutboundRequest {
    /// Receives a request. A small body is read whole, within its time, so that it can be sent again
    /// after a failed attempt; a large body or one of unknown size is streamed. Room for either is
    /// reserved before anything of the body is read.
    pub async fn receive(
        head: request::Parts,
        body: Incoming,
        limits: Limits<'_>,
    ) -> Result<OutboundRequest, Refusal> {
        let buffered = body.size_hint().exact().filter(|size| *size <= MAX_BUFFERED_BODY_BYTES);
        let reservation = match limits.budget.filter(|_| buffered != Some(0)) {
            Some(budget) => {
                let reservation = budget.reserve(buffered.unwrap_or(STREAM_BYTES));
                Some(reservation.map_err(|_| Refusal::NoMemory)?)
            }
            None => None,
        };
        if buffered.is_none() {
            return Ok(OutboundRequest {
                head,
                payload: Payload::Streaming(body, limits.max_bytes, reservation),
            });
        }
        match tokio::time::timeout(limits.time, body.collect()).await {
            Ok(Ok(collected)) => {
                let bytes = collected.to_bytes();
                let bytes = match reservation {
                    Some(reservation) => Bytes::from_owner(Reserved { bytes, reservation }),
                    None => bytes,
                };
                Ok(OutboundRequest::buffered(head, bytes))
            }
            Ok(Err(_)) => Err(Refusal::Malformed),
            Err(_) => Err(Refusal::Expired),
        }
    }

    /// Creates a request whose body is in memory.
    pub fn buffered(head: request::Parts, body: Bytes) -> OutboundRequest {
        OutboundRequest { head, payload: Payload::Buffered(body) }
    }

    /// The size of path, headers and body as far as known; a body of unknown length counts as
    /// empty.
    pub fn known_bytes(&self) -> u64 {
        let headers = self.head.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
        let path = self.head.uri.path_and_query().map_or(0, |path| path.as_str().len());
        let body = match &self.payload {
            Payload::Buffered(bytes) => bytes.len() as u64,
            Payload::Streaming(incoming, ..) => incoming.size_hint().lower(),
            Payload::Sent => 0,
        };
        (headers + path) as u64 + body
    }

    /// The method, path and headers as received.
    pub fn head(&self) -> &request::Parts {
        &self.head
    }

    /// Mutable access to the head, to set headers for the next hop.
    pub fn head_mut(&mut self) -> &mut request::Parts {
        &mut self.head
    }

    /// Whether the body is still available. A streamed body can be sent only once.
    pub fn can_send(&self) -> bool {
        !matches!(self.payload, Payload::Sent)
    }

    /// Builds the request to the next hop at `address`, or returns `None` if the body has already
    /// been sent.
    pub fn send_to(&mut self, address: SocketAddr) -> Option<Request<Body>> {
        let body = match &self.payload {
            Payload::Buffered(bytes) => Body::from(bytes.clone()),
            Payload::Streaming(..) => match std::mem::replace(&mut self.payload, Payload::Sent) {
                Payload::Streaming(incoming, max_bytes, reservation) => {
                    Body::limited(incoming, max_bytes, reservation)
                }
                _ => return None,
            },
            Payload::Sent => return None,
        };
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder().scheme("http").authority(address.to_string()).path_and_query(path);
        let mut request = Request::new(body);
        *request.uri_mut() = uri.build().ok()?;
        *request.method_mut() = self.head.method.clone();
        *request.headers_mut() = self.head.headers.clone();
        Some(request)
    }
}
