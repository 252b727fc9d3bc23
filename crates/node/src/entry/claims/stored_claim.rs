//! The table row of one claim, read and written through the batches shared by all claims of a host.

use oleanderspan::{
    prelude::*,
    request::claim::{self, Reply, Table},
};

use crate::{
    entry::claims::{Claims, read, row, write},
    store::{Error, Expect, Row, Write},
};

/// The mean delay before a failed step is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The table row of one claim.
#[derive(Clone, Debug)]
pub struct StoredClaim {
    claims: Claims,
    key: String,
}

impl StoredClaim {
    /// Creates a handle for the row `key`, without accessing the table.
    pub fn new(claims: Claims, key: String) -> StoredClaim {
        StoredClaim { claims, key }
    }

    /// Converts a write of the claim into a write of its row, for a transaction.
    pub fn table_write(&self, write: &claim::Write) -> Write {
        let value = row::encode(&write.claim);
        Write { key: self.key.clone(), expect: write.expect.into(), value }
    }
}

impl Claims {
    /// Writes rows in one transaction, batched with other writes. They take effect at most once;
    /// without an answer from the store the reply is [`Reply::Unanswered`].
    pub async fn transact(&self, writes: Vec<Write>) -> Reply {
        let (pending, reply) = write::Pending::new(writes);
        // A write that does not fit into the queue was not sent.
        if self.writes.try_send(pending).is_err() {
            return Reply::Unavailable;
        }
        reply.await.unwrap_or(Reply::Unanswered)
    }

    /// Reads one row, batched with other reads. Returns `None` if there is no such row, and an
    /// error if the store fails or too many reads are waiting.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let queue_full = || Error::Unavailable("too many reads are queued".to_owned());
        let (pending, row) = read::Pending::new(key);
        self.reads.try_send(pending).map_err(|_| queue_full())?;
        row.await.unwrap_or_else(|_| Err(queue_full()))
    }
}

impl From<claim::Expect> for Expect {
    fn from(expect: claim::Expect) -> Expect {
        match expect {
            claim::Expect::Absent => Expect::Absent,
            claim::Expect::Version(version) => Expect::Version(version),
        }
    }
}

/// Waits before a retry, with jitter, so that hosts do not all return to the table at once.
pub async fn retry_delay() -> Reply {
    tokio::time::sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
    Reply::Waited
}

impl Table for StoredClaim {
    async fn write(&self, write: claim::Write) -> Reply {
        self.claims.transact(vec![self.table_write(&write)]).await
    }

    async fn read(&self) -> Reply {
        let row = match self.claims.read(&self.key).await {
            Ok(row) => row,
            Err(_) => return Reply::Unanswered,
        };
        let decoded = row.map(|row| {
            row::decode(&row.value).map(|claim| claim::Row { version: row.version, claim })
        });
        decoded.transpose().map_or(Reply::Unanswered, Reply::Read)
    }

    async fn wait(&self) -> Reply {
        retry_delay().await
    }
}
