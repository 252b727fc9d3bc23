//! Applies what the platform's store tells about routes, servers and hosts. While the store is
//! unavailable, the last known state stays in use.

use oleanderspan::{
    availability,
    backend::{self, listing},
    entry::{self, Version, membership::jitter, roster::Peer},
    prelude::*,
    route::{Route, Table},
    service,
};
use slog::{info, warn};

use crate::{
    clock::ThreadRandom,
    codec,
    gateway::{
        Source, State,
        follow::{MAX_BACKOFF, MIN_BACKOFF, Update, follow},
        message,
        source::{Row, Server, Topic},
        state::ClusterView,
    },
};

/// How often removed servers and lost evacuations are checked for the end of their grace period.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of unusable parts of one configuration that are logged, each with its place.
const MAX_LOGGED_FAULTS: usize = 16;

/// Follows the operator's routes and evacuations.
pub async fn operator<S: Source>(state: State, source: S) {
    follow(&state, &source, Topic::Operator, apply_operator).await;
}

/// Follows the backend servers, and drops removed ones, and lost evacuations, after their grace
/// period.
pub async fn servers<S: Source>(state: State, source: S) {
    let expiry = state.clone();
    let expire = async {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            expire(&expiry);
        }
    };
    let follow = follow(&state, &source, Topic::Servers, apply_servers);
    tokio::join!(follow, expire);
}

/// Registers this host in the store, and follows the other hosts.
pub async fn hosts<S: Source>(state: State, source: S) {
    let announce = announce(&state, &source);
    let follow = follow(&state, &source, Topic::Hosts, apply_hosts);
    tokio::join!(announce, follow);
}

fn apply_operator(state: &State, update: Update<'_>) {
    let Update { rows, is_full, is_restored, reader, .. } = update;
    let mut active = Set::default();
    for row in rows {
        match row {
            Row::Routes(Ok(raw)) => match Table::try_from(raw) {
                Ok(table) => activate_routes(state, table, reader),
                Err(error) => warn!(state.log, "new routes rejected; keeping the current ones";
                    "reason" => %error),
            },
            Row::Routes(Err(error)) => {
                warn!(state.log, "new routes rejected; keeping the current ones";
                    "reason" => %error);
            }
            Row::Evacuation { zone, is_active } => match state.settings.topology.find_zone(&zone) {
                Some((zone, _)) if is_full => {
                    active.insert(zone);
                }
                Some((zone, _)) => set_evacuation(state, zone, is_active),
                None => warn!(state.log, "evacuation ignored: unknown zone"; "zone" => zone),
            },
            Row::Invalid { key, reason, .. } => {
                warn!(state.log, "invalid row ignored"; "key" => key, "reason" => reason);
            }
            Row::Server(..) | Row::Host(..) => {}
        }
    }
    if is_full {
        if is_restored {
            state.update(|view, now| {
                view.evacuations.keep_missing_from(&active, now);
                false
            });
        }
        let lifted = state.view().evacuations.missing_from(&active);
        lifted.into_iter().for_each(|zone| set_evacuation(state, zone, false));
        active.iter().for_each(|zone| set_evacuation(state, *zone, true));
    }
}

fn activate_routes(state: &State, table: Table, reader: Option<&entry::Name>) {
    state.update(|view, _| {
        let old = view.table.as_ref().map(|table| table.version);
        if !table.supersedes(old) {
            return false;
        }
        if let Some(before) = &view.table {
            table.inherit_observations(before);
        }
        info!(state.log, "routes in force"; "version" => table.version, "before" => old,
            "routes" => table.len(), "bound_routes" => table.bound_routes().count(),
            "unusable_parts" => table.faults.len(),
            "homes" => homes(&table),
            "reader" => reader.map(entry::Name::as_str));
        for fault in table.faults.iter().take(MAX_LOGGED_FAULTS) {
            warn!(state.log, "part of the routes cannot be used; leaving it out";
                "version" => table.version, "place" => &fault.path, "reason" => &fault.reason);
        }
        view.table = Some(Arc::new(table));
        true
    });
}

/// The home regions of the routes that have any, for logs: `ROUTE=REGION+REGION`, separated by
/// commas.
fn homes(table: &Table) -> String {
    let homes = |route: &Arc<Route>| {
        let regions: Vec<&str> = route.homes.iter().map(|region| region.as_str()).collect();
        format!("{}={}", route.name, regions.join("+"))
    };
    let mut homes: Vec<String> = table.bound_routes().map(homes).collect();
    homes.sort_unstable();
    homes.join(",")
}

fn set_evacuation(state: &State, zone: availability::Index, is_active: bool) {
    state.update(|view, now| {
        let has_changed = match is_active {
            true => view.evacuations.begin(zone),
            false => view.evacuations.end(zone),
        };
        if !has_changed {
            return false;
        }
        let name = state.settings.topology.zone_name(zone).map(|name| name.as_str());
        info!(state.log, "evacuation"; "zone" => name, "active" => is_active);
        if !is_active {
            view.limit_after_evacuation(zone, now);
        }
        true
    });
}

fn apply_servers(state: &State, update: Update<'_>) {
    let Update { rows, is_full, .. } = update;
    state.update(|view, now| {
        let mut listed = Set::default();
        let mut has_changed = is_full;
        for row in rows {
            match row {
                Row::Server(name, Some(raw)) => {
                    listed.insert(name.clone());
                    match validate(state, raw) {
                        Ok(entry) => {
                            let is_cold = !entry.cold_left.is_zero();
                            let change = view.listing.put(&name, entry, now);
                            has_changed |= is_cold || change != listing::Change::None;
                            log_change(state, &name, change);
                        }
                        Err(reason) => {
                            warn!(state.log, "server entry rejected; server is not used";
                                "server" => %name,
                                "reason" => reason);
                            has_changed |= remove_server(state, view, &name, now);
                        }
                    }
                }
                Row::Server(name, None) => has_changed |= remove_server(state, view, &name, now),
                Row::Invalid { key, server, reason } => {
                    warn!(state.log, "invalid row ignored"; "key" => key, "reason" => reason);
                    if let Some(name) = server {
                        has_changed |= remove_server(state, view, &name, now);
                    }
                }
                Row::Routes(_) | Row::Evacuation { .. } | Row::Host(..) => {}
            }
        }
        if is_full {
            view.has_server_list = true;
            for name in view.listing.missing_from(&listed) {
                remove_server(state, view, &name, now);
            }
        }
        has_changed
    });
}

fn remove_server(
    state: &State,
    view: &mut ClusterView,
    name: &backend::Name,
    now: Instant,
) -> bool {
    let change = view.listing.remove(name, now);
    log_change(state, name, change);
    change != listing::Change::None
}

fn log_change(state: &State, name: &backend::Name, change: listing::Change) {
    let change = match change {
        listing::Change::None => return,
        listing::Change::Joined => "joined",
        listing::Change::Leaving => "leaving",
        listing::Change::Gone => "gone",
    };
    info!(state.log, "server list changed"; "server" => %name, "change" => change);
}

fn expire(state: &State) {
    let lifted = state.view().evacuations.expired(state.clock.now());
    lifted.into_iter().for_each(|zone| set_evacuation(state, zone, false));
    let is_due = state.view().listing.next_expiry().is_some();
    if !is_due {
        return;
    }
    state.update(|view, now| {
        let expired = view.listing.expire(now);
        expired.iter().for_each(|name| log_change(state, name, listing::Change::Gone));
        !expired.is_empty()
    });
}

fn validate(state: &State, raw: Server) -> Result<listing::Entry, String> {
    let service = service::Name::try_from(raw.service.as_str());
    let service = service.map_err(|error| format!("service: {error}"))?;
    let location = state
        .settings
        .topology
        .find_location(&raw.zone)
        .ok_or_else(|| format!("zone: unknown zone {:?}", raw.zone))?;
    Ok(listing::Entry {
        service,
        address: raw.address,
        location,
        slots: raw.slots,
        is_leaving: raw.is_leaving,
        cold_left: raw.cold_left,
        born_millis: raw.born_millis,
        sequence: raw.sequence,
    })
}

/// Registers this host, and again each time the store has lost the registration.
async fn announce<S: Source>(state: &State, source: &S) {
    let listen = &state.settings.listen;
    let zone = state.settings.topology.zone_name(state.settings.zone);
    let own = message::Host {
        callers: listen.callers,
        peers: listen.peers,
        zone: zone.map(|zone| zone.to_string()).unwrap_or_default(),
        millicores: state.settings.millicores,
    };
    let value = match codec::to_json(&own) {
        Ok(value) => value,
        Err(error) => {
            warn!(state.log, "cannot encode the registration of this host; giving up registering";
                "reason" => %error);
            return;
        }
    };
    loop {
        let mut backoff = MIN_BACKOFF;
        let registered_at = loop {
            match source.announce(&state.settings.host, &value).await {
                Ok(version) => break version,
                Err(error) => {
                    info!(state.log, "cannot register this host; retrying"; "reason" => %error);
                    tokio::time::sleep(jitter(backoff, &mut ThreadRandom)).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        };
        let is_lost = |unlisted_at: &Option<Version>| *unlisted_at > Some(registered_at);
        // Fails only if the sender is gone, which `state` owns.
        let _ = state.unlisted_at.subscribe().wait_for(is_lost).await;
        if state.stop.has_begun() {
            return;
        }
        info!(state.log, "the store has lost the registration of this host; registering again");
    }
}

fn apply_hosts(state: &State, update: Update<'_>) {
    let Update { rows, version, is_full, .. } = update;
    state.update(|view, _| {
        let mut listed: Set<entry::Name> = Set::default();
        let mut is_listed = !is_full;
        for row in rows {
            match row {
                Row::Host(name, value) if name == state.settings.host => {
                    is_listed = value.is_some();
                }
                Row::Host(name, None) => {
                    view.roster.remove(&name);
                }
                Row::Host(name, Some(value)) => match decode(&value) {
                    Ok(host) => {
                        listed.insert(name.clone());
                        let Some((zone, region)) = state.settings.topology.find_zone(&host.zone)
                        else {
                            warn!(state.log, "host entry ignored: unknown zone"; "host" => %name,
                                "zone" => host.zone);
                            continue;
                        };
                        let (caller_address, address) = (host.callers, host.peers);
                        let millicores = host.millicores;
                        let peer = Peer { name, caller_address, address, zone, millicores };
                        match region == state.settings.region {
                            true => {
                                view.roster.insert(peer);
                            }
                            false => view.roster.insert_remote(peer, region),
                        }
                    }
                    Err(reason) => {
                        warn!(state.log, "host entry ignored: malformed value"; "host" => %name,
                            "reason" => reason);
                    }
                },
                Row::Invalid { key, reason, .. } => {
                    warn!(state.log, "invalid row ignored"; "key" => key, "reason" => reason);
                }
                Row::Routes(_) | Row::Evacuation { .. } | Row::Server(..) => {}
            }
        }
        if !is_listed {
            state.unlisted_at.send_replace(Some(version));
        }
        view.has_host_list |= is_full;
        if is_full {
            let names = view.roster.names();
            let gone: Vec<entry::Name> =
                names.filter(|name| !listed.contains(*name)).cloned().collect();
            gone.iter().for_each(|name| {
                view.roster.remove(name);
            });
        }
        true
    });
}

fn decode(value: &[u8]) -> Result<message::Host, String> {
    let host: message::Host = codec::from_json(value).map_err(|error| error.to_string())?;
    // Clients are told the address of each host that answers its peers.
    for (field, address) in [("callers", host.callers), ("peers", host.peers)] {
        if address.port() == 0 {
            return Err(format!("{field}: expected a port above 0"));
        }
    }
    Ok(host)
}
