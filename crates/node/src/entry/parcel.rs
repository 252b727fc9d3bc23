//! A request on its way: its head, and a body that can be sent again if it is in memory.

use bytes::Bytes;
use http::{Request, Uri, request};
use hyper::body::{Body as _, Incoming};
use oleanderspan::prelude::*;

use crate::http::Body;

/// A request on its way.
#[derive(Debug)]
pub struct Parcel {
    head: request::Parts,
    payload: Payload,
}

/// The body of a request on its way.
#[derive(Debug)]
enum Payload {
    Memory(Bytes),
    Stream(Incoming),
    Sent,
}

impl Parcel {
    /// A request whose body is passed on as it arrives; an empty one can be sent again.
    pub fn streamed(head: request::Parts, body: Incoming) -> Parcel {
        let payload = match body.is_end_stream() {
            true => Payload::Memory(Bytes::new()),
            false => Payload::Stream(body),
        };
        Parcel { head, payload }
    }

    /// A request whose body is in memory.
    pub fn buffered(head: request::Parts, body: Bytes) -> Parcel {
        Parcel { head, payload: Payload::Memory(body) }
    }

    /// The head.
    pub fn head(&self) -> &request::Parts {
        &self.head
    }

    /// The head, to set headers of the next hop.
    pub fn head_mut(&mut self) -> &mut request::Parts {
        &mut self.head
    }

    /// Whether the body is still there.
    pub fn can_send(&self) -> bool {
        !matches!(self.payload, Payload::Sent)
    }

    /// Makes the request for the next hop, or `None` if the body has been sent and is gone.
    pub fn send_to(&mut self, address: SocketAddr) -> Option<Request<Body>> {
        let body = match &self.payload {
            Payload::Memory(bytes) => Body::from(bytes.clone()),
            Payload::Stream(_) => match std::mem::replace(&mut self.payload, Payload::Sent) {
                Payload::Stream(incoming) => Body::stream(incoming),
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
