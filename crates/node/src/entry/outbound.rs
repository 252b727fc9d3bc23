//! Requests to be forwarded. A request can be sent again if its body is in memory.

use bytes::Bytes;
use http::{Request, Uri, request};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use oleanderspan::{prelude::*, request::Refusal};

use crate::http::Body;

/// The maximum size of a body that is kept in memory for retries.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// A request to be forwarded to the next hop.
#[derive(Debug)]
pub struct OutboundRequest {
    head: request::Parts,
    payload: Payload,
}

/// The body of a request to be forwarded.
#[derive(Debug)]
enum Payload {
    Buffered(Bytes),
    Streaming(Incoming),
    Sent,
}

impl OutboundRequest {
    /// Receives a request. A small body is read whole, within `limit`, so that it can be sent again
    /// after a failed attempt; a large body or one of unknown size is streamed.
    pub async fn receive(
        head: request::Parts,
        body: Incoming,
        limit: Duration,
    ) -> Result<OutboundRequest, Refusal> {
        let size = body.size_hint().exact();
        if size.is_none_or(|size| size > MAX_BUFFERED_BODY_BYTES) {
            return Ok(OutboundRequest { head, payload: Payload::Streaming(body) });
        }
        match tokio::time::timeout(limit, body.collect()).await {
            Ok(Ok(collected)) => Ok(OutboundRequest::buffered(head, collected.to_bytes())),
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
            Payload::Streaming(incoming) => incoming.size_hint().lower(),
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
            Payload::Streaming(_) => match std::mem::replace(&mut self.payload, Payload::Sent) {
                Payload::Streaming(incoming) => Body::stream(incoming),
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
