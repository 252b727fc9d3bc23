//! Graceful shutdown: the host is first removed from locate answers, then serves callers with
//! cached answers, and closes its port only after those answers have expired.

use std::sync::atomic::{AtomicU8, Ordering};

use bytes::Bytes;
use http::Request;
use oleanderspan::{event::Kind, prelude::*};
use slog::{Logger, info};
use tokio_util::sync::CancellationToken;

use crate::{
    codec,
    entry::{State, state::Shared},
    http::Body,
    wire,
};

/// The time until all other hosts have removed this one from their locate answers.
const LOCATE_PROPAGATION: Duration = Duration::from_secs(3);

/// How long answers ask callers to close the connection before the port is closed.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// The time between two notices to the control daemon. They are repeated as it may have been
/// restarted.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout for sending a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);

/// The phase in which callers are no longer sent to this host; before it the phase is 0.
const LEAVING: u8 = 1;

/// The phase in which connections are closed after the answer in flight.
const CLOSING: u8 = 2;

/// The progress of a graceful shutdown of this daemon.
#[derive(Debug, Default)]
pub struct Stop {
    phase: AtomicU8,
    closed: CancellationToken,
}

impl Stop {
    /// Whether the daemon was told to stop, so that callers must no longer be sent to it.
    pub fn has_begun(&self) -> bool {
        self.phase.load(Ordering::Relaxed) >= LEAVING
    }

    /// Whether connections are to be closed after the answer in flight.
    pub fn is_closing(&self) -> bool {
        self.phase.load(Ordering::Relaxed) >= CLOSING
    }

    /// Returns a token that is cancelled when the caller port is to be closed.
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }

    /// Starts the shutdown: callers are no longer to be sent to this host. Must be called only
    /// once.
    pub fn begin(&self) {
        self.enter(LEAVING);
    }

    /// Closes the caller port, by cancelling the token of [`Stop::closed`].
    pub fn close(&self) {
        self.closed.cancel();
    }

    fn enter(&self, phase: u8) {
        debug_assert!(self.phase.load(Ordering::Relaxed) + 1 == phase);
        self.phase.store(phase, Ordering::Relaxed);
    }
}

/// Waits for `stop`, and closes the caller port once all cached locate answers have expired.
pub async fn run(state: State, control: SocketAddr, stop: CancellationToken) {
    stop.cancelled().await;
    state.stop.begin();
    let notices = tokio::spawn(notify(state.clone(), control));
    let log: &Logger = &state.log;
    let detail = format!("locate answers are kept for {} s", max_age(&state).as_secs());
    state.record(Kind::Stopping, "", detail);
    let started_at = state.clock.now();
    tokio::time::sleep(LOCATE_PROPAGATION).await;
    // The document may have changed meanwhile; an answer keeps the maximum age it was sent with.
    let max_age = max_age(&state);
    tokio::time::sleep(
        (LOCATE_PROPAGATION + max_age).saturating_sub(state.clock.now().since(started_at)),
    )
    .await;
    state.stop.enter(CLOSING);
    info!(log, "closing");
    tokio::time::sleep(CLOSE_GRACE).await;
    state.stop.close();
    notices.abort();
}

fn max_age(state: &Shared) -> Duration {
    state.snapshot().map_or(Duration::ZERO, |snapshot| snapshot.document.locate.max_age)
}

/// Notifies the control daemon, which informs the other hosts. If it is down, they notice its
/// silence.
async fn notify(state: State, control: SocketAddr) {
    let notice = wire::Observation { stopping: true, ..wire::Observation::default() };
    let Ok(body) = codec::to_wire(&notice) else { return };
    let body = Bytes::from(body);
    loop {
        let request = Request::post(format!("http://{control}/observe"));
        let Ok(request) = request.body(Body::from(body.clone())) else { return };
        let _ = state.control.call(request, NOTICE_TIMEOUT).await;
        tokio::time::sleep(NOTICE_INTERVAL).await;
    }
}
