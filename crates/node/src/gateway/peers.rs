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
        message::{self, Liveness, PING_PATH, Ping},
        state::Shared,
    },
    http::{client, server},
};

/// The longest time for an answer; a lost packet is sent again within it.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How often a silent connection between hosts is probed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);

/// How connections to other hosts are treated.
pub fn client_options() -> client::Options {
    client::Options {
        connect_timeout: PING_TIMEOUT,
        silence: Some(KEEP_ALIVE_INTERVAL),
        ..client::Options::default()
    }
}

/// How connections of other hosts are treated.
pub fn server_options() -> server::Options {
    server::Options { ping_interval: KEEP_ALIVE_INTERVAL, ..server::Options::default() }
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
            tokio::spawn(ping(state.clone(), peer));
        }
        // Silence is no event; the snapshot is made again if it changed who lives.
        let live = state.beliefs().roster.live_peers(state.clock.now());
        if live != before {
            for removed in before.iter().filter(|peer| !live.contains(peer)) {
                info!(state.log, "host no longer used"; "host" => %removed.name);
            }
            for added in live.iter().filter(|peer| !before.contains(peer)) {
                info!(state.log, "host used"; "host" => %added.name, "address" => %added.address);
            }
            state.update(|_, _| true);
            before = live;
        }
    }
}

/// What this host says of itself, and of others that it has seen.
pub fn own_ping(state: &Shared, liveness: Vec<Liveness>) -> Ping {
    Ping {
        host: state.settings.host.to_string(),
        is_leaving: state.stop.has_begun() || !state.snapshot().is_ready(),
        liveness,
    }
}

async fn ping(state: State, peer: Peer) {
    let own_ping = own_ping(&state, Vec::new());
    match message::post(&state.peers, peer.address, PING_PATH, &own_ping, PING_TIMEOUT).await {
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
                    let mut has_changed = roster.record_answer(&peer.name, answer.is_leaving, now);
                    for liveness in &answer.liveness {
                        match LivenessReport::try_from(liveness) {
                            Ok(report) => has_changed |= roster.record_report(&report, now),
                            Err(error) => info!(state.log, "host told of has no valid name";
                                "host" => %peer.name, "reason" => %error),
                        }
                    }
                    has_changed
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
