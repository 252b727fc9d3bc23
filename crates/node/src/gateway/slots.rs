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
    entry::slot::{self, Lease, QueuedRequest},
    gateway::state::is_usable,
};

/// When clients may come back if there is no server at all: about the time in which a platform
/// lists a new one.
const NO_SERVER_RETRY: Duration = Duration::from_millis(1_000);

/// Why there is no slot, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The reason.
    pub refusal: Refusal,
    /// When a client may come back.
    pub retry_after: Option<Duration>,
}

/// A slot that this host has given out.
#[derive(Debug)]
pub struct Given {
    /// The slot.
    pub lease: Lease,
    /// How well the server knows the object of the request, if it is about one.
    pub recall: Option<ReuseDistance>,
}

/// Takes a slot of a pool that this host gives out.
pub async fn acquire(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    wish: Criteria,
) -> Result<Given, Refused> {
    let object = wish.object;
    let lease = match near(pool, clock, priority, time, &wish).await {
        Ok(lease) => lease,
        Err(time) => match slot::try_acquire(pool, clock, &wish) {
            Some(lease) => lease,
            None => queue(pool, clock, priority, time, wish).await?,
        },
    };
    let (Some(server), Some(object)) = (lease.server(), object) else {
        return Ok(Given { lease, recall: None });
    };
    let recall = server.reuse_distance(object);
    server.record_object(object, clock.now());
    Ok(Given { lease, recall: Some(recall) })
}

/// Takes a slot of a server that knows the object of a request, or returns what time is left.
async fn near(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    wish: &Criteria,
) -> Result<Lease, TimeLeft> {
    let latencies = pool.cache_model().latencies();
    let patience = latencies.map_or(Duration::ZERO, |(known, unknown)| {
        admission::max_affinity_wait(time, known, unknown)
    });
    // What counts is whether it would be in time on a server that knows its object.
    let is_late = latencies.is_some_and(|(known, _)| time.objective < known);
    let rank = Rank::new(priority, is_late);
    let began = clock.now();
    match pool.place(wish, rank, patience, began) {
        Placement::Taken(server) => Ok(slot::lease_acquired(pool, clock, server)),
        Placement::AnyServer => Err(time),
        Placement::ServerQueue(server) => {
            let lease = slot::wait_for_server(pool, clock, &server, rank, patience).await;
            let spent = clock.now().since(began);
            lease.ok_or(TimeLeft {
                objective: time.objective.saturating_sub(spent),
                deadline: time.deadline.saturating_sub(spent),
            })
        }
    }
}

async fn queue(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    priority: u8,
    time: TimeLeft,
    wish: Criteria,
) -> Result<Lease, Refused> {
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
            Err(Refused { refusal: Refusal::Overloaded, retry_after: Some(retry_after) })
        }
        Decision::Wait { limit } => {
            let granted = slot::wait_ranked(pool, clock, rank, wish, limit).await;
            granted.ok_or_else(|| Refused {
                refusal: Refusal::Overloaded,
                retry_after: Some(load.expected_wait().min(time.deadline)),
            })
        }
    }
}

/// There is no server, or none that may be used.
pub fn no_server() -> Refused {
    Refused { refusal: Refusal::NoServer, retry_after: Some(NO_SERVER_RETRY) }
}

/// Takes note of an answer of a server, or of its failure.
pub fn note(
    pool: &Pool<QueuedRequest>,
    server: &Server,
    recall: Option<ReuseDistance>,
    latency: Option<Duration>,
) {
    match latency {
        Some(latency) => pool.observe_for_object(server, recall, latency),
        None => server.observe_failure(),
    }
}
