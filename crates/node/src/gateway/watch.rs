//! Follows the platform's store. While it is unavailable, the last known state stays in use.

use oleanderspan::{
    availability,
    backend::{self, listing},
    entry::{
        self,
        journal::Entry,
        membership::jitter,
        roster::{Candidate, Peer},
    },
    prelude::*,
    route::Table,
    service,
};
use slog::{info, warn};

use crate::{
    clock::ThreadRandom,
    codec,
    gateway::{
        Source, State, feed, message,
        source::{Error, Row, Server, Topic},
        state::ClusterView,
    },
};

/// How long a long poll for changes stays open at the store.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(20_000);

/// The delay before the first retry after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest delay between retries, so that a recovery of the store is noticed within a second.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long this host reads from the store itself after the host that reads for it has failed.
const DIRECT_READ_PERIOD: Duration = Duration::from_millis(3_000);

/// How often removed servers are checked for the end of their grace period.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the operator's routes and evacuations.
pub async fn operator<S: Source>(state: State, source: S) {
    follow(&state, &source, Topic::Operator, apply_operator).await;
}

/// Follows the backend servers, and drops removed ones after their grace period.
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

/// Rows of a topic and where this host has them from.
struct Update<'a> {
    rows: Vec<Row>,
    /// Whether the rows are the whole topic rather than changes.
    is_full: bool,
    /// The host that read the rows from the store, for logs; `None` for this host.
    reader: Option<&'a entry::Name>,
}

/// Reads a topic in full and then follows its changes; never returns.
async fn follow<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    apply: impl Fn(&State, Update<'_>),
) {
    let mut after = None;
    let mut backoff = MIN_BACKOFF;
    let mut unavailable_since = None;
    let mut direct_until = Instant::ZERO;
    loop {
        if let Some(version) = after
            && unavailable_since.is_none()
            && let Some(reader) = reader(state, topic, direct_until)
        {
            state.feed(topic).stop();
            match read_from_peer(state, source, topic, version, &reader).await {
                Ok((version, rows)) => {
                    after = Some(version);
                    state.feed(topic).record_answer(state.clock.now());
                    apply(state, Update { rows, is_full: false, reader: Some(&reader.name) });
                }
                Err(reason) => {
                    info!(state.log, "cannot read changes from peer; reading from the store";
                        "topic" => topic.as_str(),
                        "reader" => %reader.name, "reason" => %reason);
                    direct_until = state.clock.now() + DIRECT_READ_PERIOD;
                }
            }
            continue;
        }
        match read_from_store(state, source, topic, after).await {
            Ok((version, rows)) => {
                backoff = MIN_BACKOFF;
                if let Some(since) = unavailable_since.take() {
                    let outage: Duration = state.clock.now().since(since);
                    info!(state.log, "store answers again"; "topic" => topic.as_str(),
                        "away_ms" => outage.as_millis());
                    state.update(|view, now| {
                        view.listing.store_recovered(now);
                        false
                    });
                }
                let is_full = after.is_none();
                after = Some(version);
                state.feed(topic).record_answer(state.clock.now());
                apply(state, Update { rows, is_full, reader: None });
                // Lets further changes accumulate: each batch costs every reading host one call.
                let readers = state.view().roster.expected_readers() + 1;
                tokio::time::sleep(topic.batch_interval(readers)).await;
            }
            Err(Error::HistoryTruncated) => {
                info!(state.log, "store cannot resume the topic; reading it in full";
                    "topic" => topic.as_str(),
                    "version" => after,
                    "reason" => "the store no longer has the changes since that version");
                after = None;
            }
            Err(Error::Unavailable(reason)) => {
                state.feed(topic).stop();
                if unavailable_since.is_none() {
                    warn!(state.log, "store does not answer"; "topic" => topic.as_str(),
                        "reason" => reason);
                    unavailable_since = Some(state.clock.now());
                }
                // The store answers a full read at once, so its recovery is noticed immediately; a
                // long poll would return only with the next change.
                after = None;
                tokio::time::sleep(jitter(backoff, &mut ThreadRandom)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads a topic in full if `after` is `None`, otherwise its changes since that version, and
/// publishes them to the other hosts of the zone.
async fn read_from_store<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    after: Option<u64>,
) -> Result<(u64, Vec<Row>), Error> {
    let Some(after) = after else {
        let pages = source.list(topic).await?;
        let version = pages.first().map_or(0, |page| page.version);
        let mut rows = Vec::new();
        for page in pages {
            rows.extend(source.decode(topic, &page.bytes)?);
        }
        state.feed(topic).restart(version, state.clock.now() + topic.confirmation_validity());
        return Ok((version, rows));
    };
    let wait = match reads_for_others(state, topic) {
        true => topic.confirmation_interval(),
        false => LONG_POLL_TIMEOUT,
    };
    let page = source.follow(topic, after, wait).await?;
    let rows = source.decode(topic, &page.bytes)?;
    let version = page.version;
    let entry = Entry { after, version, page: page.bytes };
    state.feed(topic).push(entry, state.clock.now() + topic.confirmation_validity());
    Ok((version, rows))
}

/// The host that reads a topic on behalf of this one, or `None` if this host reads the store
/// itself.
fn reader(state: &State, topic: Topic, direct_until: Instant) -> Option<Peer> {
    let now = state.clock.now();
    if now < direct_until {
        return None;
    }
    state.view().roster.reader(own_candidate(state), topic.as_str(), now).cloned()
}

/// Whether this host reads a topic on behalf of the other hosts of its zone.
fn reads_for_others(state: &State, topic: Topic) -> bool {
    let now = state.clock.now();
    state.view().roster.reads_for_others(own_candidate(state), topic.as_str(), now)
}

fn own_candidate(state: &State) -> Candidate<'_> {
    let settings = &state.settings;
    Candidate { name: &settings.host, zone: settings.zone, millicores: settings.millicores }
}

/// Reads the changes since version `after` from the host that follows the store.
async fn read_from_peer<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    after: u64,
    reader: &Peer,
) -> Result<(u64, Vec<Row>), feed::Error> {
    let Some(page) = feed::fetch(state, reader, topic, after).await? else {
        return Ok((after, Vec::new()));
    };
    let rows = source.decode(topic, &page.bytes);
    let rows = rows.map_err(|error| feed::Error::Malformed(error.to_string()))?;
    Ok((page.version, rows))
}

fn apply_operator(state: &State, update: Update<'_>) {
    let Update { rows, is_full, reader } = update;
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
        let previous: Vec<_> = state.view().evacuated.iter().copied().collect();
        let lifted = previous.iter().filter(|zone| !active.contains(*zone));
        lifted.for_each(|zone| set_evacuation(state, *zone, false));
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
            "routes" => table.len(), "bound_routes" => table.bound_routes(),
            "reader" => reader.map(entry::Name::as_str));
        view.table = Some(Arc::new(table));
        true
    });
}

fn set_evacuation(state: &State, zone: availability::Index, is_active: bool) {
    state.update(|view, now| {
        let has_changed = match is_active {
            true => view.evacuated.insert(zone),
            false => view.evacuated.remove(&zone),
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
    let mut backoff = MIN_BACKOFF;
    while let Err(error) = source.announce(&state.settings.host, &value).await {
        info!(state.log, "cannot register this host; retrying"; "reason" => %error);
        tokio::time::sleep(jitter(backoff, &mut ThreadRandom)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

fn apply_hosts(state: &State, update: Update<'_>) {
    let Update { rows, is_full, .. } = update;
    state.update(|view, _| {
        let mut listed: Set<entry::Name> = Set::default();
        for row in rows {
            match row {
                Row::Host(name, _) if name == state.settings.host => {}
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
