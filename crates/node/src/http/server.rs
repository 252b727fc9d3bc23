//! HTTP server for callers and other hosts: HTTP/1.1 and HTTP/2 on one port.

use std::io;

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use oleanderspan::prelude::*;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::http::{
    Body, Socket,
    head::{InFlight, TimedStream},
};

/// Default time within which a client has to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Default limit on the size of a request head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Smallest buffer that `hyper` accepts; it panics below.
pub(crate) const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limit on concurrent requests on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1024;

/// Default interval of HTTP/2 keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Delay after a failed accept, so that the loop does not spin while file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits and timeouts of connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time within which a client has to send a request head; it gets a 408 otherwise (HTTP/1.1).
    pub head_timeout: Duration,
    /// Time after which an unused HTTP/1.1 connection is closed; at least `head_timeout` applies.
    pub idle_timeout: Duration,
    /// Limit on the size of a request head, in bytes; for HTTP/1.1 at least 8 KiB.
    pub max_head_bytes: usize,
    /// Interval of HTTP/2 keep-alive pings, and the time within which they must be acknowledged.
    pub ping_interval: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            head_timeout: HEAD_TIMEOUT,
            idle_timeout: HEAD_TIMEOUT,
            max_head_bytes: MAX_HEAD_BYTES,
            ping_interval: PING_INTERVAL,
        }
    }
}

/// Responds to requests.
pub trait Handler: Clone + Send + 'static {
    /// Resource that a response body holds until it has ended.
    type Guard: Unpin + Send + 'static;

    /// Responds to one request of the client at `peer`.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body<Self::Guard>>> + Send;
}

/// Serves until `stop` is cancelled, then closes idle connections and waits for the requests in
/// flight.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H, stop: CancellationToken) {
    serve_with(listener, handler, stop, Options::default).await;
}

/// Serves as [`serve`] does; `options` is called for each new connection.
pub async fn serve_with<H: Handler>(
    listener: TcpListener,
    handler: H,
    stop: CancellationToken,
    options: impl Fn() -> Options,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let options = options();
        let in_flight = InFlight::default();
        let socket = Socket::new(stream);
        let stream = TimedStream::new(socket.clone(), options.head_timeout, in_flight.clone());
        let service = service_fn(move |request| {
            let guard = in_flight.start_request();
            let handler = handler.clone();
            let socket = socket.clone();
            async move {
                // While `hyper` holds a pipelined request it does not read on, so that it would
                // notice only after the response that the client has left, and serve the next one.
                let response = tokio::select! {
                    biased;
                    () = socket.closed() => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
                    response = handler.handle(request, peer) => Ok(response),
                };
                drop(guard);
                response
            }
        });
        let connection = connection_builder(options)
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        // Errors are caused by the client, which disconnected or sent invalid HTTP.
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection_builder(options: Options) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // `hyper` counts the idle time between two requests as part of reading the next head.
        .header_read_timeout(options.idle_timeout.max(options.head_timeout))
        .max_buf_size(options.max_head_bytes.max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .keep_alive_interval(options.ping_interval)
        .keep_alive_timeout(options.ping_interval)
        .max_header_list_size(u32::try_from(options.max_head_bytes).unwrap_or(u32::MAX));
    builder
}
