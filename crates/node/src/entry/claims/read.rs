//! Batched reads of table rows.

use std::collections::VecDeque;

use oleanderspan::prelude::*;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    entry::claims::batch::{self, MAX_WAIT},
    store::{Error, Row, Store},
};

/// A read that waits for its batch.
#[derive(Debug)]
pub struct Pending {
    key: String,
    queued: Instant,
    reply: oneshot::Sender<Result<Option<Row>, Error>>,
}

impl Pending {
    /// Creates a read of the row `key`, and the receiver of its result.
    pub fn new(key: &str) -> (Pending, oneshot::Receiver<Result<Option<Row>, Error>>) {
        let (reply, replied) = oneshot::channel();
        (Pending { key: key.to_owned(), queued: Instant::now(), reply }, replied)
    }
}

/// Reads that are sent in one call.
#[derive(Debug)]
pub struct Batch {
    items: Vec<Pending>,
}

impl batch::Batch for Batch {
    type Item = Pending;

    fn take(waiting: &mut VecDeque<Pending>, max_rows: usize) -> Batch {
        let count = waiting.len().min(max_rows);
        let is_fresh = |item: &Pending| item.queued.elapsed() <= MAX_WAIT;
        Batch { items: waiting.drain(..count).filter(is_fresh).collect() }
    }

    async fn send(self, store: Store) {
        let keys: Set<&str> = self.items.iter().map(|item| item.key.as_str()).collect();
        if keys.is_empty() {
            return;
        }
        let keys = keys.into_iter().map(str::to_owned).collect();
        let read = store.read(keys).await;
        let rows = read.map(|rows| {
            rows.into_iter().map(|row| (row.key.clone(), row)).collect::<Map<String, Row>>()
        });
        for item in self.items {
            let found = rows.as_ref().map(|rows| rows.get(&item.key).cloned());
            let _ = item.reply.send(found.map_err(Error::clone));
        }
    }
}
