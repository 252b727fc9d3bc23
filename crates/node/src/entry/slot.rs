//! Slots of backend servers: acquired asynchronously and released on drop.

use oleanderspan::{
    backend::{
        Pool, Sender, Server, Waiter,
        pool::{Criteria, Rank},
    },
    customer::share::{Account, Held},
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
    /// Counts the slot for its customer; `None` without one.
    held: Option<Held>,
}

impl Lease {
    fn new(
        pool: Arc<Pool<QueuedRequest>>,
        clock: Monotonic,
        server: Arc<Server>,
        account: Option<&Arc<Account>>,
    ) -> Lease {
        Lease { pool, clock, server: Some(server), held: account.map(Account::hold) }
    }

    /// The server whose slot is occupied; `None` only while the lease is being dropped.
    pub fn server(&self) -> Option<&Arc<Server>> {
        self.server.as_ref()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        // Released first, as the pool may hand the slot to another request of the customer.
        drop(self.held.take());
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
    account: Option<Arc<Account>>,
    signal: oneshot::Sender<Lease>,
}

impl Waiter for QueuedRequest {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        let lease = Lease::new(self.pool, self.clock, server, self.account.as_ref());
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
        return Ok(Lease::new(Arc::clone(pool), clock, server, None));
    }
    if pool.servers().iter().all(|server| server.is_leaving()) {
        return Err(Refusal::NoServer);
    }
    let (signal, granted) = oneshot::channel();
    let pool_of_lease = Arc::clone(pool);
    let queued = QueuedRequest { pool: pool_of_lease, clock, sender: None, account: None, signal };
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
    account: Option<&Arc<Account>>,
) -> Option<Lease> {
    let server = pool.try_acquire_for(criteria, clock.now())?;
    Some(Lease::new(Arc::clone(pool), clock, server, account))
}

/// Wraps a slot that has already been acquired.
pub fn lease_acquired(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    server: Arc<Server>,
    account: Option<&Arc<Account>>,
) -> Lease {
    Lease::new(Arc::clone(pool), clock, server, account)
}

/// Waits for a slot of `server` for at most `limit`; `None` if there was none in time.
pub async fn wait_for_server(
    pool: &Arc<Pool<QueuedRequest>>,
    clock: Monotonic,
    server: &Arc<Server>,
    rank: Rank,
    sender: Option<Sender>,
    account: Option<&Arc<Account>>,
    limit: Duration,
) -> Option<Lease> {
    let (signal, granted) = oneshot::channel();
    let account = account.cloned();
    let queued = QueuedRequest { pool: Arc::clone(pool), clock, sender, account, signal };
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
    account: Option<&Arc<Account>>,
    limit: Duration,
) -> Option<Lease> {
    let (signal, granted) = oneshot::channel();
    let (sender, account) = (criteria.sender, account.cloned());
    let queued = QueuedRequest { pool: Arc::clone(pool), clock, sender, account, signal };
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
    Some(Lease::new(Arc::clone(pool), clock, server, None))
}
