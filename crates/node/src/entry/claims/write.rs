//! Batches of writes. Each ticket stands or falls alone: rows that conflict are split out and
//! the rest is sent again, as nothing of a transaction with a conflict has taken effect.

use std::collections::VecDeque;

use oleanderspan::{prelude::*, request::claim::Reply};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    entry::claims::batch::{self, MAX_WAIT},
    store::{Error, Store, Transaction, Write},
};

/// The most bytes of values in one transaction.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Writes that take effect together or not at all.
#[derive(Debug)]
pub struct Ticket {
    writes: Vec<Write>,
    queued: Instant,
    reply: oneshot::Sender<Reply>,
}

impl Ticket {
    /// A ticket of writes, and where its reply comes.
    pub fn new(writes: Vec<Write>) -> (Ticket, oneshot::Receiver<Reply>) {
        let (reply, replied) = oneshot::channel();
        (Ticket { writes, queued: Instant::now(), reply }, replied)
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

/// Tickets of one transaction.
#[derive(Debug)]
pub struct Batch {
    tickets: Vec<Ticket>,
}

impl batch::Batch for Batch {
    type Ticket = Ticket;

    /// Two writes of one row never share a transaction, as only the first could hold.
    fn take(waiting: &mut VecDeque<Ticket>, max_rows: usize) -> Batch {
        let (mut tickets, mut keys, mut kept) = (Vec::new(), Set::default(), VecDeque::new());
        let (mut rows, mut bytes) = (0, 0);
        while let Some(ticket) = waiting.pop_front() {
            if ticket.queued.elapsed() > MAX_WAIT {
                ticket.answer(Reply::Unavailable);
                continue;
            }
            let full =
                rows + ticket.writes.len() > max_rows || bytes + ticket.bytes() > MAX_VALUE_BYTES;
            if full && !tickets.is_empty() || ticket.touches(&keys) {
                kept.push_back(ticket);
                continue;
            }
            rows += ticket.writes.len();
            bytes += ticket.bytes();
            keys.extend(ticket.writes.iter().map(|write| write.key.clone()));
            tickets.push(ticket);
        }
        *waiting = kept;
        Batch { tickets }
    }

    async fn send(mut self, store: Store) {
        while !self.tickets.is_empty() {
            let writes = self.tickets.iter().flat_map(|ticket| ticket.writes.iter().cloned());
            let transaction = Transaction { writes: writes.collect() };
            let reply = match store.transact(&transaction).await {
                Ok(()) => Reply::Written,
                Err(Error::Conflict(conflict)) => {
                    let keys: Set<String> = conflict.keys.into_iter().collect();
                    if self.split_out(&keys) {
                        continue;
                    }
                    Reply::Unavailable
                }
                Err(Error::Unavailable(_)) => Reply::Unavailable,
                Err(Error::Unanswered(_) | Error::Protocol(_)) => Reply::Unanswered,
            };
            self.tickets.drain(..).for_each(|ticket| ticket.answer(reply.clone()));
        }
    }
}

impl Batch {
    /// Answers the tickets that conflict; returns whether there were any.
    fn split_out(&mut self, keys: &Set<String>) -> bool {
        let before = self.tickets.len();
        for ticket in self.tickets.extract_if(.., |ticket| ticket.touches(keys)) {
            ticket.answer(Reply::Conflict);
        }
        self.tickets.len() < before
    }
}
