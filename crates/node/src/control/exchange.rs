//! Exchange between control daemons: one message with a section for each concern, each in a
//! module of its own.

mod documents;
mod feed;
mod signs;

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oleanderspan::{
    entry::{
        self, Member,
        membership::{Gossip, PROBE_TIMEOUT, ProbeTarget, ROUND_INTERVAL, Random, jitter},
    },
    event::HybridTimestamp,
    prelude::*,
};
use slog::debug;

use crate::{
    clock::{ThreadRandom, wall_millis},
    codec,
    control::{State, listing, membership, shares, timeline},
    http::{Body, server::Handler},
    wire,
};

/// The longest time for one exchange.
const LIMIT: Duration = PROBE_TIMEOUT;

/// The longest time to fetch what a peer has.
const FETCH_LIMIT: Duration = Duration::from_secs(5);

/// The largest message between control daemons.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The least time between two rounds, however urgent the second one is.
const LEAST_PAUSE: Duration = Duration::from_millis(100);

/// Seeds that are asked in a round while no other host is known.
const FIRST_SEEDS: usize = 3;

/// Rounds for each question to an unknown seed once other hosts are known.
const ROUNDS_PER_SEED: usize = 10;

/// Exchanges with a few peers each round for ever.
pub async fn run(state: State) {
    loop {
        membership::refresh(&state);
        signs::refresh(&state);
        for target in state.registry.round(state.clock.now()) {
            tokio::spawn(ask(state.clone(), target));
        }
        for seed in seeds(&state) {
            let state = state.clone();
            tokio::spawn(async move { exchange_with(&state, seed, None).await });
        }
        tokio::time::sleep(LEAST_PAUSE).await;
        let pause = jitter(ROUND_INTERVAL, &mut ThreadRandom).saturating_sub(LEAST_PAUSE);
        let _ = tokio::time::timeout(pause, state.registry.woken()).await;
    }
}

/// Tells a few peers at once what this host has to say, before it stops.
pub async fn announce_stop(state: &State) {
    state.registry.note_control_stopping();
    membership::refresh(state);
    let targets = state.registry.round(state.clock.now());
    let told =
        targets.iter().map(|target| exchange_with(state, target.peer_address, Some(&target.name)));
    futures_util::future::join_all(told).await;
}

/// The seeds to ask in this round.
fn seeds(state: &State) -> Vec<SocketAddr> {
    let is_alone = state.registry.count() == 1;
    if !is_alone && ThreadRandom.below(ROUNDS_PER_SEED) > 0 {
        return Vec::new();
    }
    let listed = state.lock().list.hosts.clone();
    let known = state.settings.control.peers.iter().copied().chain(listed);
    let mut unknown_seeds = state.registry.unknown_seeds(known);
    let count = if is_alone { FIRST_SEEDS } else { 1 };
    let picked = (0..count.min(unknown_seeds.len()))
        .map(|_| unknown_seeds.swap_remove(ThreadRandom.below(unknown_seeds.len())));
    picked.collect()
}

/// Asks a peer; if it does not answer, lets others ask it before it is suspected.
async fn ask(state: State, target: ProbeTarget) {
    let asked = state.clock.now();
    let Err(error) = exchange_with(&state, target.peer_address, Some(&target.name)).await else {
        return;
    };
    debug!(state.log, "no exchange"; "peer" => target.name.as_str(), "error" => error);
    let again = exchange_with(&state, target.peer_address, Some(&target.name));
    let (again, others) = tokio::join!(again, is_reached_by_others(&state, &target));
    if again.is_ok() || others {
        return;
    }
    state.registry.suspect(&target.name, asked, state.clock.now());
    membership::refresh(&state);
    state.registry.wake();
}

async fn is_reached_by_others(state: &State, target: &ProbeTarget) -> bool {
    let helpers = state.registry.helpers(&target.name);
    let path = format!("/probe/{}", target.peer_address);
    let mut answers: FuturesUnordered<_> =
        helpers.iter().map(|helper| probe_by(state, helper, &path)).collect();
    while let Some(answer) = answers.next().await {
        if answer.is_ok() {
            return true;
        }
    }
    false
}

async fn probe_by(state: &State, helper: &ProbeTarget, path: &str) -> Result<Bytes, String> {
    let request = Request::get(format!("http://{}{path}", helper.peer_address));
    call(state, request.body(Body::empty()), 2 * LIMIT).await
}

/// Exchanges with the peer at an address, which must have the name `expected`, if any.
async fn exchange_with(
    state: &State,
    peer: SocketAddr,
    expected: Option<&entry::Name>,
) -> Result<(), String> {
    let message = message(state, expected);
    let answer = post(state, peer, "/exchange", &message, LIMIT).await?;
    let answer: wire::Exchange = codec::from_wire(&answer).map_err(|error| error.to_string())?;
    let name = answer.members.from.name.clone();
    check(state, &answer)?;
    let state = state.clone();
    tokio::spawn(async move { take_over(&state, answer).await });
    match expected {
        Some(expected) if expected.as_str() != name => Err(format!("{name} answered")),
        _ => Ok(()),
    }
}

/// What this host tells another, or anybody who asks.
pub fn message(state: &State, to: Option<&entry::Name>) -> wire::Exchange {
    wire::Exchange {
        members: state.registry.gossip(to),
        stamp: state.hybrid.tick(wall_millis()).as_u64(),
        environment: state.settings.environment.to_string(),
        document: documents::section(state),
        signs: signs::section(state),
        listing: listing::section(state),
        distribution: shares::section(state),
    }
}

fn check(state: &State, heard: &wire::Exchange) -> Result<(), String> {
    if heard.environment != state.settings.environment.as_str() {
        return Err(format!("peer {} serves {}", heard.members.from.name, heard.environment));
    }
    Ok(())
}

/// Takes every section over; what fails is logged and comes again with a later exchange.
async fn take_over(state: &State, heard: wire::Exchange) {
    let peer = heard.members.from.peer_address;
    state.hybrid.observe(HybridTimestamp::from_u64(heard.stamp));
    shares::take_over(state, &heard.members.from, &heard.distribution);
    let failed = [
        take_over_members(state, peer, &heard.members).await,
        signs::take_over(state, peer, heard.signs).await,
        listing::take_over(state, peer, heard.listing).await,
        documents::take_over(state, peer, heard.document).await,
    ];
    membership::refresh(state);
    for error in failed.into_iter().filter_map(Result::err) {
        debug!(state.log, "exchange not taken over"; "peer" => %peer, "error" => error);
    }
}

/// Takes the members over; compares all of them if something was lost before.
async fn take_over_members(
    state: &State,
    peer: SocketAddr,
    gossip: &wire::Gossip,
) -> Result<(), String> {
    let gossip = Gossip::try_from(gossip).map_err(|error| error.to_string())?;
    if !state.registry.receive(&gossip, state.clock.now()) {
        return Ok(());
    }
    let body = post(state, peer, "/members", &state.registry.digests(), FETCH_LIMIT).await?;
    let hosts: Vec<wire::Host> = codec::from_wire(&body).map_err(|error| error.to_string())?;
    let members: Vec<Member> = hosts.iter().filter_map(|host| host.try_into().ok()).collect();
    state.registry.merge(&members, state.clock.now());
    Ok(())
}

/// Takes note of what the document in force and the platform's list say of servers.
pub(super) fn refresh_signs(state: &State) {
    signs::refresh(state);
}

/// Fetches something from a peer.
pub(super) async fn get(state: &State, peer: SocketAddr, path: &str) -> Result<Bytes, String> {
    let request = Request::get(format!("http://{peer}{path}")).body(Body::empty());
    call(state, request, FETCH_LIMIT).await
}

async fn post<T: serde::Serialize>(
    state: &State,
    peer: SocketAddr,
    path: &str,
    value: &T,
    limit: Duration,
) -> Result<Bytes, String> {
    let body = codec::to_wire(value).map_err(|error| error.to_string())?;
    let request = Request::post(format!("http://{peer}{path}")).body(Body::from(Bytes::from(body)));
    call(state, request, limit).await
}

async fn call(
    state: &State,
    request: http::Result<Request<Body>>,
    limit: Duration,
) -> Result<Bytes, String> {
    let request = request.map_err(|error| error.to_string())?;
    let answered = state.peers.call(request, limit).await;
    match answered.map_err(|error| error.to_string())? {
        (code, body) if code.is_success() => Ok(body),
        (code, _) => Err(format!("unexpected status {code}")),
    }
}

/// Answers other control daemons and the own entry daemon.
#[derive(Clone, Debug)]
pub struct Peer(pub State);

impl Handler for Peer {
    type Guard = ();

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let (head, body) = request.into_parts();
        let state = &self.0;
        let path = head.uri.path();
        let (place, rest) = path
            .trim_start_matches('/')
            .split_once('/')
            .unwrap_or((path.trim_start_matches('/'), ""));
        match (&head.method, place) {
            (&Method::GET, "snapshot") => return feed::snapshot(state, rest).await,
            (&Method::GET, "status") => return wire(&message(state, None)),
            (&Method::GET, "events") => return timeline::answer(state),
            (&Method::GET, "list") => return listing::answer(state, rest),
            (&Method::GET, "signs") => return signs::answer(state),
            (&Method::GET, "probe") => return self.probe(rest).await,
            _ => {}
        }
        let Ok(body) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match (&head.method, path) {
            (&Method::POST, "/exchange") => self.exchange(&body.to_bytes()),
            (&Method::POST, "/members") => self.members(&body.to_bytes()),
            (&Method::POST, "/parts") => documents::parts(state, &body.to_bytes()),
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
        let Ok(from) = entry::Name::try_from(heard.members.from.name.as_str()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if let Err(error) = check(&self.0, &heard) {
            debug!(self.0.log, "exchange refused"; "error" => error);
            return status(StatusCode::MISDIRECTED_REQUEST);
        }
        let answer = message(&self.0, Some(&from));
        let state = self.0.clone();
        tokio::spawn(async move { take_over(&state, heard).await });
        wire(&answer)
    }

    /// Asks another host for a third one that got no answer from it.
    async fn probe(&self, address: &str) -> Response<Body> {
        let Ok(address) = address.parse() else { return status(StatusCode::BAD_REQUEST) };
        match exchange_with(&self.0, address, None).await {
            Ok(()) => status(StatusCode::NO_CONTENT),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }

    fn members(&self, body: &[u8]) -> Response<Body> {
        match codec::from_wire::<Vec<u64>>(body) {
            Ok(digests) => wire(&self.0.registry.differing(&digests)),
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }
}

pub(super) fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}

pub(super) fn wire<T: serde::Serialize>(value: &T) -> Response<Body> {
    match codec::to_wire(value) {
        Ok(bytes) => Response::new(Body::from(Bytes::from(bytes))),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
