//! Batches of reads.

use std::collections::VecDeque;

use oleanderspan::prelude::*;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    entry::claims::batch::{self, MAX_WAIT},
    store::{Error, Row, Store},
};

/// One row that is to be read.
#[derive(Debug)]
pub struct Ticket {
    key: String,
    queued: Instant,
    reply: oneshot::Sender<Result<Option<Row>, Error>>,
}

impl Ticket {
    /// A ticket for a row, and where the row comes.
    pub fn new(key: &str) -> (Ticket, oneshot::Receiver<Result<Option<Row>, Error>>) {
        let (reply, replied) = oneshot::channel();
        (Ticket { key: key.to_owned(), queued: Instant::now(), reply }, replied)
    }
}

/// Tickets of one read.
#[derive(Debug)]
pub struct Batch {
    tickets: Vec<Ticket>,
}

impl batch::Batch for Batch {
    type Ticket = Ticket;

    fn take(waiting: &mut VecDeque<Ticket>, max_rows: usize) -> Batch {
        let count = waiting.len().min(max_rows);
        let fresh = |ticket: &Ticket| ticket.queued.elapsed() <= MAX_WAIT;
        Batch { tickets: waiting.drain(..count).filter(fresh).collect() }
    }

    async fn send(self, store: Store) {
        let keys: Set<&str> = self.tickets.iter().map(|ticket| ticket.key.as_str()).collect();
        if keys.is_empty() {
            return;
        }
        let keys = keys.into_iter().map(str::to_owned).collect();
        let read = store.read(keys).await;
        let rows = read.map(|rows| {
            rows.into_iter().map(|row| (row.key.clone(), row)).collect::<Map<String, Row>>()
        });
        for ticket in self.tickets {
            let found = rows.as_ref().map(|rows| rows.get(&ticket.key).cloned());
            let _ = ticket.reply.send(found.map_err(Error::clone));
        }
    }
}
