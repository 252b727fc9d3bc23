//! Publication of snapshots to the own entry daemon.

use std::collections::BTreeMap;

use oleanderspan::{document::raw, prelude::*};

use crate::{
    control::{
        State,
        shares::{self, Moves},
        state::{Accepted, Inner},
    },
    wire,
};

/// How often shares move.
const TICK: Duration = Duration::from_millis(250);

/// Publishes a snapshot whenever something changed.
pub async fn run(state: State) {
    loop {
        let _ = tokio::time::timeout(TICK, state.changed.notified()).await;
        publish(&state);
    }
}

fn publish(state: &State) {
    let was_moving = shares::is_moving(state);
    publish_next(state);
    shares::note_moves(state, was_moving);
}

fn publish_next(state: &State) {
    let own = state.own_host();
    let now = state.clock.now();
    let mut inner = state.lock();
    let Some(accepted) = inner.accepted.clone() else { return };
    let Some(moves) = shares::advance(&mut inner, &accepted, &own, now) else { return };
    let sequence = inner.snapshot.as_ref().map_or(0, |snapshot| snapshot.sequence);
    let next = compose(&inner, &accepted, own, moves, sequence + 1);
    if inner.snapshot.as_ref().is_none_or(|last| differs(last, &next)) {
        inner.snapshot = Some(Arc::new(next));
    }
}

fn compose(
    inner: &Inner,
    accepted: &Accepted,
    own: wire::Host,
    moves: Moves,
    sequence: u64,
) -> wire::Snapshot {
    let document = raw::Document { blocks: BTreeMap::new(), ..(*accepted.raw).clone() };
    let mut hosts: Vec<wire::Host> = inner.hosts.values().map(|peer| peer.host.clone()).collect();
    hosts.push(own);
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    let servers = inner.list.servers.iter().map(|server| wire::Server {
        name: server.name.clone(),
        incarnation: server.incarnation,
        service: server.service.clone(),
        zone: server.zone.clone(),
        address: server.address,
        leaving: inner.leaving.contains(&(server.name.clone(), server.incarnation)),
    });
    wire::Snapshot {
        sequence,
        version: accepted.version.0,
        blocks: accepted.blocks.clone(),
        servers: servers.collect(),
        shares: moves.shares,
        failed: moves.failed,
        withheld: moves.withheld,
        document,
        hosts,
    }
}

fn differs(last: &wire::Snapshot, next: &wire::Snapshot) -> bool {
    last.version != next.version
        || last.hosts != next.hosts
        || last.servers != next.servers
        || last.shares != next.shares
        || last.failed != next.failed
        || last.withheld != next.withheld
}
