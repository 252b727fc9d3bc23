//! Follows the platform's store, and keeps what was learned while it is away.

use oleanderspan::{
    availability,
    backend::{self, listing},
    entry::{self, membership::jitter, roster::Peer},
    prelude::*,
    route::Table,
    service,
};
use slog::{info, warn};

use crate::{
    clock::Entropy,
    codec,
    gateway::{
        Source, State, message,
        source::{Batch, Error, Row, Server, Topic},
        state::Beliefs,
    },
};

/// How long a question for changes stays open at the store.
const FOLLOW_WAIT: Duration = Duration::from_millis(20_000);

/// The first pause after the store gave no answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest such pause, so that a store that returns is heard of within a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// How often removed entries are looked at whose grace may have ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the operator's routes and evacuations.
pub async fn operator<S: Source>(state: State, source: S) {
    follow(&state, &source, Topic::Operator, |state, batch, is_whole| {
        apply_operator(state, batch, is_whole);
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
    let follow = follow(&state, &source, Topic::Servers, |state, batch, is_whole| {
        apply_servers(state, batch, is_whole);
    });
    tokio::join!(follow, expire);
}

/// Lists this host, and follows the others.
pub async fn hosts<S: Source>(state: State, source: S) {
    let announce = announce(&state, &source);
    let follow = follow(&state, &source, Topic::Hosts, |state, batch, is_whole| {
        apply_hosts(state, batch, is_whole);
    });
    tokio::join!(announce, follow);
}

/// Reads a topic whole, then its changes, for ever.
async fn follow<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    apply: impl Fn(&State, Batch, bool),
) {
    let mut after = None;
    let mut pause = FIRST_PAUSE;
    let mut away_since = None;
    loop {
        let answer = match after {
            None => source.list(topic).await,
            Some(version) => source.follow(topic, version, FOLLOW_WAIT).await,
        };
        match answer {
            Ok(batch) => {
                pause = FIRST_PAUSE;
                if let Some(since) = away_since.take() {
                    let away: Duration = state.clock.now().since(since);
                    info!(state.log, "store answers again"; "topic" => topic.as_str(),
                        "away_ms" => away.as_millis());
                    state.update(|beliefs, now| {
                        beliefs.listing.store_returned(now);
                        false
                    });
                }
                let is_whole = after.is_none();
                after = Some(batch.version);
                apply(state, batch, is_whole);
                // Changes come in groups; each group costs every host a call.
                let hosts = state.beliefs().roster.len() + 1;
                tokio::time::sleep(topic.gathering(hosts)).await;
            }
            Err(Error::HistoryLost) => {
                info!(state.log, "reading a topic whole again"; "topic" => topic.as_str(),
                    "version" => after, "reason" => "the store keeps no changes so old");
                after = None;
            }
            Err(Error::Away(reason)) => {
                if away_since.is_none() {
                    warn!(state.log, "store does not answer"; "topic" => topic.as_str(),
                        "reason" => reason);
                    away_since = Some(state.clock.now());
                }
                // A whole list is answered at once, so that the store's return is known when it
                // happens and not with the next change.
                after = None;
                tokio::time::sleep(jitter(pause, &mut Entropy)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn apply_operator(state: &State, batch: Batch, is_whole: bool) {
    let mut active = Set::default();
    for row in batch.rows {
        match row {
            Row::Routes(Ok(raw)) => match Table::try_from(raw) {
                Ok(table) => put_into_force(state, table),
                Err(error) => warn!(state.log, "routes not taken"; "reason" => %error),
            },
            Row::Routes(Err(error)) => {
                warn!(state.log, "routes not taken"; "reason" => %error);
            }
            Row::Evacuation { zone, is_active } => match state.settings.atlas.find(&zone) {
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
            table.inherit(before);
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
        let name = state.settings.atlas.zone(zone).map(|name| name.as_str());
        info!(state.log, "evacuation"; "zone" => name, "active" => is_active);
        if !is_active {
            beliefs.warm_up(zone, now);
        }
        true
    });
}

fn apply_servers(state: &State, batch: Batch, is_whole: bool) {
    state.update(|beliefs, now| {
        let mut listed = Set::default();
        let mut is_news = is_whole;
        for row in batch.rows {
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
        .atlas
        .find(&raw.zone)
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
    let zone = state.settings.atlas.zone(state.settings.zone);
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
        tokio::time::sleep(jitter(pause, &mut Entropy)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

fn apply_hosts(state: &State, batch: Batch, is_whole: bool) {
    state.update(|beliefs, _| {
        let mut listed: Set<entry::Name> = Set::default();
        for row in batch.rows {
            match row {
                Row::Host(name, _) if name == state.settings.host => {}
                Row::Host(name, None) => {
                    beliefs.roster.unlist(&name);
                }
                Row::Host(name, Some(value)) => match decode(&value) {
                    Ok(host) => {
                        listed.insert(name.clone());
                        let region = state.settings.atlas.find(&host.zone).map(|found| found.1);
                        let peer = Peer { name, callers: host.callers, address: host.peers };
                        match region {
                            Some(region) if region == state.settings.region => {
                                beliefs.roster.list(peer);
                            }
                            Some(region) => beliefs.roster.list_distant(peer, region),
                            None => warn!(state.log, "listed host in an unknown zone";
                                "host" => %peer.name, "zone" => host.zone),
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
                beliefs.roster.unlist(name);
            });
        }
        true
    });
}

fn decode(value: &[u8]) -> Result<message::Host, String> {
    codec::from_json(value).map_err(|error| error.to_string())
}
