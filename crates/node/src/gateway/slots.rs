//! Allocates slots of this host's pools: a request gets one at once, waits in a queue or is
//! rejected.
//!
//! The decisions are made by [`oleanderspan::backend::pool`] and
//! [`oleanderspan::request::admission`]; this module carries them out and waits.

use oleanderspan::{
    backend::{
        Pool, ReuseDistance, Server,
        pool::{Criteria, Placement, Rank},
    },
    customer::share::{Account, Claimant, Place},
    prelude::*,
    request::{
        Refusal,
        admission::{self, Decision, Load, TimeLeft},
    },
};

use crate::{
    clock::{Monotonic, ThreadRandom},
    entry::slot::{self, Lease, QueuedRequest},
};

/// Suggested retry delay if a service has no usable server: about the time that a platform takes to
/// list a new one.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Why no slot was allocated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcquireError {
    /// The reason that is returned to the client.
    pub refusal: Refusal,
    /// When the client may retry; `None` if no time is suggested.
    pub retry_after: Option<Duration>,
}

/// A slot that this host has allocated.
#[derive(Debug)]
pub struct Allocation {
    /// Releases the slot when it is dropped.
    pub lease: Lease,
    /// Reuse distance of the request's object on the server; `None` without an object.
    pub reuse_distance: Option<ReuseDistance>,
}

/// Allocates a slot of a pool: on a server that has cached the object if one is free in time, else
/// on any server. A request of a customer that uses more than its share waits behind others.
pub async fn acquire(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    criteria: Criteria,
    customer: Option<Claimant<'_>>,
) -> Result<Allocation, AcquireError> {
    let object = criteria.object;
    let account = customer.and_then(|customer| pool.shares().account(customer));
    let account = account.as_ref();
    let cached = acquire_with_affinity(pool, clock, priority, time, &criteria, account).await;
    let lease = match cached {
        Ok(lease) => lease,
        Err(time) => match slot::try_acquire(pool, clock, &criteria, account) {
            Some(lease) => lease,
            None => wait_in_queue(pool, clock, priority, time, criteria, account).await?,
        },
    };
    let (Some(server), Some(object)) = (lease.server(), object) else {
        return Ok(Allocation { lease, reuse_distance: None });
    };
    let reuse_distance = server.reuse_distance(object);
    server.record_object(object, clock.now());
    Ok(Allocation { lease, reuse_distance: Some(reuse_distance) })
}

/// Allocates a slot of a server that has cached the object of a request, or returns the time left.
async fn acquire_with_affinity(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    criteria: &Criteria,
    account: Option<&Arc<Account>>,
) -> Result<Lease, TimeLeft> {
    let latencies = pool.cache_model().latencies();
    let max_wait = latencies.map_or(Duration::ZERO, |(cached, uncached)| {
        admission::max_affinity_wait(time, cached, uncached)
    });
    // The request counts as late if it would miss its objective even on a server that has cached
    // its object.
    let is_late = latencies.is_some_and(|(cached, _)| time.objective < cached);
    let place = account.filter(|_| criteria.object.is_some()).map(|account| pool.enter(account));
    let rank = rank_in_share(Rank::new(priority, is_late), place.as_ref());
    let started_at = clock.now();
    match pool.place(criteria, rank, max_wait, started_at) {
        Placement::Taken(server) => Ok(slot::lease_acquired(pool, clock, server, account)),
        Placement::AnyServer => Err(time),
        Placement::ServerQueue(server) => {
            let sender = criteria.sender;
            let lease =
                slot::wait_for_server(pool, clock, &server, rank, sender, account, max_wait);
            let lease = lease.await;
            lease.ok_or(time.after(clock.now().since(started_at)))
        }
    }
}

async fn wait_in_queue(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    criteria: Criteria,
    account: Option<&Arc<Account>>,
) -> Result<Lease, AcquireError> {
    let servers = pool.servers();
    let now = clock.now();
    let usable = servers.iter().filter(|server| criteria.may_wait_for(server, now));
    let mut load = Load {
        ahead: 0,
        slots: usable.map(|server| server.own_slots()).sum(),
        mean_latency: pool.mean_latency(),
        typical_latency: pool.typical_latency(),
    };
    drop(servers);
    if load.slots == 0 {
        return Err(all_backed_off(pool, clock, &criteria).unwrap_or_else(no_server));
    }
    let place = account.map(|account| pool.enter(account));
    // Requests without a customer are ranked and admitted by their own objective alone.
    let less_urgent = account.and_then(|_| pool.less_urgent(priority, now));
    let rank = admission::rank_among(priority, time, &load, less_urgent);
    let rank = rank_in_share(rank, place.as_ref());
    load.ahead = pool.queued_before(rank, &criteria);
    match admission::decide_among(time, &load, less_urgent) {
        Decision::Refuse { retry_after } => {
            Err(AcquireError { refusal: Refusal::Overloaded, retry_after: Some(retry_after) })
        }
        Decision::Wait { limit } => {
            if !admission::is_late(time, &load) {
                pool.record_admission(priority, limit, now);
            }
            let waits = criteria.clone();
            let granted = slot::wait_ranked(pool, clock, rank, waits, account, limit).await;
            let overloaded = || AcquireError {
                refusal: Refusal::Overloaded,
                retry_after: Some(admission::retry_after(time.after(limit), &load)),
            };
            granted.ok_or_else(|| all_backed_off(pool, clock, &criteria).unwrap_or_else(overloaded))
        }
    }
}

/// The rank of a request by the share of its customer; unchanged without a customer.
fn rank_in_share(rank: Rank, place: Option<&Place>) -> Rank {
    if place.is_some_and(Place::is_beyond) { rank.beyond_share() } else { rank }
}

/// The error for a request whose host must back off from all servers that could run it, with the
/// shortest of the times; `None` if one of them has not asked for it, or there is none.
fn all_backed_off(
    pool: &Pool<QueuedRequest>,
    clock: Monotonic,
    criteria: &Criteria,
) -> Option<AcquireError> {
    let now = clock.now();
    let servers = pool.servers();
    let is_allowed = |server: &&Arc<Server>| {
        server.accepts_requests() && server.own_slots() > 0 && criteria.allows_region_of(server)
    };
    let ends: Option<Vec<Instant>> = servers
        .iter()
        .filter(is_allowed)
        .map(|server| criteria.backoff_until(server, now))
        .collect();
    let shortest = ends?.into_iter().min()?.since(now);
    let retry_after = admission::spread_return(shortest, &mut ThreadRandom);
    Some(AcquireError { refusal: Refusal::Overloaded, retry_after: Some(retry_after) })
}

/// The error for a service without a usable server.
pub fn no_server() -> AcquireError {
    AcquireError { refusal: Refusal::NoServer, retry_after: Some(NO_SERVER_RETRY_AFTER) }
}

/// Records the latency of a server's response, or a failure if `latency` is `None`.
pub fn record_outcome(
    pool: &Pool<QueuedRequest>,
    server: &Server,
    reuse_distance: Option<ReuseDistance>,
    latency: Option<Duration>,
) {
    match latency {
        Some(latency) => pool.observe_for_object(server, reuse_distance, latency),
        None => pool.observe_failure(server),
    }
}
