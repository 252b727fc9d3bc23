//! Slots that this host gives out: who gets one at once, who waits and for what, who is refused.
//!
//! The decisions are in [`oleanderspan::backend::pool`] and [`oleanderspan::request::admission`];
//! here requests wait for what was decided.

use oleanderspan::{
    backend::{
        Pool, ReuseDistance, Server,
        pool::{Criteria, Placement, Rank},
    },
    prelude::*,
    request::{
        Refusal,
        admission::{self, Decision, Load, TimeLeft},
    },
};

use crate::{
    clock::Monotonic,
    entry::slot::{self, Lease, Ticket},
    gateway::state::is_usable,
};

/// When clients may come back if there is no server at all: about the time in which a platform
/// lists a new one.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Why there is no slot, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcquireError {
    /// The reason.
    pub refusal: Refusal,
    /// When a client may come back.
    pub retry_after: Option<Duration>,
}

/// A slot that this host has given out.
#[derive(Debug)]
pub struct Allocation {
    /// The slot.
    pub lease: Lease,
    /// How well the server knows the object of the request, if it is about one.
    pub reuse_distance: Option<ReuseDistance>,
}

/// Takes a slot of a pool that this host gives out.
pub async fn acquire(
    pool: &Arc<Pool<Ticket>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    criteria: Criteria,
) -> Result<Allocation, AcquireError> {
    let object = criteria.object;
    let lease = match acquire_with_affinity(pool, clock, priority, time, &criteria).await {
        Ok(lease) => lease,
        Err(time) => match slot::try_acquire(pool, clock, &criteria) {
            Some(lease) => lease,
            None => wait_in_queue(pool, clock, priority, time, criteria).await?,
        },
    };
    let (Some(server), Some(object)) = (lease.server(), object) else {
        return Ok(Allocation { lease, reuse_distance: None });
    };
    let reuse_distance = server.reuse_distance(object);
    server.record_object(object, clock.now());
    Ok(Allocation { lease, reuse_distance: Some(reuse_distance) })
}

/// Takes a slot of a server that knows the object of a request, or returns what time is left.
async fn acquire_with_affinity(
    pool: &Arc<Pool<Ticket>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    criteria: &Criteria,
) -> Result<Lease, TimeLeft> {
    let latencies = pool.cache_model().latencies();
    let max_wait = latencies.map_or(Duration::ZERO, |(known, unknown)| {
        admission::max_affinity_wait(time, known, unknown)
    });
    // What counts is whether it would be in time on a server that knows its object.
    let is_late = latencies.is_some_and(|(known, _)| time.objective < known);
    let rank = Rank::new(priority, is_late);
    let started_at = clock.now();
    match pool.place(criteria, rank, max_wait, started_at) {
        Placement::Taken(server) => Ok(slot::lease(pool, clock, server)),
        Placement::AnyServer => Err(time),
        Placement::ServerQueue(server) => {
            let lease = slot::wait_behind(pool, clock, &server, rank, max_wait).await;
            let elapsed = clock.now().since(started_at);
            lease.ok_or(TimeLeft {
                objective: time.objective.saturating_sub(elapsed),
                deadline: time.deadline.saturating_sub(elapsed),
            })
        }
    }
}

async fn wait_in_queue(
    pool: &Arc<Pool<Ticket>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    criteria: Criteria,
) -> Result<Lease, AcquireError> {
    let servers = pool.servers();
    let usable = servers.iter().filter(|server| is_usable(server));
    let mut load = Load {
        ahead: 0,
        slots: usable.map(|server| server.own_slots()).sum(),
        mean_latency: pool.mean_latency(),
        typical_latency: pool.typical_latency(),
    };
    drop(servers);
    if load.slots == 0 {
        return Err(no_server());
    }
    let rank = admission::rank(priority, time, &load);
    load.ahead = pool.queued_before(rank);
    match admission::decide(time, &load) {
        Decision::Refuse { retry_after } => {
            Err(AcquireError { refusal: Refusal::Overloaded, retry_after: Some(retry_after) })
        }
        Decision::Wait { limit } => {
            let granted = slot::wait(pool, clock, rank, criteria, limit).await;
            granted.ok_or_else(|| AcquireError {
                refusal: Refusal::Overloaded,
                retry_after: Some(load.expected_wait().min(time.deadline)),
            })
        }
    }
}

/// There is no server, or none that may be used.
pub fn no_server() -> AcquireError {
    AcquireError { refusal: Refusal::NoServer, retry_after: Some(NO_SERVER_RETRY_AFTER) }
}

/// Takes note of an answer of a server, or of its failure.
pub fn record_outcome(
    pool: &Pool<Ticket>,
    server: &Server,
    reuse_distance: Option<ReuseDistance>,
    latency: Option<Duration>,
) {
    match latency {
        Some(latency) => pool.observe_for_object(server, reuse_distance, latency),
        None => server.observe_failure(),
    }
}
