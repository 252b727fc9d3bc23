//! The gateway daemon: entry hosts that take their routes and servers from a platform's store.
//!
//! One process a host; it keeps nothing on a disk. `docs/PLATFORM.md` has the way of a request
//! and what happens when something is away.

pub mod arbiter;
pub mod directory;
pub mod feed;
pub mod forward;
pub mod front;
pub mod grant;
pub mod lending;
pub mod message;
pub mod names;
pub mod objects;
pub mod page;
pub mod peers;
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

pub use names::HeaderNames;
pub use settings::Settings;
pub use source::Source;
pub use state::State;

use crate::http::server;

/// How often waiters are looked after whose servers free up by time alone.
const PUMP_INTERVAL: Duration = Duration::from_millis(100);

/// Runs until `stop` and the end of the last request in flight; `path` is the settings file.
pub async fn run<S: Source>(
    settings: Settings,
    path: PathBuf,
    names: HeaderNames,
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
    // Questions about this host are answered until the very end of a planned stop.
    let last = CancellationToken::new();
    let pages = [directory, ready, metrics];
    let pages = pages.map(|listener| {
        let handler = directory::Directory(state.clone());
        tokio::spawn(server::serve(listener, handler, last.clone()))
    });
    let options = peers::server_options();
    let arbiter = arbiter::Arbiter(state.clone());
    let arbiter = tokio::spawn(server::serve_with(peers, arbiter, last.clone(), move || options));
    let tasks = [
        tokio::spawn(watch::operator(state.clone(), source.clone())),
        tokio::spawn(watch::servers(state.clone(), source.clone())),
        tokio::spawn(watch::hosts(state.clone(), source.clone())),
        tokio::spawn(peers::run(state.clone())),
        tokio::spawn(reload::run(state.clone(), path)),
        tokio::spawn(lending::run(state.clone())),
        tokio::spawn(objects::run(state.clone(), source.clone())),
        tokio::spawn(pump(state.clone())),
    ];
    let front = front::Front(state.clone());
    let connections = state.clone();
    let stopping = tokio::spawn(stop::run(state.clone(), source, stop));
    server::serve_with(callers, front, state.stop.closed(), move || connections.client_options())
        .await;
    let _ = stopping.await;
    tasks.iter().for_each(|task| task.abort());
    last.cancel();
    drop((arbiter, pages));
    info!(state.log, "stopped"; "host" => %state.settings.host);
    Ok(())
}

async fn pump(state: State) {
    loop {
        tokio::time::sleep(PUMP_INTERVAL).await;
        let now = state.clock.now();
        for pool in state.snapshot().pools() {
            pool.serve_waiting(now);
        }
    }
}
