//! Bodies of requests and answers, streamed with back pressure and without `dyn`.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};

use crate::http::Meter;

/// A body that is in memory or passed on from another connection.
///
/// `G` is held until the body has ended or was dropped: the lease of a slot, for example.
#[derive(Debug)]
pub enum Body<G = ()> {
    /// A body in memory.
    Full(Full<Bytes>),
    /// A body that is passed on as it arrives.
    Stream {
        /// What was read of it already.
        prefix: Option<Bytes>,
        /// Where it comes from.
        incoming: Incoming,
        /// What is held as long.
        guard: Option<G>,
        /// What its bytes are counted against.
        meter: Option<Meter>,
    },
    /// A body that never ends by itself: the reader drops it to give back what is held.
    Open(G),
}

/// A body that was read up to a limit.
#[derive(Debug)]
pub enum Collected {
    /// All of it.
    Complete(Bytes),
    /// Its beginning, and the rest as it arrives.
    Partial(Bytes, Incoming),
}

/// Reads a body until it ends or `limit` bytes are exceeded.
pub async fn collect_up_to(mut body: Incoming, limit: usize) -> Result<Collected, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            if read.is_empty() && body.is_end_stream() {
                return Ok(Collected::Complete(data));
            }
            read.extend_from_slice(&data);
        }
        if read.len() > limit {
            return Ok(Collected::Partial(read.freeze(), body));
        }
    }
    Ok(Collected::Complete(read.freeze()))
}

impl<G> Body<G> {
    /// A body with nothing in it.
    pub fn empty() -> Body<G> {
        Body::Full(Full::default())
    }

    /// A body that is passed on as it arrives.
    pub fn stream(incoming: Incoming) -> Body<G> {
        Body::Stream { prefix: None, incoming, guard: None, meter: None }
    }

    /// A body that is passed on while `guard` is held.
    pub fn guarded(incoming: Incoming, guard: G) -> Body<G> {
        Body::Stream { prefix: None, incoming, guard: Some(guard), meter: None }
    }

    /// A body whose beginning was read already, passed on while `guard` is held.
    pub fn with_prefix(prefix: Bytes, incoming: Incoming, guard: G) -> Body<G> {
        Body::Stream { prefix: Some(prefix), incoming, guard: Some(guard), meter: None }
    }

    /// A body whose bytes are counted as they are passed on.
    pub fn metered(incoming: Incoming, meter: Meter) -> Body<G> {
        Body::Stream { prefix: None, incoming, guard: None, meter: Some(meter) }
    }
}

impl<G> From<Bytes> for Body<G> {
    fn from(bytes: Bytes) -> Body<G> {
        Body::Full(Full::new(bytes))
    }
}

impl<G: Unpin> hyper::body::Body for Body<G> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Body::Full(full) => Pin::new(full).poll_frame(context).map_err(|never| match never {}),
            Body::Stream { prefix, incoming, guard, meter } => {
                if let Some(prefix) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(prefix))));
                }
                let polled = Pin::new(incoming).poll_frame(context);
                if let (Some(meter), Poll::Ready(Some(Ok(frame)))) = (meter, &polled) {
                    meter.count(frame.data_ref().map_or(0, Bytes::len));
                }
                if matches!(polled, Poll::Ready(None)) {
                    guard.take();
                }
                polled
            }
            Body::Open(_) => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(full) => full.is_end_stream(),
            Body::Stream { prefix, incoming, .. } => prefix.is_none() && incoming.is_end_stream(),
            Body::Open(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(full) => full.size_hint(),
            Body::Stream { prefix: None, incoming, .. } => incoming.size_hint(),
            Body::Stream { .. } | Body::Open(_) => SizeHint::default(),
        }
    }
}
