//! Limits the time that a client takes for the head of a request, apart from the time for which its
//! connection may stay unused, which `hyper` takes for one.

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
    net::TcpStream,
    time::Sleep,
};

/// What a client is told that was too slow; nothing of its request was passed on.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What an HTTP/2 connection begins with; its heads are limited by `hyper`'s own settings.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";

/// The requests of a connection whose heads were read and that are not answered yet. While there
/// are any, what is read may be a body, and a 408 would say falsely that nothing was passed on.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicU32>);

/// A request that is not answered yet.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicU32>);

impl InFlight {
    /// The whole head of a request is there.
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

/// A connection that ends with 408 if a head takes too long.
#[derive(Debug)]
pub struct TimedStream {
    stream: TcpStream,
    head_timeout: Duration,
    in_flight: InFlight,
    /// Runs while a part of a head is there.
    timer: Option<Pin<Box<Sleep>>>,
    is_http2: bool,
}

impl TimedStream {
    /// Limits the heads of a connection; `in_flight` has to be told of each whole one.
    pub fn new(stream: TcpStream, head_timeout: Duration, in_flight: InFlight) -> TimedStream {
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
            // The socket is about to be closed; a client that reads nothing learns of it by that.
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
        // An answer is on its way, which must not be cut.
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
