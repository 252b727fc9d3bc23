//! Publication of snapshots to the own entry daemon.

use std::collections::BTreeMap;

use oleanderspan::{
    document::raw,
    prelude::*,
    shift::{Slew, slew::Permit},
};

use crate::{
    clock::wall_millis,
    control::{
        State,
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
    let hosts = state.roster.hosts();
    let now = state.clock.now();
    let mut inner = state.lock();
    let Some(accepted) = inner.accepted.clone() else { return };
    move_shares(&mut inner, &accepted, now);
    let sequence = inner.snapshot.as_ref().map_or(0, |snapshot| snapshot.sequence);
    let mut next = compose(&inner, &accepted, hosts, sequence + 1);
    next.stamp = state.hybrid.tick(wall_millis()).get();
    if inner.snapshot.as_ref().is_none_or(|last| differs(last, &next)) {
        inner.snapshot = Some(Arc::new(next));
    }
}

fn move_shares(inner: &mut Inner, accepted: &Accepted, now: Instant) {
    for service in &accepted.draft.services {
        let slews = inner.shares.entry(service.name.to_string()).or_insert_with(|| {
            service.routes.iter().map(|target| Slew::new(target.clone(), now)).collect()
        });
        for (slew, target) in slews.iter_mut().zip(&service.routes) {
            slew.advance(target, &service.shift, Permit::Go, now);
        }
    }
}

fn compose(
    inner: &Inner,
    accepted: &Accepted,
    hosts: Vec<wire::Host>,
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
    let shares = accepted.draft.services.iter().map(|service| {
        let slews = inner.shares.get(service.name.as_str());
        slews.into_iter().flatten().map(|slew| slew.shares().shares().to_vec()).collect()
    });
    wire::Snapshot {
        sequence,
        stamp: 0,
        version: accepted.version.0,
        blocks: accepted.blocks,
        servers: servers.collect(),
        shares: shares.collect(),
        document,
        hosts,
    }
}

fn differs(last: &wire::Snapshot, next: &wire::Snapshot) -> bool {
    last.version != next.version
        || last.hosts != next.hosts
        || last.servers != next.servers
        || last.shares != next.shares
}
