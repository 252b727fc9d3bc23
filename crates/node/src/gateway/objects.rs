//! Saves the estimated cache contents of servers in the platform's store, for the next arbiter
//! of their service; see [`oleanderspan::backend::cache_state`].

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

/// How often this host checks which services it dispatches. Until the saved state is loaded,
/// requests are placed without regard to cached objects.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between saves. Each save costs one call per service and region, and the cache contents
/// of servers change within some seconds.
const SAVE_INTERVAL: Duration = Duration::from_millis(4_000);

/// Maximum age of saved state that is still used; older state no longer matches the servers'
/// caches. The age is measured by wall clocks, which differ by seconds between hosts; a time that
/// lies as far in the future is none at all.
const MAX_AGE: Duration = Duration::from_secs(60);

/// The longest latency of servers that a saved state may have: with a longer one each request would
/// count as late until hundreds of answers have corrected it.
const MAX_LATENCY: Duration = Duration::from_secs(60);

/// Progress of loading and saving the state of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Number of requests placed on this host at the last check.
    placed: u64,
    /// When the state was last loaded or saved, or `None` before it is loaded.
    saved_at: Option<Instant>,
}

/// The saved state of a service in a region, encoded as MessagePack.
#[derive(Debug, Serialize, Deserialize)]
struct StoredCacheState {
    /// When the state was saved, in milliseconds of the wall clock.
    at_millis: u64,
    depth: usize,
    latencies_us: Option<(u64, u64)>,
    /// Name, incarnation and object hashes of each server.
    servers: Vec<(String, u64, Vec<u64>)>,
}

/// Loads the saved state when this host becomes the arbiter of a service, and saves it regularly
/// after that.
pub async fn run<S: Source>(state: State, source: S) {
    let mut progress_by_service: Map<service::Name, Progress> = Map::default();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let snapshot = Arc::clone(&state.snapshot());
        for service in snapshot.services() {
            let is_arbiter = snapshot.is_ready()
                && !state.stop.has_begun()
                && snapshot.remote_arbiter(&state.settings, service).is_none();
            let Some(pool) = snapshot.pool(service, state.settings.region) else { continue };
            let (placed, now) = (pool.placed(), state.clock.now());
            let progress = progress_by_service.entry(service.clone()).or_default();
            if !is_arbiter {
                *progress = Progress { placed, saved_at: None };
                continue;
            }
            // Without slot requests since the last round, the other hosts may regard a different
            // host as the arbiter, whatever this host's rank by its own view.
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
            info!(state.log, "cannot load saved cache state"; "service" => %service,
                "reason" => %error);
            return;
        }
    };
    let stored: StoredCacheState = match codec::from_wire(&stored) {
        Ok(stored) => stored,
        Err(error) => {
            info!(state.log, "cannot decode saved cache state"; "service" => %service,
                "reason" => %error);
            return;
        }
    };
    let age = Duration::from_millis(wall_millis().abs_diff(stored.at_millis));
    if age > MAX_AGE {
        info!(state.log, "saved cache state ignored: too old"; "service" => %service,
            "age_ms" => age.as_millis());
        return;
    }
    let cache_state = match CacheState::try_from(&stored) {
        Ok(cache_state) => cache_state,
        Err(reason) => {
            info!(state.log, "saved cache state ignored: invalid"; "service" => %service,
                "reason" => reason);
            return;
        }
    };
    let Some(pool) = state.snapshot().pool(service, state.settings.region).map(Arc::clone) else {
        return;
    };
    let servers = pool.import_cache_state(&cache_state, state.clock.now());
    info!(state.log, "saved cache state loaded into the server pool";
        "service" => %service, "servers" => servers,
        "depth" => cache_state.depth, "age_ms" => age.as_millis());
}

async fn save<S: Source>(state: &State, source: &S, service: &service::Name) {
    let pool = state.snapshot().pool(service, state.settings.region).map(Arc::clone);
    let Some(cache_state) = pool.map(|pool| pool.cache_state()) else { return };
    // Without a latency difference between known and unknown objects there is nothing to save.
    if cache_state.latencies.is_none() {
        return;
    }
    let value = match codec::to_wire(&StoredCacheState::from(&cache_state)) {
        Ok(value) => value,
        Err(error) => {
            info!(state.log, "cannot encode cache state"; "service" => %service,
                "reason" => %error);
            return;
        }
    };
    if let Err(error) = source.save(&key(state, service), &value).await {
        debug!(state.log, "cannot save cache state; retrying later"; "service" => %service,
            "reason" => %error);
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

impl TryFrom<&StoredCacheState> for CacheState {
    type Error = String;

    /// Skips servers whose names are invalid in this version: they cannot be listed either.
    fn try_from(stored: &StoredCacheState) -> Result<CacheState, String> {
        let server = |(name, incarnation, objects): &(String, u64, Vec<u64>)| {
            let name = backend::Name::try_from(name.as_str()).ok()?;
            let identity = Identity { name, incarnation: *incarnation };
            Some((identity, objects.iter().copied().map(Object::from_hash).collect()))
        };
        let latencies = stored
            .latencies_us
            .map(|(known, unknown)| (Duration::from_micros(known), Duration::from_micros(unknown)));
        if let Some((known, unknown)) = latencies
            && known.max(unknown) > MAX_LATENCY
        {
            let longest = known.max(unknown);
            return Err(format!("latencies_us: expected up to {MAX_LATENCY:?}, found {longest:?}"));
        }
        let servers = stored.servers.iter().filter_map(server).collect();
        Ok(CacheState { depth: stored.depth, latencies, servers })
    }
}
