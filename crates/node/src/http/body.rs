//! Bodies of requests and answers, streamed with back pressure and without `dyn`.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Frame, Incoming, SizeHint};

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
        /// Where it comes from.
        incoming: Incoming,
        /// What is held as long.
        guard: Option<G>,
        /// What its bytes are counted against.
        meter: Option<Meter>,
    },
}

impl<G> Body<G> {
    /// A body with nothing in it.
    pub fn empty() -> Body<G> {
        Body::Full(Full::default())
    }

    /// A body that is passed on as it arrives.
    pub fn stream(incoming: Incoming) -> Body<G> {
        Body::Stream { incoming, guard: None, meter: None }
    }

    /// A body that is passed on while `guard` is held.
    pub fn guarded(incoming: Incoming, guard: G) -> Body<G> {
        Body::Stream { incoming, guard: Some(guard), meter: None }
    }

    /// A body whose bytes are counted as they are passed on.
    pub fn metered(incoming: Incoming, meter: Meter) -> Body<G> {
        Body::Stream { incoming, guard: None, meter: Some(meter) }
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
            Body::Stream { incoming, guard, meter } => {
                let polled = Pin::new(incoming).poll_frame(context);
                if let (Some(meter), Poll::Ready(Some(Ok(frame)))) = (meter, &polled) {
                    meter.count(frame.data_ref().map_or(0, Bytes::len));
                }
                if matches!(polled, Poll::Ready(None)) {
                    guard.take();
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(full) => full.is_end_stream(),
            Body::Stream { incoming, .. } => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(full) => full.size_hint(),
            Body::Stream { incoming, .. } => incoming.size_hint(),
        }
    }
}
