//! Exchange between control daemons: one message with a section for each concern. Most sections
//! have their own module.

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

/// Time-out of one exchange.
const EXCHANGE_TIMEOUT: Duration = PROBE_TIMEOUT;

/// Time-out for fetching data from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a message between control daemons.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Minimum time between two rounds, which also applies to a round that was requested early.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Number of seeds contacted in a round while no other host is known.
const INITIAL_SEEDS: usize = 3;

/// Mean number of rounds between contacts to unknown seeds once other hosts are known.
const ROUNDS_PER_SEED: usize = 10;

/// Runs the rounds of exchanges with a few peers each, without end.
pub async fn run(state: State) {
    loop {
        membership::refresh(&state);
        signs::refresh(&state);
        for target in state.registry.start_round(state.clock.now()) {
            tokio::spawn(probe_peer(state.clone(), target));
        }
        for seed in seeds(&state) {
            let state = state.clone();
            tokio::spawn(async move { exchange_with(&state, seed, None).await });
        }
        tokio::time::sleep(MIN_ROUND_INTERVAL).await;
        let pause = jitter(ROUND_INTERVAL, &mut ThreadRandom).saturating_sub(MIN_ROUND_INTERVAL);
        let _ = tokio::time::timeout(pause, state.registry.round_requested()).await;
    }
}

/// Announces the stop of this host to a few peers at once.
pub async fn announce_stop(state: &State) {
    state.registry.set_control_stopping();
    membership::refresh(state);
    let targets = state.registry.start_round(state.clock.now());
    let exchanges =
        targets.iter().map(|target| exchange_with(state, target.peer_address, Some(&target.name)));
    futures_util::future::join_all(exchanges).await;
}

/// Chooses the unknown seeds to contact in this round.
fn seeds(state: &State) -> Vec<SocketAddr> {
    let is_alone = state.registry.count() == 1;
    if !is_alone && ThreadRandom.below(ROUNDS_PER_SEED) > 0 {
        return Vec::new();
    }
    let listed = state.lock().list.hosts.clone();
    let known = state.settings.control.peers.iter().copied().chain(listed);
    let mut unknown_seeds = state.registry.unknown_seeds(known);
    let count = if is_alone { INITIAL_SEEDS } else { 1 };
    let selected = (0..count.min(unknown_seeds.len()))
        .map(|_| unknown_seeds.swap_remove(ThreadRandom.below(unknown_seeds.len())));
    selected.collect()
}

/// Probes a peer. If the exchange fails, it is retried while other hosts probe the peer; if no
/// probe succeeds, the peer is suspected.
async fn probe_peer(state: State, target: ProbeTarget) {
    let started = state.clock.now();
    let Err(error) = exchange_with(&state, target.peer_address, Some(&target.name)).await else {
        return;
    };
    debug!(state.log, "exchange with peer failed; retrying directly and through other hosts";
        "peer" => target.name.as_str(), "error" => error);
    let retry = exchange_with(&state, target.peer_address, Some(&target.name));
    let (retry, is_reachable) = tokio::join!(retry, is_reachable_indirectly(&state, &target));
    if retry.is_ok() || is_reachable {
        return;
    }
    state.registry.suspect(&target.name, started, state.clock.now());
    membership::refresh(&state);
    state.registry.request_round();
}

async fn is_reachable_indirectly(state: &State, target: &ProbeTarget) -> bool {
    let probers = state.registry.indirect_probers(&target.name);
    let path = format!("/probe/{}", target.peer_address);
    let mut answers: FuturesUnordered<_> =
        probers.iter().map(|prober| probe_via(state, prober, &path)).collect();
    while let Some(answer) = answers.next().await {
        if answer.is_ok() {
            return true;
        }
    }
    false
}

async fn probe_via(state: &State, prober: &ProbeTarget, path: &str) -> Result<Bytes, String> {
    let request = Request::get(format!("http://{}{path}", prober.peer_address));
    call(state, request.body(Body::empty()), 2 * EXCHANGE_TIMEOUT).await
}

/// Exchanges messages with the peer at an address. Fails if a name is `expected` and another host
/// answers; its message is applied all the same.
async fn exchange_with(
    state: &State,
    peer: SocketAddr,
    expected: Option<&entry::Name>,
) -> Result<(), String> {
    let message = message(state, expected);
    let answer = post(state, peer, "/exchange", &message, EXCHANGE_TIMEOUT).await?;
    let answer: wire::Exchange = codec::from_wire(&answer).map_err(|error| error.to_string())?;
    let name = answer.members.from.name.clone();
    check_environment(state, &answer)?;
    let state = state.clone();
    tokio::spawn(async move { apply(&state, answer).await });
    match expected {
        Some(expected) if expected.as_str() != name => {
            Err(format!("host {name} answered instead of {expected}"))
        }
        _ => Ok(()),
    }
}

/// The message of this host for the peer `to`, or for a reader that is not a member.
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

fn check_environment(state: &State, received: &wire::Exchange) -> Result<(), String> {
    if received.environment != state.settings.environment.as_str() {
        return Err(format!(
            "peer {} serves environment {}",
            received.members.from.name, received.environment
        ));
    }
    Ok(())
}

/// Applies every section of a message. A section that fails is logged; later exchanges repeat its
/// content.
async fn apply(state: &State, received: wire::Exchange) {
    let peer = received.members.from.peer_address;
    state.hybrid.observe(HybridTimestamp::from_u64(received.stamp));
    shares::apply(state, &received.members.from, &received.distribution);
    let failed = [
        apply_members(state, peer, &received.members).await,
        signs::apply(state, peer, received.signs).await,
        listing::apply(state, peer, received.listing).await,
        documents::apply(state, peer, received.document).await,
    ];
    membership::refresh(state);
    for error in failed.into_iter().filter_map(Result::err) {
        debug!(state.log, "section of an exchange not applied; later exchanges repeat it";
            "peer" => %peer, "error" => error);
    }
}

/// Applies membership changes; compares the whole membership if earlier changes may have been lost.
async fn apply_members(
    state: &State,
    peer: SocketAddr,
    gossip: &wire::Gossip,
) -> Result<(), String> {
    let gossip = Gossip::try_from(gossip).map_err(|error| error.to_string())?;
    if !state.registry.receive(&gossip, state.clock.now()) {
        return Ok(());
    }
    let body = post(state, peer, "/members", &state.registry.digests(), FETCH_TIMEOUT).await?;
    let hosts: Vec<wire::Host> = codec::from_wire(&body).map_err(|error| error.to_string())?;
    let members: Vec<Member> = hosts.iter().filter_map(|host| host.try_into().ok()).collect();
    state.registry.merge(&members, state.clock.now());
    Ok(())
}

/// Records the servers that are leaving according to the document in force or the platform's list.
pub(super) fn refresh_signs(state: &State) {
    signs::refresh(state);
}

/// Sends a GET request to a peer and returns the body of the answer.
pub(super) async fn get(state: &State, peer: SocketAddr, path: &str) -> Result<Bytes, String> {
    let request = Request::get(format!("http://{peer}{path}")).body(Body::empty());
    call(state, request, FETCH_TIMEOUT).await
}

async fn post<T: serde::Serialize>(
    state: &State,
    peer: SocketAddr,
    path: &str,
    value: &T,
    timeout: Duration,
) -> Result<Bytes, String> {
    let body = codec::to_wire(value).map_err(|error| error.to_string())?;
    let request = Request::post(format!("http://{peer}{path}")).body(Body::from(Bytes::from(body)));
    call(state, request, timeout).await
}

async fn call(
    state: &State,
    request: http::Result<Request<Body>>,
    timeout: Duration,
) -> Result<Bytes, String> {
    let request = request.map_err(|error| error.to_string())?;
    let response = state.peers.call(request, timeout).await;
    match response.map_err(|error| error.to_string())? {
        (code, body) if code.is_success() => Ok(body),
        (code, _) => Err(format!("unexpected status {code}")),
    }
}

/// Handler of requests from other control daemons and from the entry daemon of this host.
#[derive(Clone, Debug)]
pub struct Peer(pub State);

impl Handler for Peer {
    type Guard = ();

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let (head, body) = request.into_parts();
        let state = &self.0;
        let path = head.uri.path();
        let (resource, rest) = path
            .trim_start_matches('/')
            .split_once('/')
            .unwrap_or((path.trim_start_matches('/'), ""));
        match (&head.method, resource) {
            (&Method::GET, "snapshot") => return feed::snapshot(state, rest).await,
            (&Method::GET, "status") => return wire_response(&message(state, None)),
            (&Method::GET, "events") => return timeline::answer(state),
            (&Method::GET, "list") => return listing::answer(state, rest),
            (&Method::GET, "signs") => return signs::answer(state),
            (&Method::GET, "probe") => return self.probe(rest).await,
            _ => {}
        }
        let Ok(body) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
            return status_response(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match (&head.method, path) {
            (&Method::POST, "/exchange") => self.exchange(&body.to_bytes()),
            (&Method::POST, "/members") => self.members(&body.to_bytes()),
            (&Method::POST, "/parts") => documents::parts(state, &body.to_bytes()),
            (&Method::POST, "/observe") => feed::observe(state, &body.to_bytes()),
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }
}

impl Peer {
    fn exchange(&self, body: &[u8]) -> Response<Body> {
        let Ok(received) = codec::from_wire::<wire::Exchange>(body) else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let Ok(from) = entry::Name::try_from(received.members.from.name.as_str()) else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        if let Err(error) = check_environment(&self.0, &received) {
            debug!(self.0.log, "exchange refused: peer belongs to another environment";
                "error" => error);
            return status_response(StatusCode::MISDIRECTED_REQUEST);
        }
        let answer = message(&self.0, Some(&from));
        let state = self.0.clone();
        tokio::spawn(async move { apply(&state, received).await });
        wire_response(&answer)
    }

    /// Probes a host on behalf of a third one that got no answer from it.
    async fn probe(&self, address: &str) -> Response<Body> {
        let Ok(address) = address.parse() else { return status_response(StatusCode::BAD_REQUEST) };
        match exchange_with(&self.0, address, None).await {
            Ok(()) => status_response(StatusCode::NO_CONTENT),
            Err(_) => status_response(StatusCode::BAD_GATEWAY),
        }
    }

    fn members(&self, body: &[u8]) -> Response<Body> {
        match codec::from_wire::<Vec<u64>>(body) {
            Ok(digests) => wire_response(&self.0.registry.differing_members(&digests)),
            Err(_) => status_response(StatusCode::BAD_REQUEST),
        }
    }
}

pub(super) fn status_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}

pub(super) fn wire_response<T: serde::Serialize>(value: &T) -> Response<Body> {
    match codec::to_wire(value) {
        Ok(bytes) => Response::new(Body::from(Bytes::from(bytes))),
        Err(_) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
