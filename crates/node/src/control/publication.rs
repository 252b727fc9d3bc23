//! Publication of snapshots to the own entry daemon.

use std::collections::BTreeMap;

use oleanderspan::{document::raw, prelude::*};

use crate::{
    clock::wall_millis,
    control::{
        State, membership,
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
    if !state.is_ready() {
        return;
    }
    let was_moving = shares::is_moving(state);
    let had_shares = shares::are_in_force(state);
    publish_next(state);
    shares::note_moves(state, was_moving);
    if shares::are_in_force(state) != had_shares {
        membership::refresh(state);
    }
}

fn publish_next(state: &State) {
    let hosts = state.registry.hosts();
    let now = state.clock.now();
    let mut inner = state.lock();
    let Some(accepted) = inner.accepted.clone() else { return };
    let own = &state.settings.host.name;
    let Some(moves) = shares::advance(&mut inner, &accepted, own, &hosts, now) else { return };
    let sequence = inner.snapshot.as_ref().map_or(0, |snapshot| snapshot.sequence);
    let mut next = compose(&inner, &accepted, hosts, moves, sequence + 1);
    next.stamp = state.hybrid.tick(wall_millis()).as_u64();
    if inner.snapshot.as_ref().is_none_or(|last| differs(last, &next)) {
        inner.snapshot = Some(Arc::new(next));
    }
}

fn compose(
    inner: &Inner,
    accepted: &Accepted,
    hosts: Vec<wire::Host>,
    moves: Moves,
    sequence: u64,
) -> wire::Snapshot {
    let document = raw::Document { blocks: BTreeMap::new(), ..(*accepted.raw).clone() };
    let servers = inner.list.servers.iter().map(|server| wire::Server {
        name: server.name.clone(),
        incarnation: server.incarnation,
        service: server.service.clone(),
        zone: server.zone.clone(),
        address: server.address,
        leaving: inner.signs.has(&server.name, server.incarnation),
    });
    wire::Snapshot {
        sequence,
        stamp: 0,
        version: accepted.version.0,
        blocks: accepted.blocks,
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
