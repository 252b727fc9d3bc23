//! Follows the platform's store, and keeps what was learned while it is away.

use oleanderspan::{
    availability,
    backend::{self, listing},
    entry::{self, journal::Entry, membership::jitter, roster::Peer},
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
        state::Beliefs,
    },
};

/// How long a question for changes stays open at the store.
const FOLLOW_WAIT: Duration = Duration::from_millis(20_000);

/// The first pause after the store gave no answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest such pause, so that a store that returns is heard of within a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// For how long a host reads from the store itself after the one that reads for it failed to answer.
const OWN_READING: Duration = Duration::from_millis(3_000);

/// How often removed entries are looked at whose grace may have ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the operator's routes and evacuations.
pub async fn operator<S: Source>(state: State, source: S) {
    follow(&state, &source, Topic::Operator, |state, rows, is_whole| {
        apply_operator(state, rows, is_whole);
    })
    .await;
}

/// Follows the backend servers.
pub async fn servers<S: Source>(state: State, source: S) {
    let expiry = state.clone();
    let expire = async {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            expire(&expiry);
        }
    };
    let follow = follow(&state, &source, Topic::Servers, |state, rows, is_whole| {
        apply_servers(state, rows, is_whole);
    });
    tokio::join!(follow, expire);
}

/// Lists this host, and follows the others.
pub async fn hosts<S: Source>(state: State, source: S) {
    let announce = announce(&state, &source);
    let follow = follow(&state, &source, Topic::Hosts, |state, rows, is_whole| {
        apply_hosts(state, rows, is_whole);
    });
    tokio::join!(announce, follow);
}

/// Reads a topic whole, then its changes, for ever.
async fn follow<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    apply: impl Fn(&State, Vec<Row>, bool),
) {
    let mut after = None;
    let mut pause = FIRST_PAUSE;
    let mut away_since = None;
    let mut own_until = Instant::ZERO;
    loop {
        if let Some(version) = after
            && away_since.is_none()
            && let Some(reader) = reader(state, topic, own_until)
        {
            state.feed(topic).stop();
            match handed_on(state, source, topic, version, &reader).await {
                Ok((version, rows)) => {
                    after = Some(version);
                    apply(state, rows, false);
                }
                Err(reason) => {
                    info!(state.log, "reading from the store here"; "topic" => topic.as_str(),
                        "reader" => %reader.name, "reason" => %reason);
                    own_until = state.clock.now() + OWN_READING;
                }
            }
            continue;
        }
        match read(state, source, topic, after).await {
            Ok((version, rows)) => {
                pause = FIRST_PAUSE;
                if let Some(since) = away_since.take() {
                    let away: Duration = state.clock.now().since(since);
                    info!(state.log, "store answers again"; "topic" => topic.as_str(),
                        "away_ms" => away.as_millis());
                    state.update(|beliefs, now| {
                        beliefs.listing.store_recovered(now);
                        false
                    });
                }
                let is_whole = after.is_none();
                after = Some(version);
                apply(state, rows, is_whole);
                // Changes come in groups; each group costs every host that reads a call.
                let readers = state.beliefs().roster.expected_readers() + 1;
                tokio::time::sleep(topic.gathering(readers)).await;
            }
            Err(Error::HistoryLost) => {
                info!(state.log, "reading a topic whole again"; "topic" => topic.as_str(),
                    "version" => after, "reason" => "the store keeps no changes so old");
                after = None;
            }
            Err(Error::Away(reason)) => {
                state.feed(topic).stop();
                if away_since.is_none() {
                    warn!(state.log, "store does not answer"; "topic" => topic.as_str(),
                        "reason" => reason);
                    away_since = Some(state.clock.now());
                }
                // A whole list is answered at once, so that the store's return is known when it
                // happens and not with the next change.
                after = None;
                tokio::time::sleep(jitter(pause, &mut ThreadRandom)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Reads a topic whole, or its changes, and keeps these for the other hosts of the zone.
async fn read<S: Source>(
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
        state.feed(topic).restart(version);
        return Ok((version, rows));
    };
    let page = source.follow(topic, after, FOLLOW_WAIT).await?;
    let rows = source.decode(topic, &page.bytes)?;
    let version = page.version;
    state.feed(topic).push(Entry { after, version, page: page.bytes });
    Ok((version, rows))
}

/// The host that reads a topic for this one, unless this one reads for itself.
fn reader(state: &State, topic: Topic, own_until: Instant) -> Option<Peer> {
    let now = state.clock.now();
    if now < own_until {
        return None;
    }
    let settings = &state.settings;
    let beliefs = state.beliefs();
    beliefs.roster.reader(&settings.host, settings.zone, topic.as_str(), now).cloned()
}

/// Takes changes from the host that reads them.
async fn handed_on<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    after: u64,
    reader: &Peer,
) -> Result<(u64, Vec<Row>), feed::Error> {
    let Some(page) = feed::ask(state, reader, topic, after).await? else {
        return Ok((after, Vec::new()));
    };
    let rows = source.decode(topic, &page.bytes);
    let rows = rows.map_err(|error| feed::Error::Unreadable(error.to_string()))?;
    Ok((page.version, rows))
}

fn apply_operator(state: &State, rows: Vec<Row>, is_whole: bool) {
    let mut active = Set::default();
    for row in rows {
        match row {
            Row::Routes(Ok(raw)) => match Table::try_from(raw) {
                Ok(table) => put_into_force(state, table),
                Err(error) => warn!(state.log, "routes not taken"; "reason" => %error),
            },
            Row::Routes(Err(error)) => {
                warn!(state.log, "routes not taken"; "reason" => %error);
            }
            Row::Evacuation { zone, is_active } => match state.settings.topology.find_zone(&zone) {
                Some((zone, _)) if is_whole => {
                    active.insert(zone);
                }
                Some((zone, _)) => evacuate(state, zone, is_active),
                None => warn!(state.log, "evacuation of an unknown zone"; "zone" => zone),
            },
            Row::Faulty { key, reason, .. } => {
                warn!(state.log, "row not used"; "key" => key, "reason" => reason);
            }
            Row::Server(..) | Row::Host(..) => {}
        }
    }
    if is_whole {
        let before: Vec<_> = state.beliefs().evacuated.iter().copied().collect();
        let lifted = before.iter().filter(|zone| !active.contains(*zone));
        lifted.for_each(|zone| evacuate(state, *zone, false));
        active.iter().for_each(|zone| evacuate(state, *zone, true));
    }
}

fn put_into_force(state: &State, table: Table) {
    state.update(|beliefs, _| {
        let old = beliefs.table.as_ref().map(|table| table.version);
        if !table.supersedes(old) {
            return false;
        }
        if let Some(before) = &beliefs.table {
            table.inherit_observations(before);
        }
        info!(state.log, "routes in force"; "version" => table.version, "before" => old,
            "routes" => table.len());
        beliefs.table = Some(Arc::new(table));
        true
    });
}

fn evacuate(state: &State, zone: availability::Index, is_active: bool) {
    state.update(|beliefs, now| {
        let is_news = match is_active {
            true => beliefs.evacuated.insert(zone),
            false => beliefs.evacuated.remove(&zone),
        };
        if !is_news {
            return false;
        }
        let name = state.settings.topology.zone_name(zone).map(|name| name.as_str());
        info!(state.log, "evacuation"; "zone" => name, "active" => is_active);
        if !is_active {
            beliefs.warm_up(zone, now);
        }
        true
    });
}

fn apply_servers(state: &State, rows: Vec<Row>, is_whole: bool) {
    state.update(|beliefs, now| {
        let mut listed = Set::default();
        let mut is_news = is_whole;
        for row in rows {
            match row {
                Row::Server(name, Some(raw)) => {
                    listed.insert(name.clone());
                    match check(state, raw) {
                        Ok(entry) => {
                            let is_cold = !entry.cold_left.is_zero();
                            let change = beliefs.listing.put(&name, entry, now);
                            is_news |= is_cold || change != listing::Change::None;
                            log_change(state, &name, change);
                        }
                        Err(reason) => {
                            warn!(state.log, "entry not used"; "server" => %name,
                                "reason" => reason);
                            is_news |= drop_server(state, beliefs, &name, now);
                        }
                    }
                }
                Row::Server(name, None) => is_news |= drop_server(state, beliefs, &name, now),
                Row::Faulty { key, server, reason } => {
                    warn!(state.log, "row not used"; "key" => key, "reason" => reason);
                    if let Some(name) = server {
                        is_news |= drop_server(state, beliefs, &name, now);
                    }
                }
                Row::Routes(_) | Row::Evacuation { .. } | Row::Host(..) => {}
            }
        }
        if is_whole {
            beliefs.has_servers = true;
            for name in beliefs.listing.missing_from(&listed) {
                drop_server(state, beliefs, &name, now);
            }
        }
        is_news
    });
}

fn drop_server(state: &State, beliefs: &mut Beliefs, name: &backend::Name, now: Instant) -> bool {
    let change = beliefs.listing.remove(name, now);
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
    info!(state.log, "server"; "server" => %name, "change" => change);
}

fn expire(state: &State) {
    let is_due = state.beliefs().listing.next_expiry().is_some();
    if !is_due {
        return;
    }
    state.update(|beliefs, now| {
        let over = beliefs.listing.expire(now);
        over.iter().for_each(|name| log_change(state, name, listing::Change::Gone));
        !over.is_empty()
    });
}

fn check(state: &State, raw: Server) -> Result<listing::Entry, String> {
    let service = service::Name::try_from(raw.service.as_str());
    let service = service.map_err(|error| format!("service: {error}"))?;
    let (zone, _) = state
        .settings
        .topology
        .find_zone(&raw.zone)
        .ok_or_else(|| format!("zone: no zone is named {:?}", raw.zone))?;
    Ok(listing::Entry {
        service,
        address: raw.address,
        zone,
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
    };
    let value = match codec::to_json(&own) {
        Ok(value) => value,
        Err(error) => {
            warn!(state.log, "cannot list this host"; "reason" => %error);
            return;
        }
    };
    let mut pause = FIRST_PAUSE;
    while let Err(error) = source.announce(&state.settings.host, &value).await {
        info!(state.log, "this host is not listed yet"; "reason" => %error);
        tokio::time::sleep(jitter(pause, &mut ThreadRandom)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

fn apply_hosts(state: &State, rows: Vec<Row>, is_whole: bool) {
    state.update(|beliefs, _| {
        let mut listed: Set<entry::Name> = Set::default();
        for row in rows {
            match row {
                Row::Host(name, _) if name == state.settings.host => {}
                Row::Host(name, None) => {
                    beliefs.roster.remove(&name);
                }
                Row::Host(name, Some(value)) => match decode(&value) {
                    Ok(host) => {
                        listed.insert(name.clone());
                        let Some((zone, region)) = state.settings.topology.find_zone(&host.zone)
                        else {
                            warn!(state.log, "listed host in an unknown zone"; "host" => %name,
                                "zone" => host.zone);
                            continue;
                        };
                        let (caller_address, address) = (host.callers, host.peers);
                        let peer = Peer { name, caller_address, address, zone };
                        match region == state.settings.region {
                            true => {
                                beliefs.roster.insert(peer);
                            }
                            false => beliefs.roster.insert_remote(peer, region),
                        }
                    }
                    Err(reason) => {
                        warn!(state.log, "listed host not used"; "host" => %name,
                            "reason" => reason);
                    }
                },
                Row::Faulty { key, reason, .. } => {
                    warn!(state.log, "row not used"; "key" => key, "reason" => reason);
                }
                Row::Routes(_) | Row::Evacuation { .. } | Row::Server(..) => {}
            }
        }
        if is_whole {
            let names = beliefs.roster.names();
            let gone: Vec<entry::Name> =
                names.filter(|name| !listed.contains(*name)).cloned().collect();
            gone.iter().for_each(|name| {
                beliefs.roster.remove(name);
            });
        }
        true
    });
}

fn decode(value: &[u8]) -> Result<message::Host, String> {
    codec::from_json(value).map_err(|error| error.to_string())
}
