//! Exchange between control daemons: one message with a section for each concern, each in a
//! module of its own.

mod documents;
mod feed;
mod signs;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oleanderspan::{event::Stamp, prelude::*};
use slog::debug;

use crate::{
    clock::wall_millis,
    codec,
    control::{State, membership},
    http::{Body, server::Handler},
    wire,
};

/// The mean time between two exchanges with a peer.
const INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for one exchange.
const LIMIT: Duration = Duration::from_millis(1_000);

/// The largest message between control daemons.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

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
        membership::forget_silent(&state);
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(INTERVAL.mul_f64(jitter)).await;
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

fn message(state: &State) -> wire::Exchange {
    wire::Exchange {
        from: state.own_host(),
        stamp: state.hybrid.tick(wall_millis()).get(),
        environment: state.settings.environment.to_string(),
        document: documents::section(state),
        signs: signs::section(state),
    }
}

async fn take_over(state: &State, heard: wire::Exchange) -> Result<(), String> {
    if heard.environment != state.settings.environment.as_str() {
        return Err(format!("peer {} serves {}", heard.from.name, heard.environment));
    }
    let address = heard.from.peer_address;
    state.hybrid.observe(Stamp::from_number(heard.stamp));
    signs::take_over(state, &heard.signs);
    membership::note_host(state, heard.from);
    documents::take_over(state, address, heard.document).await
}

/// Answers other control daemons and the own entry daemon.
#[derive(Clone, Debug)]
pub struct Peer(pub State);

impl Handler for Peer {
    type Guard = ();

    async fn answer(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let (head, body) = request.into_parts();
        let state = &self.0;
        let path = head.uri.path();
        let (place, rest) = path.trim_start_matches('/').split_once('/').unwrap_or((path, ""));
        match (&head.method, place) {
            (&Method::GET, "snapshot") => return feed::snapshot(state, rest).await,
            (&Method::GET, "blocks") => return feed::blocks(state),
            (&Method::GET, "document") => return documents::answer(state, rest),
            _ => {}
        }
        let Ok(body) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match (&head.method, path) {
            (&Method::POST, "/exchange") => self.exchange(&body.to_bytes()),
            (&Method::POST, "/observe") => feed::observe(state, &body.to_bytes()),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl Peer {
    fn exchange(&self, body: &[u8]) -> Response<Body> {
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
