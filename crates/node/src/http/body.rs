//! Request and response bodies, streamed with back pressure and without `dyn`.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};

use crate::http::Meter;

/// A body that is in memory or streamed from another connection.
///
/// The guard `G`, such as the lease of a slot, is dropped when the body ends or is dropped.
#[derive(Debug)]
pub enum Body<G = ()> {
    /// A body held in memory.
    Full(Full<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream {
        /// Data that was read before streaming started; sent first.
        prefix: Option<Bytes>,
        /// The connection from which the rest is read.
        incoming: Incoming,
        /// Dropped when the body ends.
        guard: Option<G>,
        /// Counts the bytes forwarded, if they use a link between regions.
        meter: Option<Meter>,
    },
    /// A body that sends no data and stays open until the receiver closes the connection or stream,
    /// which drops the guard.
    Open(G),
}

/// Result of reading a body up to a limit.
#[derive(Debug)]
pub enum Collected {
    /// The whole body.
    Complete(Bytes),
    /// The data read so far, which exceeds the limit, and the rest as a stream.
    Partial(Bytes, Incoming),
}

/// Reads a body until it ends or more than `limit` bytes have been read.
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
    /// An empty body.
    pub fn empty() -> Body<G> {
        Body::Full(Full::default())
    }

    /// A body that is forwarded as it arrives.
    pub fn stream(incoming: Incoming) -> Body<G> {
        Body::Stream { prefix: None, incoming, guard: None, meter: None }
    }

    /// A body that is forwarded as it arrives; `guard` is dropped at its end.
    pub fn guarded(incoming: Incoming, guard: G) -> Body<G> {
        Body::Stream { prefix: None, incoming, guard: Some(guard), meter: None }
    }

    /// A body that starts with data already read; `guard` is dropped at its end.
    pub fn with_prefix(prefix: Bytes, incoming: Incoming, guard: G) -> Body<G> {
        Body::Stream { prefix: Some(prefix), incoming, guard: Some(guard), meter: None }
    }

    /// A body whose bytes are counted as they are forwarded.
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
