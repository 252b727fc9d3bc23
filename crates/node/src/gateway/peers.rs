//! Asks the other hosts of the region whether they live.

use http::StatusCode;
use oleanderspan::{
    entry::roster::{self, Peer},
    prelude::*,
};
use slog::{info, warn};

use crate::{
    codec,
    gateway::{
        State,
        message::{self, PING_PATH, Ping},
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
        silence: Some(PEER_SILENCE),
        ..client::Options::default()
    }
}

/// How connections of other hosts are treated.
pub fn server_options() -> server::Options {
    server::Options { ping_interval: PEER_SILENCE, ..server::Options::default() }
}

/// Asks every listed host in each round, and looks at who has fallen silent.
pub async fn run(state: State) {
    let mut before: Vec<Peer> = Vec::new();
    loop {
        tokio::time::sleep(roster::INTERVAL).await;
        let peers: Vec<Peer> = state.beliefs().roster.listed().cloned().collect();
        for peer in peers {
            tokio::spawn(ask(state.clone(), peer));
        }
        // Silence is no event; the snapshot is made again if it changed who lives.
        let live = state.beliefs().roster.live(state.clock.now());
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

async fn ask(state: State, peer: Peer) {
    let own = Ping {
        host: state.settings.host.to_string(),
        is_leaving: state.stop.has_begun() || !state.snapshot().is_ready(),
    };
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
                let is_leaving = answer.is_leaving;
                state.update(|beliefs, now| beliefs.roster.answered(&peer.name, is_leaving, now));
            }
        }
        Ok((status, _)) => {
            info!(state.log, "host answered oddly"; "host" => %peer.name, "status" => %status);
        }
        // A refused connection proves that the process is gone; silence is judged by time.
        Err(message::Error::Call(client::Error::Connect(reason))) => {
            let was_live = state.beliefs().roster.live(state.clock.now()).contains(&peer);
            if was_live {
                info!(state.log, "host refuses connections"; "host" => %peer.name,
                    "reason" => reason);
            }
            state.update(|beliefs, _| beliefs.roster.failed(&peer.name));
        }
        Err(message::Error::Call(_)) => {}
        Err(error @ message::Error::Encode(_)) => {
            warn!(state.log, "cannot ask a host"; "host" => %peer.name, "reason" => %error);
        }
    }
}
