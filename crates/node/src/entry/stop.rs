//! A planned stop: leave the locate answers first, serve whoever still comes because of a cached
//! answer, and close only after the last of those has run out.

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

/// The time until no other host names this one in locate answers any more.
const LOCATE_PROPAGATION: Duration = Duration::from_secs(3);

/// How long answers ask to close the connection before the port closes.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// The time between two notices to the control daemon, which may have been restarted.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for one notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);

/// Callers are not sent here any more; before that the phase is 0.
const LEAVING: u8 = 1;

/// Connections end with the answer in flight.
const CLOSING: u8 = 2;

/// How far the planned stop of this daemon has come.
#[derive(Debug, Default)]
pub struct Stop {
    phase: AtomicU8,
    closed: CancellationToken,
}

impl Stop {
    /// Whether the daemon was told to stop, so that callers shall not be sent to it.
    pub fn has_begun(&self) -> bool {
        self.phase.load(Ordering::Relaxed) >= LEAVING
    }

    /// Whether connections shall end with the answer in flight.
    pub fn is_closing(&self) -> bool {
        self.phase.load(Ordering::Relaxed) >= CLOSING
    }

    /// Cancelled when the caller port shall close.
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }

    /// Marks that the process was told to stop.
    pub fn begin(&self) {
        self.enter(LEAVING);
    }

    /// Closes the caller port.
    pub fn close(&self) {
        self.closed.cancel();
    }

    fn enter(&self, phase: u8) {
        debug_assert!(self.phase.load(Ordering::Relaxed) + 1 == phase);
        self.phase.store(phase, Ordering::Relaxed);
    }
}

/// Closes the caller port after `stop`, as soon as no caller has a reason to come.
pub async fn run(state: State, control: SocketAddr, stop: CancellationToken) {
    stop.cancelled().await;
    state.stop.begin();
    let notices = tokio::spawn(notify(state.clone(), control));
    let log: &Logger = &state.log;
    let detail = format!("locate answers are kept for {} s", max_age(&state).as_secs());
    state.record(Kind::Stopping, "", detail);
    let started_at = state.clock.now();
    tokio::time::sleep(LOCATE_PROPAGATION).await;
    // The document may have changed meanwhile; an answer keeps the age that it was given with.
    let longest = max_age(&state);
    tokio::time::sleep(
        (LOCATE_PROPAGATION + longest).saturating_sub(state.clock.now().since(started_at)),
    )
    .await;
    state.stop.enter(CLOSING);
    info!(log, "closing");
    tokio::time::sleep(CLOSE_GRACE).await;
    state.stop.close();
    notices.abort();
}

fn max_age(state: &Shared) -> Duration {
    state.snapshot().map_or(Duration::ZERO, |snapshot| snapshot.draft.locate.max_age)
}

/// Tells the control daemon, which tells the other hosts; without it they notice by its silence.
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
