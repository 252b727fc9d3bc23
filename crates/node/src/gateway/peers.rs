//! Failure detection among the hosts of a region, by periodic pings.

use http::StatusCode;
use oleanderspan::{
    entry::roster::{self, Peer, Report},
    prelude::*,
};
use slog::{info, warn};

use crate::{
    codec,
    gateway::{
        State, feed,
        message::{self, Liveness, PING_PATH, Ping, millis},
        state::Shared,
    },
    http::{client, server},
};

/// Upper limit for a ping; leaves time to retransmit a lost packet.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval of keep-alive probes on a silent connection between hosts.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(700);

/// Limit on the body of an answer of another host: the largest one passes on a page of the store.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Time-outs and limits of connections to other hosts.
pub fn client_options() -> client::Options {
    client::Options {
        connect_timeout: PING_TIMEOUT,
        keepalive_interval: Some(KEEP_ALIVE_INTERVAL),
        max_response_bytes: MAX_ANSWER_BYTES,
        ..client::Options::default()
    }
}

/// Keep-alive interval of connections from other hosts.
pub fn server_options() -> server::Options {
    server::Options { ping_interval: KEEP_ALIVE_INTERVAL, ..server::Options::default() }
}

/// Pings the probe targets of each round, and publishes a new snapshot when the set of live hosts
/// changes.
pub async fn run(state: State) {
    let mut before: Vec<Peer> = Vec::new();
    let mut silence = state.silence.subscribe();
    for round in 0.. {
        // Others may be waiting for a call that was lost in the same silence.
        let has_met_silence = async {
            let _ = silence.changed().await;
            let now = state.clock.now();
            if silence.borrow_and_update().report(now).is_none() {
                std::future::pending::<()>().await;
            }
        };
        let _ = tokio::time::timeout(roster::PROBE_INTERVAL, has_met_silence).await;
        let zone = state.settings.zone;
        let peers: Vec<Peer> = {
            let view = state.view();
            view.roster.probe_targets(zone, round).into_iter().cloned().collect()
        };
        for peer in peers {
            tokio::spawn(ping(state.clone(), peer));
        }
        // A host that stops answering causes no event, so the set of live hosts is compared with
        // that of the previous round.
        let live = state.view().roster.live_peers(state.clock.now());
        if live != before {
            for removed in before.iter().filter(|peer| !live.contains(peer)) {
                info!(state.log, "host is no longer live; not used until it answers";
                    "host" => %removed.name);
            }
            for added in live.iter().filter(|peer| !before.contains(peer)) {
                info!(state.log, "host used"; "host" => %added.name, "address" => %added.address);
            }
            state.update(|_, _| true);
            before = live;
        }
    }
}

/// The ping or ping answer of this host, with the liveness of the other hosts that it has observed.
pub fn own_ping(state: &Shared, liveness: Vec<Liveness>) -> Ping {
    Ping {
        host: state.settings.host.to_string(),
        is_leaving: state.stop.has_begun() || !state.snapshot().is_ready(),
        liveness,
        changes: feed::latest_changes(state),
        silence_age_ms: state.silence_age().map(millis),
    }
}

async fn ping(state: State, peer: Peer) {
    let own_ping = own_ping(&state, Vec::new());
    match message::post(&state.peer_client, peer.address, PING_PATH, &own_ping, PING_TIMEOUT).await
    {
        Ok((StatusCode::OK, body)) => {
            let answer: Result<Ping, codec::Error> = codec::from_wire(&body);
            if let Err(error) = &answer {
                info!(state.log, "could not decode the answer to a ping; ignoring it";
                    "host" => %peer.name, "reason" => %error);
            }
            // The address may have been reassigned to another host.
            if let Ok(answer) = answer.as_ref()
                && answer.host == peer.name.as_str()
            {
                feed::record_changes(&state, &peer.name, &answer.changes);
                state.record_silence(&peer.name, answer.silence_age_ms);
                state.update(|view, now| {
                    let roster = &mut view.roster;
                    let mut has_changed = roster.record_answer(&peer.name, answer.is_leaving, now);
                    for liveness in &answer.liveness {
                        match Report::try_from(liveness) {
                            Ok(report) => has_changed |= roster.record_report(&report, now),
                            Err(error) => info!(state.log, "invalid host name in liveness report";
                                "host" => %peer.name, "reason" => %error),
                        }
                    }
                    has_changed
                });
            }
        }
        Ok((status, _)) => {
            info!(state.log, "ping answered with an unexpected status; ignoring it";
                "host" => %peer.name, "status" => %status);
        }
        // A refused connection proves that the process is gone; time-outs are left to the roster.
        Err(message::Error::Call(client::Error::Connect(reason))) => {
            let was_live = state.view().roster.live_peers(state.clock.now()).contains(&peer);
            if was_live {
                info!(state.log, "host refuses connections; recording a failure";
                    "host" => %peer.name, "reason" => reason);
            }
            state.update(|view, now| view.roster.record_failure(&peer.name, now));
        }
        Err(message::Error::Call(_)) => {}
        Err(error @ message::Error::Encode(_)) => {
            warn!(state.log, "could not encode a ping; skipping the host in this round";
                "host" => %peer.name, "reason" => %error);
        }
    }
}
