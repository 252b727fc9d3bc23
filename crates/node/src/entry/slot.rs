//! Slots of backend servers: acquired asynchronously and released on drop.

use oleanderspan::{
    backend::{
        Pool, Sender, Server, Waiter,
        pool::{Criteria, Rank},
    },
    prelude::*,
    request::Refusal,
};
use tokio::sync::oneshot;

use crate::clock::Monotonic;

/// A slot that is occupied until the lease is dropped.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    server: Option<Arc<Server>>,
}

impl Lease {
    fn new(pool: Arc<Pool<QueuedRequest>>, clock: Monotonic, server: Arc<Server>) -> Lease {
        Lease { pool, clock, server: Some(server) }
    }

    /// The server whose slot is occupied; `None` only while the lease is being dropped.
    pub fn server(&self) -> Option<&Arc<Server>> {
        self.server.as_ref()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(server) = self.server.take() {
            self.pool.release(&server, self.clock.now());
        }
    }
}

/// A request in the queue of a pool.
#[derive(Debug)]
pub struct QueuedRequest {
    pool: Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    sender: Option<Sender>,
    signal: oneshot::Sender<Lease>,
}

impl Waiter for QueuedRequest {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        let lease = Lease::new(self.pool, self.clock, server);
        match self.signal.send(lease) {
            Ok(()) => Ok(()),
            // Removes the server so that dropping the lease does not release the slot a second
            // time.
            Err(mut lease) => lease.server.take().map_or(Ok(()), Err),
        }
    }

    fn sender(&self) -> Option<Sender> {
        self.sender
    }
}

/// Acquires a slot, waiting for at most `limit`. Fails with [`Refusal::NoServer`] if all servers
/// are leaving, and with [`Refusal::Overloaded`] after `limit`.
pub async fn acquire(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    limit: Duration,
) -> Result<Lease, Refusal> {
    if let Some(server) = pool.try_acquire() {
        return Ok(Lease::new(Arc::clone(pool), clock, server));
    }
    if pool.servers().iter().all(|server| server.is_leaving()) {
        return Err(Refusal::NoServer);
    }
    let (signal, granted) = oneshot::channel();
    let queued = QueuedRequest { pool: Arc::clone(pool), clock, sender: None, signal };
    pool.enqueue(queued, limit, clock.now());
    match tokio::time::timeout(limit, granted).await {
        Ok(Ok(lease)) => Ok(lease),
        _ => Err(Refusal::Overloaded),
    }
}

/// Acquires a free slot that meets the criteria, without waiting.
pub fn try_acquire(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    criteria: &Criteria,
) -> Option<Lease> {
    let server = pool.try_acquire_for(criteria, clock.now())?;
    Some(Lease::new(Arc::clone(pool), clock, server))
}

/// Wraps a slot that has already been acquired.
pub fn lease_acquired(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    server: Arc<Server>,
) -> Lease {
    Lease::new(Arc::clone(pool), clock, server)
}

/// Waits for a slot of `server` for at most `limit`; `None` if there was none in time.
pub async fn wait_for_server(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    server: &Arc<Server>,
    rank: Rank,
    sender: Option<Sender>,
    limit: Duration,
) -> Option<Lease> {
    let (signal, granted) = oneshot::channel();
    let queued = QueuedRequest { pool: Arc::clone(pool), clock, sender, signal };
    pool.enqueue_for_server(queued, server, rank, limit, clock.now());
    tokio::time::timeout(limit, granted).await.ok()?.ok()
}

/// Waits in the queue with `rank` for a slot that meets the criteria, for at most `limit`; `None`
/// if there was none in time.
pub async fn wait_ranked(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    rank: Rank,
    criteria: Criteria,
    limit: Duration,
) -> Option<Lease> {
    let (signal, granted) = oneshot::channel();
    let queued = QueuedRequest { pool: Arc::clone(pool), clock, sender: criteria.sender, signal };
    pool.enqueue_ranked(queued, rank, criteria, limit, clock.now());
    tokio::time::timeout(limit, granted).await.ok()?.ok()
}

/// Acquires a slot of a server other than `excluded`, without waiting.
pub fn try_acquire_other(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    excluded: &Server,
) -> Option<Lease> {
    let server = pool.try_acquire_other(excluded)?;
    Some(Lease::new(Arc::clone(pool), clock, server))
}
