//! Batched writes of table rows. Each item succeeds or fails on its own: items that conflict are
//! removed and the rest is sent again, as a transaction with a conflict has no effect.

use std::collections::VecDeque;

use oleanderspan::{prelude::*, request::claim::Reply};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    entry::claims::batch::{self, MAX_WAIT},
    store::{Error, Store, Transaction, Write},
};

/// The maximum total size of the values in one transaction.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Writes that take effect together or not at all, waiting for their batch.
#[derive(Debug)]
pub struct Pending {
    writes: Vec<Write>,
    queued: Instant,
    reply: oneshot::Sender<Reply>,
}

impl Pending {
    /// Creates an item from `writes`, and the receiver of its reply.
    pub fn new(writes: Vec<Write>) -> (Pending, oneshot::Receiver<Reply>) {
        let (reply, replied) = oneshot::channel();
        (Pending { writes, queued: Instant::now(), reply }, replied)
    }

    fn bytes(&self) -> usize {
        self.writes.iter().map(|write| write.value.len()).sum()
    }

    fn touches(&self, keys: &Set<String>) -> bool {
        self.writes.iter().any(|write| keys.contains(&write.key))
    }

    fn answer(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }
}

/// Items that are sent in one transaction.
#[derive(Debug)]
pub struct Batch {
    items: Vec<Pending>,
}

impl batch::Batch for Batch {
    type Item = Pending;

    /// Never puts two writes of the same row into one transaction, as only the first could meet its
    /// expected version.
    fn take(waiting: &mut VecDeque<Pending>, max_rows: usize) -> Batch {
        let (mut items, mut keys, mut remaining) = (Vec::new(), Set::default(), VecDeque::new());
        let (mut rows, mut bytes) = (0, 0);
        while let Some(pending) = waiting.pop_front() {
            if pending.queued.elapsed() > MAX_WAIT {
                pending.answer(Reply::Unavailable);
                continue;
            }
            let is_full =
                rows + pending.writes.len() > max_rows || bytes + pending.bytes() > MAX_VALUE_BYTES;
            if is_full && !items.is_empty() || pending.touches(&keys) {
                remaining.push_back(pending);
                continue;
            }
            rows += pending.writes.len();
            bytes += pending.bytes();
            keys.extend(pending.writes.iter().map(|write| write.key.clone()));
            items.push(pending);
        }
        *waiting = remaining;
        Batch { items }
    }

    async fn send(mut self, store: Store) {
        while !self.items.is_empty() {
            let writes = self.items.iter().flat_map(|item| item.writes.iter().cloned());
            let transaction = Transaction { writes: writes.collect() };
            let reply = match store.transact(&transaction).await {
                Ok(()) => Reply::Written,
                Err(Error::Conflict(conflict)) => {
                    let keys: Set<String> = conflict.keys.into_iter().collect();
                    if self.reject_conflicting(&keys) {
                        continue;
                    }
                    Reply::Unavailable
                }
                Err(Error::Unavailable(_)) => Reply::Unavailable,
                Err(Error::Unanswered(_) | Error::Protocol(_)) => Reply::Unanswered,
            };
            self.items.drain(..).for_each(|item| item.answer(reply.clone()));
        }
    }
}

impl Batch {
    /// Replies to the items that conflict and removes them; returns whether there were any.
    fn reject_conflicting(&mut self, keys: &Set<String>) -> bool {
        let before = self.items.len();
        for item in self.items.extract_if(.., |item| item.touches(keys)) {
            item.answer(Reply::Conflict);
        }
        self.items.len() < before
    }
}
