//! The control daemon: documents, membership, shares and the operator interface.
//!
//! Nothing here is on the path of a request, so locks and allocations are fine.

pub mod acceptance;
pub mod exchange;
pub mod listing;
pub mod membership;
pub mod operator;
pub mod parts;
pub mod peer_query;
pub mod publication;
pub mod shares;
pub mod source;
pub mod state;
pub mod timeline;

use std::{io, time::Duration};

use oleanderspan::event::Kind;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use state::State;

use crate::{http::server, settings::Settings};

/// The time in which the own entry daemon learns that the host leaves, and other hosts that it
/// dispatches no more.
const HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Runs until `stop`.
pub async fn run(settings: Settings, log: Logger, stop: CancellationToken) -> io::Result<()> {
    let peers = TcpListener::bind(settings.control.peer_address).await?;
    info!(log, "listening"; "operators" => %settings.control.operator_address,
        "peers" => %settings.control.peer_address);
    let state = State::start(settings, log);
    let operators = operator::serve(state.clone()).map_err(io::Error::other)?;
    let tasks = [
        tokio::spawn(acceptance::watch(state.clone())),
        tokio::spawn(listing::watch(state.clone())),
        tokio::spawn(exchange::run(state.clone())),
        tokio::spawn(publication::run(state.clone())),
        tokio::spawn(timeline::run(state.clone())),
        tokio::spawn(shares::record(state.clone())),
    ];
    let closed = CancellationToken::new();
    let announcement = async {
        stop.cancelled().await;
        hand_over_dispatch(&state).await;
        exchange::announce_stop(&state).await;
        closed.cancel();
    };
    tokio::join!(server::serve(peers, exchange::Peer(state.clone()), closed.clone()), announcement);
    state.record(Kind::Stopping, "", "");
    for task in &tasks {
        task.abort();
    }
    timeline::flush(&state).await;
    operators.close().await.map_err(io::Error::other)
}

/// Leaves the dispatch to other hosts before the stop, as they would have to wait for this one
/// longer than requests may queue.
async fn hand_over_dispatch(state: &State) {
    state.registry.set_control_stopping();
    membership::refresh(state);
    tokio::time::sleep(HANDOVER_DELAY).await;
}
