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

use crate::http::Body;

/// Longest time for a client to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The most requests at once on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;

/// How often an HTTP/2 client is asked whether it is still there.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// The wait after a failed accept, so that a lack of descriptors is not made worse.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

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
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.answer(request, peer).await) }
        });
        let connection = builder().serve_connection(TokioIo::new(stream), service).into_owned();
        let watched = graceful.watch(connection);
        // An error here is the client's: it went away or sent no HTTP.
        tokio::spawn(async move {
            let _ = watched.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(PING_INTERVAL)
        .max_header_list_size(MAX_HEAD_BYTES as u32);
    builder
}
