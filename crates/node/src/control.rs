//! Control daemon: documents, membership, shares and the operator interface.
//!
//! No request passes through this daemon, so its code may lock and allocate.

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

/// Time for the entry daemon of this host to learn that the host is leaving, and for other hosts to
/// learn that it no longer dispatches.
const HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Runs the control daemon until `stop` is cancelled, then hands over dispatch and stores the
/// remaining events. Fails if an address cannot be bound.
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

/// Hands dispatch over to other hosts before this daemon stops. After an unannounced stop they
/// would wait for this host for longer than requests may queue.
async fn hand_over_dispatch(state: &State) {
    state.registry.set_control_stopping();
    membership::refresh(state);
    tokio::time::sleep(HANDOVER_DELAY).await;
}
