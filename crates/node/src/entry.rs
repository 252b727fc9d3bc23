//! The entry daemon: accepts requests from callers, routes them and dispatches them to backend
//! servers.

pub mod claims;
pub mod counters;
pub mod dispatch;
pub mod feed;
pub mod front;
pub mod health;
pub mod jobs;
pub mod load_report;
pub mod outbound;
pub mod refusal;
pub mod relay;
pub mod routing;
pub mod slot;
pub mod state;
pub mod stop;

use std::io;

use oleanderspan::event::Kind;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use state::State;

use crate::{http::server, settings::Settings};

/// Runs the daemon until `stop` is cancelled and the last request in flight has ended.
///
/// Returns an error if a port cannot be bound or the metrics cannot be set up.
pub async fn run(settings: Settings, log: Logger, stop: CancellationToken) -> io::Result<()> {
    let callers = TcpListener::bind(settings.entry.caller_address).await?;
    let relays = TcpListener::bind(settings.entry.relay_address).await?;
    info!(log, "listening"; "callers" => %settings.entry.caller_address,
        "relays" => %settings.entry.relay_address);
    let state = State::start(&settings, log)?;
    let counts = tokio::spawn(send_counters(state.clone()));
    state.record(Kind::Started, "", "");
    let feed = tokio::spawn(feed::run(state.clone(), settings.control.peer_address));
    tokio::spawn(jobs::runner::run(state.clone()));
    let load_report = tokio::spawn(load_report::run(state.clone(), settings.control.peer_address));
    // Other hosts relay requests to this one until they learn that it is leaving, so the relay port
    // stays open until this host has served its own callers.
    let relay_stop = CancellationToken::new();
    let relay =
        tokio::spawn(server::serve(relays, relay::Relay(state.clone()), relay_stop.clone()));
    let health = tokio::spawn(health::run(state.clone()));
    tokio::spawn(stop::run(state.clone(), settings.control.peer_address, stop));
    server::serve(callers, front::Front(state.clone()), state.stop.closed()).await;
    state.claims.drain().await;
    relay_stop.cancel();
    let _ = relay.await;
    feed.abort();
    load_report.abort();
    health.abort();
    counts.abort();
    Ok(())
}

async fn send_counters(state: State) {
    let mut previous = state.counters.read();
    loop {
        tokio::time::sleep(counters::SEND_INTERVAL).await;
        let now = state.counters.read();
        now.send_since(&previous, &state.metrics);
        previous = now;
    }
}
