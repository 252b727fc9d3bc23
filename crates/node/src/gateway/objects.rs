//! Keeps what servers remember in the platform's store, for the next host that gives out their
//! slots; see [`oleanderspan::backend::cache_state`].

use oleanderspan::{
    backend::{self, CacheState, Object, server::Identity},
    prelude::*,
    service,
};
use serde::{Deserialize, Serialize};
use slog::{debug, info};

use crate::{
    clock::wall_millis,
    codec,
    gateway::{Source, State},
};

/// How often the roles of this host are looked at: a request that comes before what was kept is read
/// goes to some server.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How often what servers remember is kept: it costs a call for each service and region, and objects
/// change their servers within some seconds.
const SAVE_INTERVAL: Duration = Duration::from_millis(4_000);

/// What was kept longer ago is no longer true; the wall clocks of hosts differ by seconds.
const MAX_AGE: Duration = Duration::from_secs(60);

/// How far this host is with a service whose slots it gives out.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Requests that were placed here when it was last looked at.
    placed: u64,
    /// When it was last kept; none before what was kept is read.
    saved_at: Option<Instant>,
}

/// What is kept, as MessagePack.
#[derive(Debug, Serialize, Deserialize)]
struct StoredCacheState {
    /// By the wall clock.
    at_millis: u64,
    depth: usize,
    latencies_us: Option<(u64, u64)>,
    /// Name, start and objects of each server.
    servers: Vec<(String, u64, Vec<u64>)>,
}

/// Reads what was kept as this host begins to give out slots, and keeps it from then on.
pub async fn run<S: Source>(state: State, source: S) {
    let mut progress_by_service: Map<service::Name, Progress> = Map::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let snapshot = Arc::clone(&state.snapshot());
        for service in snapshot.services() {
            let is_dispatching = snapshot.is_ready()
                && !state.stop.has_begun()
                && snapshot.remote_dispatcher(&state.settings, service).is_none();
            let Some(pool) = snapshot.pool(service, state.settings.region) else { continue };
            let (placed, now) = (pool.placed(), state.clock.now());
            let progress = progress_by_service.entry(service.clone()).or_default();
            if !is_dispatching {
                *progress = Progress { placed, saved_at: None };
                continue;
            }
            // A host that nobody asks does not give out slots in earnest.
            if progress.placed == placed {
                continue;
            }
            let (state, source, service) = (state.clone(), source.clone(), service.clone());
            match progress.saved_at {
                None => {
                    tokio::spawn(async move { load(&state, &source, &service).await });
                }
                Some(saved_at) if now.since(saved_at) < SAVE_INTERVAL => continue,
                Some(_) => {
                    tokio::spawn(async move { save(&state, &source, &service).await });
                }
            }
            *progress = Progress { placed, saved_at: Some(now) };
        }
    }
}

async fn load<S: Source>(state: &State, source: &S, service: &service::Name) {
    let stored = match source.load(&key(state, service)).await {
        Ok(Some(stored)) => stored,
        Ok(None) => return,
        Err(error) => {
            info!(state.log, "objects not read"; "service" => %service, "reason" => %error);
            return;
        }
    };
    let stored: StoredCacheState = match codec::from_wire(&stored) {
        Ok(stored) => stored,
        Err(error) => {
            info!(state.log, "objects not read"; "service" => %service, "reason" => %error);
            return;
        }
    };
    let age = Duration::from_millis(wall_millis().saturating_sub(stored.at_millis));
    if age > MAX_AGE {
        info!(state.log, "objects not used"; "service" => %service, "age_ms" => age.as_millis());
        return;
    }
    let cache_state = CacheState::from(&stored);
    let Some(pool) = state.snapshot().pool(service, state.settings.region).map(Arc::clone) else {
        return;
    };
    let servers = pool.import_cache_state(&cache_state, state.clock.now());
    info!(state.log, "objects taken over"; "service" => %service, "servers" => servers,
        "depth" => cache_state.depth, "age_ms" => age.as_millis());
}

async fn save<S: Source>(state: &State, source: &S, service: &service::Name) {
    let pool = state.snapshot().pool(service, state.settings.region).map(Arc::clone);
    let Some(cache_state) = pool.map(|pool| pool.cache_state()) else { return };
    // Without a difference in latency there is nothing to keep.
    if cache_state.latencies.is_none() {
        return;
    }
    let value = match codec::to_wire(&StoredCacheState::from(&cache_state)) {
        Ok(value) => value,
        Err(error) => {
            info!(state.log, "objects not kept"; "service" => %service, "reason" => %error);
            return;
        }
    };
    if let Err(error) = source.save(&key(state, service), &value).await {
        debug!(state.log, "objects not kept"; "service" => %service, "reason" => %error);
    }
}

fn key(state: &State, service: &service::Name) -> String {
    let mut regions = state.settings.topology.regions();
    let region = regions.find(|(region, _)| *region == state.settings.region);
    format!("objects/{service}/{}", region.map_or("", |(_, name)| name.as_str()))
}

impl From<&CacheState> for StoredCacheState {
    fn from(cache_state: &CacheState) -> StoredCacheState {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let server = |(identity, objects): &(Identity, Vec<Object>)| {
            let objects = objects.iter().map(|object| object.hash()).collect();
            (identity.name.to_string(), identity.incarnation, objects)
        };
        StoredCacheState {
            at_millis: wall_millis(),
            depth: cache_state.depth,
            latencies_us: cache_state
                .latencies
                .map(|(known, unknown)| (micros(known), micros(unknown))),
            servers: cache_state.servers.iter().map(server).collect(),
        }
    }
}

impl From<&StoredCacheState> for CacheState {
    /// Servers whose names this build does not accept are left out: none of them can be listed.
    fn from(stored: &StoredCacheState) -> CacheState {
        let server = |(name, incarnation, objects): &(String, u64, Vec<u64>)| {
            let name = backend::Name::try_from(name.as_str()).ok()?;
            let identity = Identity { name, incarnation: *incarnation };
            Some((identity, objects.iter().copied().map(Object::from_hash).collect()))
        };
        let latencies = stored
            .latencies_us
            .map(|(known, unknown)| (Duration::from_micros(known), Duration::from_micros(unknown)));
        let servers = stored.servers.iter().filter_map(server).collect();
        CacheState { depth: stored.depth, latencies, servers }
    }
}
