//! Transactions on the rows of a job, as tables for the claim rules.

use oleanderspan::request::{
    Job,
    claim::{self, Claim, Reply, Table},
    job,
};

use crate::{
    clock,
    entry::{
        claims::{
            Claims, row as claim_row,
            stored_claim::{StoredClaim, retry_delay},
        },
        jobs::row::{self, Row},
    },
    store::{Expect, Write},
};

/// Claims an idempotency key and stores the job of its request in one transaction.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The table access that the writes go through.
    pub claims: Claims,
    /// The row of the key's claim.
    pub claim: StoredClaim,
    /// The key of the job's row.
    pub key: String,
    /// The job's row; its claim version is set when it is written.
    pub row: Row,
}

impl Table for Submission {
    async fn write(&self, write: claim::Write) -> Reply {
        let mut writes = vec![self.claim.table_write(&write)];
        if write.claim.state == claim::State::Held {
            let row = Row { claim_version: write.expect.next(), ..self.row.clone() };
            let (key, value) = (self.key.clone(), row::encode(&row));
            writes.push(Write { key, expect: Expect::Absent, value });
        }
        self.claims.transact(writes).await
    }

    async fn read(&self) -> Reply {
        self.claim.read().await
    }

    async fn wait(&self) -> Reply {
        retry_delay().await
    }
}

/// Claims a job so that this host may run it.
#[derive(Clone, Debug)]
pub struct JobClaim {
    /// The table access that the writes go through.
    pub claims: Claims,
    /// The key of the job's row.
    pub key: String,
    /// The row as it was read when the job was found.
    pub row: Row,
    /// The job state to write while the claim is held: running or in doubt.
    pub held: job::State,
}

impl JobClaim {
    fn job_after(&self, claim: &Claim) -> Job {
        let (operation, digest) = (claim.operation.clone(), claim.digest.clone());
        let job = Job { operation, digest, ..self.row.job.clone() };
        match claim.state {
            claim::State::Held => Job { state: self.held.clone(), ..job },
            claim::State::Released => job.requeued(clock::wall_millis()),
            claim::State::Done(_) => Job { state: job::State::Done, ..job },
        }
    }

    /// Builds the write that stores the answer with the claim of the key, in the same transaction.
    fn claim_write(&self, answer: &claim::Answer) -> Write {
        let claim = Claim {
            operation: self.row.claim_operation.as_str().into(),
            digest: self.row.job.digest.clone(),
            state: claim::State::Done(answer.clone()),
        };
        Write {
            key: self.row.claim_key.clone(),
            expect: Expect::Version(self.row.claim_version),
            value: claim_row::encode(&claim),
        }
    }
}

impl Table for JobClaim {
    async fn write(&self, write: claim::Write) -> Reply {
        let row = Row { job: self.job_after(&write.claim), ..self.row.clone() };
        let (key, value) = (self.key.clone(), row::encode(&row));
        let mut writes = vec![Write { key, expect: write.expect.into(), value }];
        if let claim::State::Done(answer) = &write.claim.state {
            writes.push(self.claim_write(answer));
        }
        self.claims.transact(writes).await
    }

    async fn read(&self) -> Reply {
        let Ok(row) = self.claims.read(&self.key).await else { return Reply::Unanswered };
        let decoded = row.map(|row| {
            let claim = row::decode(&row.value).map(|decoded| decoded.job.claim());
            claim.map(|claim| claim::Row { version: row.version, claim })
        });
        decoded.transpose().map_or(Reply::Unanswered, Reply::Read)
    }

    async fn wait(&self) -> Reply {
        retry_delay().await
    }
}
