//! Timeout for receiving a request head, independent of the idle timeout of the connection. The
//! header read timeout of `hyper` starts when the previous response ends and covers both.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
};

use oleanderspan::prelude::*;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Sleep,
};

use crate::http::Socket;

/// Response to a client that was too slow; nothing of its request was forwarded.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Start of an HTTP/2 connection, which is exempt: its heads are limited by settings of `hyper`.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";

/// Number of requests on a connection whose heads were read and whose responses have not started.
/// While it is above zero, received bytes may belong to a body, and a 408 would falsely state that
/// nothing was forwarded.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicU32>);

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicU32>);

impl InFlight {
    /// Records that the whole head of a request has been received.
    pub fn start_request(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(&self.0))
    }

    fn has_requests(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection that responds with 408 and fails if a request head takes too long.
#[derive(Debug)]
pub struct TimedStream {
    stream: Socket,
    head_timeout: Duration,
    in_flight: InFlight,
    /// Runs while a head has been received in part.
    timer: Option<Pin<Box<Sleep>>>,
    is_http2: bool,
}

impl TimedStream {
    /// Wraps a connection; the caller records each complete request head in `in_flight`.
    pub fn new(stream: Socket, head_timeout: Duration, in_flight: InFlight) -> TimedStream {
        TimedStream { stream, head_timeout, in_flight, timer: None, is_http2: false }
    }

    fn has_timed_out(&mut self, context: &mut Context<'_>) -> bool {
        if self.in_flight.has_requests() {
            self.timer = None;
        }
        self.timer.as_mut().is_some_and(|timer| timer.as_mut().poll(context).is_ready())
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = &buffer.filled()[before..];
        self.is_http2 |= bytes.starts_with(HTTP2_PREFACE);
        let is_exempt = self.in_flight.has_requests() || self.is_http2;
        if !bytes.is_empty() && !is_exempt && self.timer.is_none() {
            self.timer = Some(Box::pin(tokio::time::sleep(self.head_timeout)));
        }
        if read.is_pending() && self.has_timed_out(context) {
            // The socket is closed next, so a 408 that cannot be written at once is dropped.
            let _ = self.stream.try_write(REQUEST_TIMEOUT_RESPONSE);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // A response is being written and must not be cut off.
        self.timer = None;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.timer = None;
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
