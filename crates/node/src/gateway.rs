//! The gateway daemon: entry hosts that read their routes and servers from a platform's store.
//!
//! One process runs per host and keeps no state on disk. `docs/PLATFORM.md` describes the path of a
//! request and the behaviour when a dependency is unavailable.

pub mod arbiter;
pub mod directory;
pub mod feed;
pub mod follow;
pub mod forward;
pub mod front;
pub mod grant;
pub mod lending;
pub mod message;
pub mod names;
pub mod notice;
pub mod objects;
pub mod page;
pub mod peers;
pub mod quotas;
pub mod reload;
pub mod settings;
pub mod slots;
pub mod source;
pub mod state;
pub mod stop;
pub mod watch;

use std::{io, path::PathBuf};

use oleanderspan::prelude::*;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use names::Headers;
pub use settings::Settings;
pub use source::Source;
pub use state::State;

use crate::http::server;

/// How often queued requests are served whose servers become available by the passage of time
/// alone, so that no released slot triggers it.
const QUEUE_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the gateway until `stop` is cancelled and the last request in flight has ended. `path` is
/// the settings file, which is read again on SIGHUP. Fails if a listener cannot be bound.
pub async fn run<S: Source>(
    settings: Settings,
    path: PathBuf,
    names: Headers,
    source: S,
    log: Logger,
    stop: CancellationToken,
) -> io::Result<()> {
    let listen = &settings.listen;
    let callers = TcpListener::bind(listen.callers).await?;
    let peers = TcpListener::bind(listen.peers).await?;
    let directory = TcpListener::bind(listen.directory).await?;
    let ready = TcpListener::bind(listen.ready).await?;
    let metrics = TcpListener::bind(listen.metrics).await?;
    info!(log, "started"; "host" => %settings.host, "callers" => %listen.callers,
        "peers" => %listen.peers, "store" => %settings.store.address);
    let state = State::start(settings, names, log);
    // The internal listeners stay open until a planned stop has completed, so that health checks
    // and other hosts still get answers.
    let internal_stop = CancellationToken::new();
    let pages = [directory, ready, metrics];
    let pages = pages.map(|listener| {
        let handler = directory::Directory(state.clone());
        tokio::spawn(server::serve(listener, handler, internal_stop.clone()))
    });
    let options = peers::server_options();
    let arbiter = arbiter::Arbiter(state.clone());
    let arbiter =
        tokio::spawn(server::serve_with(peers, arbiter, internal_stop.clone(), move || options));
    let tasks = [
        tokio::spawn(watch::operator(state.clone(), source.clone())),
        tokio::spawn(watch::servers(state.clone(), source.clone())),
        tokio::spawn(watch::hosts(state.clone(), source.clone())),
        tokio::spawn(peers::run(state.clone())),
        tokio::spawn(reload::run(state.clone(), path)),
        tokio::spawn(lending::run(state.clone())),
        tokio::spawn(quotas::run(state.clone())),
        tokio::spawn(objects::run(state.clone(), source.clone())),
        tokio::spawn(serve_queues(state.clone())),
    ];
    let front = front::Front(state.clone());
    let connections = state.clone();
    let stopping = tokio::spawn(stop::run(state.clone(), source, stop));
    let serving = server::serve_with(callers, front, state.stop.closed(), move || {
        connections.client_options()
    });
    tokio::select! {
        () = serving => {}
        () = stop::exit(&state) => {}
    }
    let _ = stopping.await;
    tasks.iter().for_each(|task| task.abort());
    internal_stop.cancel();
    drop((arbiter, pages));
    info!(state.log, "stopped"; "host" => %state.settings.host);
    Ok(())
}

async fn serve_queues(state: State) {
    loop {
        tokio::time::sleep(QUEUE_INTERVAL).await;
        let now = state.clock.now();
        for pool in state.snapshot().pools() {
            pool.serve_waiting(now);
        }
    }
}
