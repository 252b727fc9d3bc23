//! The HTTP server towards callers and other hosts: HTTP/1.1 and HTTP/2 on one port.

use std::convert::Infallible;

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
    Body,
    head::{InFlight, TimedStream},
};

/// Longest time for a client to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The smallest buffer that `hyper` takes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The most requests at once on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1024;

/// How often an HTTP/2 client is asked whether it is still there.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// The wait after a failed accept, so that a lack of descriptors is not made worse.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How connections are treated.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest time for a client to send the head of a request.
    pub head_timeout: Duration,
    /// Longest time for which a connection may stay unused.
    pub idle_timeout: Duration,
    /// The largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// How often an HTTP/2 client is asked whether it is still there.
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

/// Answers requests.
pub trait Handler: Clone + Send + 'static {
    /// What an answer's body holds until it has ended.
    type Guard: Unpin + Send + 'static;

    /// Answers one request of the client at `peer`.
    fn answer(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body<Self::Guard>>> + Send;
}

/// Serves until `stop`, then ends idle connections and waits for the last request in flight.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H, stop: CancellationToken) {
    serve_with(listener, handler, stop, Options::default).await;
}

/// Serves as [`serve`] does; each new connection asks for the options in force.
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
        let stream = TimedStream::new(stream, options.head_timeout, in_flight.clone());
        let service = service_fn(move |request| {
            let guard = in_flight.start_request();
            let handler = handler.clone();
            async move {
                let answer = handler.answer(request, peer).await;
                drop(guard);
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = connection_builder(options)
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        // An error here is the client's: it went away or sent no HTTP.
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
        // `hyper` counts the pause between two requests as part of the next head.
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
