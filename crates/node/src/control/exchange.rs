//! Exchange between control daemons, and the feed of the own entry daemon.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oleanderspan::{
    document::{Hash, Shown, Version},
    event::{Kind, Stamp},
    prelude::*,
};
use slog::debug;

use crate::{
    codec,
    control::{State, parts, source, state::Peer as Heard, timeline},
    entry::feed::POLL_LIMIT,
    http::{Body, server::Handler},
    wire,
};

/// The mean time between two exchanges with a peer.
const INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for one exchange.
const LIMIT: Duration = Duration::from_millis(1_000);

/// The silence after which a host counts as gone.
const SILENCE: Duration = Duration::from_millis(2_500);

/// The largest message between control daemons.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// How often an open question for the next snapshot is looked at.
const FEED_TICK: Duration = Duration::from_millis(20);

/// Exchanges with every peer for ever.
pub async fn run(state: State) {
    loop {
        let peers = state.settings.control.peers.clone();
        for peer in peers {
            let state = state.clone();
            tokio::spawn(async move {
                if let Err(error) = exchange_with(&state, peer).await {
                    debug!(state.log, "no exchange"; "peer" => %peer, "error" => error);
                }
            });
        }
        forget_silent(&state);
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(INTERVAL.mul_f64(jitter)).await;
    }
}

fn forget_silent(state: &State) {
    let now = state.clock.now();
    let gone: Vec<String> = {
        let mut inner = state.lock();
        let silent = |peer: &Heard| now.since(peer.heard) > SILENCE;
        let gone = inner.hosts.iter().filter(|(_, peer)| silent(peer));
        let gone: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        inner.hosts.retain(|_, peer| !silent(peer));
        gone
    };
    for name in gone {
        state.record(Kind::HostChanged, name, "gone");
        state.changed.notify_one();
    }
}

async fn exchange_with(state: &State, peer: SocketAddr) -> Result<(), String> {
    let body = codec::to_wire(&message(state)).map_err(|error| error.to_string())?;
    let request = Request::post(format!("http://{peer}/exchange"))
        .body(Body::from(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let answered = state.peers.call(request, LIMIT).await;
    let (_, body) = answered.map_err(|error| error.to_string())?;
    let answer = codec::from_wire(&body).map_err(|error| error.to_string())?;
    take_over(state, answer).await
}

/// What this host tells others of itself.
pub fn message(state: &State) -> wire::Exchange {
    let from = state.own_host();
    let inner = state.lock();
    let accepted = inner.accepted.as_ref();
    wire::Exchange {
        from,
        stamp: state.hybrid.tick(crate::clock::wall_millis()).get(),
        environment: state.settings.environment.to_string(),
        version: accepted.map_or(0, |accepted| accepted.version.0),
        document: accepted.map(|accepted| accepted.hash),
        leaving: inner.leaving.iter().cloned().collect(),
    }
}

async fn take_over(state: &State, heard: wire::Exchange) -> Result<(), String> {
    if heard.environment != state.settings.environment.as_str() {
        return Err(format!("peer {} serves {}", heard.from.name, heard.environment));
    }
    state.hybrid.observe(Stamp::from_number(heard.stamp));
    for (name, incarnation) in &heard.leaving {
        state.note_leaving(name, *incarnation);
    }
    let address = heard.from.peer_address;
    note_host(state, heard.from);
    let Some(document) = heard.document else { return Ok(()) };
    let shown = Shown { version: Version(heard.version), document };
    let peer = source::Peer { client: &state.peers, address };
    state.learn(shown, &peer).await.map_err(|error| error.to_string())
}

fn note_host(state: &State, host: wire::Host) {
    let heard = state.clock.now();
    let name = host.name.clone();
    let detail = format!("{:?}", host.state).to_lowercase();
    let before = state.lock().hosts.insert(name.clone(), Heard { host: host.clone(), heard });
    if before.is_none_or(|before| before.host != host) {
        state.record(Kind::HostChanged, name, detail);
        state.changed.notify_one();
    }
}

/// Answers other control daemons and the own entry daemon.
#[derive(Clone, Debug)]
pub struct Peer(pub State);

impl Handler for Peer {
    type Guard = ();

    async fn answer(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if let Some(seen) = path.strip_prefix("/snapshot/") {
            return self.snapshot(seen).await;
        }
        let Ok(body) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match (&head.method, path) {
            (&Method::POST, "/exchange") => self.exchange(&body.to_bytes()).await,
            (&Method::GET, "/status") => wire(&message(&self.0)),
            (&Method::GET, "/events") => self.events(),
            (&Method::POST, "/parts") => self.parts(&body.to_bytes()),
            (&Method::POST, "/observe") => self.observe(&body.to_bytes()),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl Peer {
    /// Answers as soon as there is a snapshot after `seen`, or with nothing after a while.
    async fn snapshot(&self, seen: &str) -> Response<Body> {
        let Ok(seen) = seen.parse::<u64>() else { return status(StatusCode::BAD_REQUEST) };
        let until = self.0.clock.now() + POLL_LIMIT;
        while self.0.clock.now() < until {
            let snapshot = self.0.lock().snapshot.clone();
            if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.sequence != seen) {
                return wire(&*snapshot);
            }
            tokio::time::sleep(FEED_TICK).await;
        }
        status(StatusCode::NO_CONTENT)
    }

    /// Answers with the recent events of this host.
    fn events(&self) -> Response<Body> {
        let events = self.0.lock().journal.recent();
        wire(&events.iter().map(wire::Happening::from).collect::<Vec<_>>())
    }

    /// Answers with parts of the document in force.
    fn parts(&self, body: &[u8]) -> Response<Body> {
        let Ok(hashes) = codec::from_wire::<Vec<Hash>>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Some(accepted) = self.0.accepted() else { return status(StatusCode::NOT_FOUND) };
        let part = |hash: &Hash| Some(wire::Blob(accepted.parts.get(hash)?.clone()));
        match hashes.iter().take(parts::MAX_BATCH).map(part).collect() {
            Some(parts) => wire(&wire::Parts { parts }),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    async fn exchange(&self, body: &[u8]) -> Response<Body> {
        let Ok(heard) = codec::from_wire::<wire::Exchange>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let answer = message(&self.0);
        let state = self.0.clone();
        tokio::spawn(async move {
            if let Err(error) = take_over(&state, heard).await {
                debug!(state.log, "exchange not taken over"; "error" => error);
            }
        });
        wire(&answer)
    }

    fn observe(&self, body: &[u8]) -> Response<Body> {
        let Ok(observation) = codec::from_wire::<wire::Observation>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        for (name, incarnation) in &observation.leaving {
            self.0.note_leaving(name, *incarnation);
        }
        timeline::take_over(&self.0, observation.events);
        status(StatusCode::NO_CONTENT)
    }
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}

fn wire<T: serde::Serialize>(value: &T) -> Response<Body> {
    match codec::to_wire(value) {
        Ok(bytes) => Response::new(Body::from(Bytes::from(bytes))),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
