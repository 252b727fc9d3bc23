//! Batching of store calls, so that a few hundred calls a second carry thousands of claims.

use std::collections::VecDeque;

use oleanderspan::prelude::*;
use tokio::{
    sync::{Semaphore, mpsc},
    time::Instant,
};

use crate::store::Store;

/// The maximum number of concurrent store calls of one kind.
const MAX_CALLS: usize = 4;

/// The maximum number of waiting items that are considered for the next batch.
const MAX_WAITING: usize = 1_024;

/// The maximum time that an item waits for its batch; an older one is refused without being sent.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// Limits on the rate and the size of batches.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The minimum time between two batches.
    pub spacing: Duration,
    /// The maximum number of rows in a batch.
    pub rows: usize,
}

/// Several items that are sent to the store in one call.
pub trait Batch: Sized + Send + 'static {
    /// The read or write of one caller.
    type Item: Send;

    /// Removes the items of the next batch, with at most `rows` rows, from `waiting`.
    fn take(waiting: &mut VecDeque<Self::Item>, rows: usize) -> Self;

    /// Calls the store and replies to every item.
    fn send(self, store: Store) -> impl Future<Output = ()> + Send;
}

/// Sends batches within the limits until the queue is closed. An item that arrives after an idle
/// period is sent at once.
pub async fn run<B: Batch>(store: Store, mut queued: mpsc::Receiver<B::Item>, limits: Limits) {
    let calls = Arc::new(Semaphore::new(MAX_CALLS));
    let mut waiting = VecDeque::new();
    let mut next = Instant::now();
    loop {
        if waiting.is_empty() {
            let Some(item) = queued.recv().await else { return };
            waiting.push_back(item);
        }
        tokio::time::sleep_until(next).await;
        let Ok(call) = Arc::clone(&calls).acquire_owned().await else { return };
        while waiting.len() < MAX_WAITING
            && let Ok(item) = queued.try_recv()
        {
            waiting.push_back(item);
        }
        let batch = B::take(&mut waiting, limits.rows);
        let sent = batch.send(store.clone());
        tokio::spawn(async move {
            sent.await;
            drop(call);
        });
        next = Instant::now() + limits.spacing;
    }
}
