//! Request and response bodies, streamed with back pressure and without `dyn`.

use std::{
    fmt,
    pin::{Pin, pin},
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use oleanderspan::{prelude::*, request::body_budget::Reservation};
use tokio::sync::mpsc;

use crate::http::Meter;

/// Number of parts that a [`Flow`] has ready for the receiver, beside the one that it holds.
const MAX_WAITING_PARTS: usize = 1;

/// A body that is in memory or streamed from another connection.
///
/// The guard `G`, such as the lease of a slot, is dropped when the body ends or is dropped.
#[derive(Debug)]
pub enum Body<G = ()> {
    /// A body held in memory.
    Full(Full<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream {
        /// The connection from which the rest is read.
        incoming: Incoming,
        /// Dropped when the body ends.
        guard: Option<G>,
        /// Counts the bytes forwarded, if they use a link between regions.
        meter: Option<Meter>,
        /// Room for what is in transit; given back when the body ends.
        reservation: Option<Reservation>,
        /// The most bytes that may still be forwarded.
        left: u64,
    },
    /// A body that a [`Flow`] reads, so that its time is limited even while the receiver takes
    /// nothing.
    Flowing {
        /// Data that was read before streaming started; sent first.
        prefix: Option<Bytes>,
        /// What the flow has read; without [`Part::End`] the body is incomplete.
        parts: mpsc::Receiver<Part>,
    },
    /// A body that sends no data and stays open until the receiver closes the connection or stream,
    /// which drops the guard.
    Open(G),
}

/// A part of a body on its way from a [`Flow`] to the receiver.
#[derive(Debug)]
pub enum Part {
    /// Data or trailers.
    Frame(Frame<Bytes>),
    /// The end of a complete body.
    End,
}

/// The reading side of a [`Body::Flowing`].
#[derive(Debug)]
pub struct Flow {
    incoming: Incoming,
    parts: mpsc::Sender<Part>,
}

/// Why a body is incomplete.
#[derive(Debug)]
pub enum Error {
    /// The connection from which the body is read failed.
    Broken(hyper::Error),
    /// The time for the body passed before its end.
    Expired,
    /// The [`Flow`] ended before the body did.
    Aborted,
    /// The body is longer than it may be.
    TooLong,
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
pub async fn collect_up_to(mut body: Incoming, limit: usize) -> Result<Collected, Error> {
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
        Body::Stream { incoming, guard: None, meter: None, reservation: None, left: u64::MAX }
    }

    /// A body that is forwarded as it arrives; `guard` is dropped at its end.
    pub fn guarded(incoming: Incoming, guard: G) -> Body<G> {
        Body::Stream {
            incoming,
            guard: Some(guard),
            meter: None,
            reservation: None,
            left: u64::MAX,
        }
    }

    /// A body that starts with data already read; the returned flow reads the rest.
    pub fn flowing(prefix: Bytes, incoming: Incoming) -> (Body<G>, Flow) {
        let (sender, parts) = mpsc::channel(MAX_WAITING_PARTS);
        (Body::Flowing { prefix: Some(prefix), parts }, Flow { incoming, parts: sender })
    }

    /// A body whose bytes are counted as they are forwarded.
    pub fn metered(incoming: Incoming, meter: Meter) -> Body<G> {
        Body::Stream {
            incoming,
            guard: None,
            meter: Some(meter),
            reservation: None,
            left: u64::MAX,
        }
    }

    /// A body that is forwarded as it arrives and breaks off after `max_bytes`; `reservation` is given
    /// back at its end.
    pub fn limited(
        incoming: Incoming,
        max_bytes: u64,
        reservation: Option<Reservation>,
    ) -> Body<G> {
        Body::Stream { incoming, guard: None, meter: None, reservation, left: max_bytes }
    }
}

impl Flow {
    /// Reads the body until its end, for `limit` at most. A body that is complete by then is still
    /// delivered, as slowly as the receiver takes it; any other one ends with an error, for the
    /// receiver too. `guard` is dropped, and the connection released, once nothing more is read.
    pub async fn run<G>(self, guard: G, limit: Duration) -> Result<(), Error> {
        let Flow { mut incoming, parts } = self;
        let mut expired = pin!(tokio::time::sleep(limit));
        loop {
            let frame = tokio::select! {
                biased;
                () = parts.closed() => return Ok(()),
                // A frame that has arrived may be the last.
                frame = incoming.frame() => frame.transpose()?,
                () = &mut expired => return Err(Error::Expired),
            };
            match frame {
                Some(frame) if !incoming.is_end_stream() => tokio::select! {
                    biased;
                    () = &mut expired => return Err(Error::Expired),
                    // If the receiver has gone, the next round ends the flow.
                    _ = parts.send(Part::Frame(frame)) => {}
                },
                last => {
                    drop((incoming, guard));
                    for part in last.map(Part::Frame).into_iter().chain([Part::End]) {
                        if parts.send(part).await.is_err() {
                            break;
                        }
                    }
                    return Ok(());
                }
            }
        }
    }
}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Error {
        Error::Broken(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Broken(error) => write!(f, "connection lost: {error}"),
            Error::Expired => f.write_str("not complete within its time"),
            Error::TooLong => f.write_str("longer than the limit"),
            Error::Aborted => f.write_str("ended before it was complete"),
        }
    }
}

impl std::error::Error for Error {}

impl<G> From<Bytes> for Body<G> {
    fn from(bytes: Bytes) -> Body<G> {
        Body::Full(Full::new(bytes))
    }
}

impl<G: Unpin> hyper::body::Body for Body<G> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Body::Full(full) => Pin::new(full).poll_frame(context).map_err(|never| match never {}),
            Body::Stream { incoming, guard, meter, reservation, left } => {
                let polled = Pin::new(incoming).poll_frame(context);
                if let Poll::Ready(Some(Ok(frame))) = &polled {
                    let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                    match left.checked_sub(bytes) {
                        Some(rest) => *left = rest,
                        None => return Poll::Ready(Some(Err(Error::TooLong))),
                    }
                }
                if let (Some(meter), Poll::Ready(Some(Ok(frame)))) = (meter, &polled) {
                    meter.count(frame.data_ref().map_or(0, Bytes::len));
                }
                if matches!(polled, Poll::Ready(None)) {
                    guard.take();
                    reservation.take();
                }
                polled.map_err(Error::Broken)
            }
            Body::Flowing { prefix, parts } => {
                if let Some(prefix) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(prefix))));
                }
                parts.poll_recv(context).map(|part| match part {
                    Some(Part::Frame(frame)) => Some(Ok(frame)),
                    Some(Part::End) => None,
                    None => Some(Err(Error::Aborted)),
                })
            }
            Body::Open(_) => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(full) => full.is_end_stream(),
            Body::Stream { incoming, .. } => incoming.is_end_stream(),
            Body::Flowing { .. } | Body::Open(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(full) => full.size_hint(),
            Body::Stream { incoming, .. } => incoming.size_hint(),
            Body::Flowing { .. } | Body::Open(_) => SizeHint::default(),
        }
    }
}
