//! The interface to the row of a claim: steps, replies and the loops that run them.

use crate::request::claim;

key! {
    /// The precondition of a write.
    pub enum Expect {
        /// The row does not exist.
        Absent,
        /// The row has this version.
        Version(u64),
    }
}

impl Expect {
    /// Whether `row` meets the precondition, so that the write can still take effect.
    pub fn holds(self, row: Option<&Row>) -> bool {
        match (self, row) {
            (Expect::Absent, None) => true,
            (Expect::Version(version), Some(row)) => row.version == version,
            _ => false,
        }
    }

    /// The version of the row after the write has taken effect.
    pub const fn next(self) -> u64 {
        match self {
            Expect::Absent => 1,
            Expect::Version(version) => version + 1,
        }
    }
}

value! {
    /// The row of a claim as it was read.
    pub struct Row {
        /// The version of the row: 1 after the first write, incremented by each further one.
        pub version: u64,
        /// The stored claim.
        pub claim: claim::Claim,
    }

    /// A conditional write of the row.
    pub struct Write {
        /// The precondition; if it does not hold, nothing is written.
        pub expect: Expect,
        /// The claim to store.
        pub claim: claim::Claim,
    }

    /// The next step of a state machine.
    pub enum Step {
        /// Write the row.
        Write(Write),
        /// Read the row.
        Read,
        /// Back off with jitter before the next step.
        Wait,
    }

    /// The result of a step.
    pub enum Reply {
        /// The write took effect.
        Written,
        /// The precondition did not hold, so nothing was written.
        Conflict,
        /// The row as read; `None` if it does not exist.
        Read(Option<Row>),
        /// The table could not be used; the step had no effect.
        Unavailable,
        /// No reply arrived; a write may have taken effect or may do so later.
        Unanswered,
        /// The back-off has elapsed.
        Waited,
    }
}

/// Access to the row of one claim.
pub trait Table {
    /// Writes the row if the precondition holds; replies `Written`, `Conflict`, `Unavailable` or
    /// `Unanswered`, and never sends the write twice.
    fn write(&self, write: Write) -> impl Future<Output = Reply> + Send;

    /// Reads the row; replies `Read`, `Unavailable` or `Unanswered`.
    fn read(&self) -> impl Future<Output = Reply> + Send;

    /// Backs off with jitter, so that hosts do not all retry at once; replies `Waited`.
    fn wait(&self) -> impl Future<Output = Reply> + Send;
}

/// Performs one step.
pub async fn run_step<T: Table>(table: &T, step: Step) -> Reply {
    match step {
        Step::Write(write) => table.write(write).await,
        Step::Read => table.read().await,
        Step::Wait => table.wait().await,
    }
}

/// Runs an attempt until it reaches a decision.
pub async fn claim<T: Table>(table: &T, attempt: &mut claim::Attempt) -> claim::Decision {
    let mut step = attempt.start();
    loop {
        match attempt.on_reply(run_step(table, step).await) {
            Ok(next) => step = next,
            Err(decision) => return decision,
        }
    }
}

/// Runs a settlement to completion.
pub async fn settle<T: Table>(table: &T, mut settlement: claim::Settlement) {
    let mut step = settlement.start();
    loop {
        match settlement.on_reply(run_step(table, step).await) {
            Some(next) => step = next,
            None => return,
        }
    }
}
