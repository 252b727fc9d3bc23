//! Asks the other hosts of the region whether they live.

use http::StatusCode;
use oleanderspan::{
    entry::roster::{self, LivenessReport, Peer},
    prelude::*,
};
use slog::{info, warn};

use crate::{
    codec,
    gateway::{
        State,
        message::{self, PING_PATH, Ping, Seen},
        state::Shared,
    },
    http::{client, server},
};

/// The longest time for an answer; a lost packet is sent again within it.
const PING_LIMIT: Duration = Duration::from_millis(1_000);

/// How often a silent connection between hosts is probed.
const PEER_SILENCE: Duration = Duration::from_millis(700);

/// How connections to other hosts are treated.
pub fn client_options() -> client::Options {
    client::Options {
        connect_timeout: PING_LIMIT,
        keepalive_interval: Some(PEER_SILENCE),
        ..client::Options::default()
    }
}

/// How connections of other hosts are treated.
pub fn server_options() -> server::Options {
    server::Options { ping_interval: PEER_SILENCE, ..server::Options::default() }
}

/// Asks other hosts in each round, and looks at who has fallen silent.
pub async fn run(state: State) {
    let mut before: Vec<Peer> = Vec::new();
    for round in 0.. {
        tokio::time::sleep(roster::PROBE_INTERVAL).await;
        let zone = state.settings.zone;
        let peers: Vec<Peer> = {
            let beliefs = state.beliefs();
            beliefs.roster.probe_targets(zone, round).into_iter().cloned().collect()
        };
        for peer in peers {
            tokio::spawn(ask(state.clone(), peer));
        }
        // Silence is no event; the snapshot is made again if it changed who lives.
        let live = state.beliefs().roster.live_peers(state.clock.now());
        if live != before {
            for gone in before.iter().filter(|peer| !live.contains(peer)) {
                info!(state.log, "host no longer used"; "host" => %gone.name);
            }
            for new in live.iter().filter(|peer| !before.contains(peer)) {
                info!(state.log, "host used"; "host" => %new.name, "address" => %new.address);
            }
            state.update(|_, _| true);
            before = live;
        }
    }
}

/// What this host says of itself, and of others that it has seen.
pub fn own(state: &Shared, seen: Vec<Seen>) -> Ping {
    Ping {
        host: state.settings.host.to_string(),
        is_leaving: state.stop.has_begun() || !state.snapshot().is_ready(),
        seen,
    }
}

async fn ask(state: State, peer: Peer) {
    let own = own(&state, Vec::new());
    match message::post(&state.peers, peer.address, PING_PATH, &own, PING_LIMIT).await {
        Ok((StatusCode::OK, body)) => {
            let answer: Result<Ping, codec::Error> = codec::from_wire(&body);
            if let Err(error) = &answer {
                info!(state.log, "unreadable answer of a host"; "host" => %peer.name,
                    "reason" => %error);
            }
            // Another host may have taken over the address.
            if let Ok(answer) = answer.as_ref()
                && answer.host == peer.name.as_str()
            {
                state.update(|beliefs, now| {
                    let roster = &mut beliefs.roster;
                    let mut is_news = roster.record_answer(&peer.name, answer.is_leaving, now);
                    for seen in &answer.seen {
                        match LivenessReport::try_from(seen) {
                            Ok(sighting) => is_news |= roster.record_report(&sighting, now),
                            Err(error) => info!(state.log, "host told of has no valid name";
                                "host" => %peer.name, "reason" => %error),
                        }
                    }
                    is_news
                });
            }
        }
        Ok((status, _)) => {
            info!(state.log, "host answered oddly"; "host" => %peer.name, "status" => %status);
        }
        // A refused connection proves that the process is gone; silence is judged by time.
        Err(message::Error::Call(client::Error::Connect(reason))) => {
            let was_live = state.beliefs().roster.live_peers(state.clock.now()).contains(&peer);
            if was_live {
                info!(state.log, "host refuses connections"; "host" => %peer.name,
                    "reason" => reason);
            }
            state.update(|beliefs, now| beliefs.roster.record_failure(&peer.name, now));
        }
        Err(message::Error::Call(_)) => {}
        Err(error @ message::Error::Encode(_)) => {
            warn!(state.log, "cannot ask a host"; "host" => %peer.name, "reason" => %error);
        }
    }
}
