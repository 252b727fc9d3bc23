//! The control daemon: documents, membership, shares and the operator interface.
//!
//! Nothing here is on the path of a request, so locks and allocations are fine.

pub mod acceptance;
pub mod exchange;
pub mod listing;
pub mod membership;
pub mod operator;
pub mod parts;
pub mod publication;
pub mod shares;
pub mod source;
pub mod state;
pub mod survey;
pub mod timeline;

use std::io;

use oleanderspan::event::Kind;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use state::State;

use crate::{http::server, settings::Settings};

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
    let goodbye = async {
        stop.cancelled().await;
        exchange::say_goodbye(&state).await;
    };
    tokio::join!(server::serve(peers, exchange::Peer(state.clone()), stop.clone()), goodbye);
    state.record(Kind::Stopping, "", "");
    for task in &tasks {
        task.abort();
    }
    timeline::flush(&state).await;
    operators.close().await.map_err(io::Error::other)
}
