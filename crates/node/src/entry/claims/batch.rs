//! Batches: what waits goes to the store in one call, so that a few hundred calls a second carry
//! thousands of claims.

use std::collections::VecDeque;

use oleanderspan::prelude::*;
use tokio::{
    sync::{Semaphore, mpsc},
    time::Instant,
};

use crate::store::Store;

/// Calls of one kind that a host has under way at once.
const MAX_CALLS: usize = 4;

/// Tickets that are looked through for the next batch.
const MAX_WAITING: usize = 1_024;

/// The longest time that a item waits for its batch; an older one is refused unsent.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// How often batches go to the store, and how large they are.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The least time between two batches.
    pub spacing: Duration,
    /// The most rows of a batch.
    pub rows: usize,
}

/// Several tickets that go to the store in one call.
pub trait Batch: Sized + Send + 'static {
    /// One caller's part.
    type Item: Send;

    /// Takes the tickets of the next batch, of at most `rows` rows, out of those that wait.
    fn take(waiting: &mut VecDeque<Self::Item>, rows: usize) -> Self;

    /// Calls the store and replies to every item.
    fn send(self, store: Store) -> impl Future<Output = ()> + Send;
}

/// Sends batches for ever, within the limits; a item that comes alone goes at once.
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
