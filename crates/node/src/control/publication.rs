//! Publication of snapshots for the entry daemon of this host.

use std::collections::BTreeMap;

use oleanderspan::{document::raw, prelude::*};

use crate::{
    clock::wall_millis,
    control::{
        State, membership,
        shares::{self, Routing},
        state::{Accepted, Inner},
    },
    wire,
};

/// Maximum interval between two updates, at which shares move.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Updates the shares and publishes a snapshot if it differs from the last one, on every change and
/// at least every [`UPDATE_INTERVAL`], without end.
pub async fn run(state: State) {
    loop {
        let _ = tokio::time::timeout(UPDATE_INTERVAL, state.changed.notified()).await;
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
    shares::record_moving(state, was_moving);
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
    let Some(routing) = shares::advance(&mut inner, &accepted, own, &hosts, now) else { return };
    let sequence = inner.snapshot.as_ref().map_or(0, |snapshot| snapshot.sequence);
    let mut next = build_snapshot(&inner, &accepted, hosts, routing, sequence + 1);
    next.stamp = state.hybrid.tick(wall_millis()).as_u64();
    if inner.snapshot.as_ref().is_none_or(|current| has_changed(current, &next)) {
        inner.snapshot = Some(Arc::new(next));
    }
}

fn build_snapshot(
    inner: &Inner,
    accepted: &Accepted,
    hosts: Vec<wire::Host>,
    routing: Routing,
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
        shares: routing.shares,
        failed: routing.failed,
        withheld: routing.reserved_slots,
        document,
        hosts,
    }
}

fn has_changed(current: &wire::Snapshot, next: &wire::Snapshot) -> bool {
    current.version != next.version
        || current.hosts != next.hosts
        || current.servers != next.servers
        || current.shares != next.shares
        || current.failed != next.failed
        || current.withheld != next.withheld
}
