//! The port to the row of a claim: what is asked of it and what it replies.

use crate::request::claim;

key! {
    /// What a write demands of the row.
    pub enum Expect {
        /// There is no row.
        Absent,
        /// The row has this version.
        Version(u64),
    }
}

impl Expect {
    /// Whether the row is still as the write demands it, so that the write may yet land.
    pub fn holds(self, row: Option<&Row>) -> bool {
        match (self, row) {
            (Expect::Absent, None) => true,
            (Expect::Version(version), Some(row)) => row.version == version,
            _ => false,
        }
    }

    /// The version of the row once the write has landed.
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
        /// Counts the writes of the row; the first one is 1.
        pub version: u64,
        /// What it says.
        pub claim: claim::Claim,
    }

    /// A conditional write of the row.
    pub struct Write {
        /// What must hold before.
        pub expect: Expect,
        /// What the row says afterwards.
        pub claim: claim::Claim,
    }

    /// What is to be done next.
    pub enum Step {
        /// Write the row.
        Write(Write),
        /// Read the row.
        Read,
        /// Wait a while before the next step, with jitter.
        Wait,
    }

    /// What came of a step.
    pub enum Reply {
        /// The write took effect.
        Written,
        /// The precondition did not hold, so nothing was written.
        Conflict,
        /// The row was read.
        Read(Option<Row>),
        /// The step had no effect.
        Unavailable,
        /// No answer came; a write may have taken effect, or may do so later.
        Unanswered,
        /// The wait is over.
        Waited,
    }
}

/// Access to the row of one claim.
pub trait Table {
    /// Writes the row if the precondition holds; replies `Written`, `Conflict`, `Unavailable` or
    /// `Unanswered`, and never writes twice.
    fn write(&self, write: Write) -> impl Future<Output = Reply> + Send;

    /// Reads the row; replies `Read`, `Unavailable` or `Unanswered`.
    fn read(&self) -> impl Future<Output = Reply> + Send;

    /// Waits a while, with jitter, so that hosts do not return to the table all at once.
    fn wait(&self) -> impl Future<Output = Reply> + Send;
}

/// Does one step.
pub async fn run_step<T: Table>(table: &T, step: Step) -> Reply {
    match step {
        Step::Write(write) => table.write(write).await,
        Step::Read => table.read().await,
        Step::Wait => table.wait().await,
    }
}

/// Follows an attempt to its verdict.
pub async fn claim<T: Table>(table: &T, attempt: &mut claim::Attempt) -> claim::Decision {
    let mut step = attempt.start();
    loop {
        match attempt.on_reply(run_step(table, step).await) {
            Ok(next) => step = next,
            Err(decision) => return decision,
        }
    }
}

/// Follows a settlement to its end.
pub async fn settle<T: Table>(table: &T, mut settlement: claim::Settlement) {
    let mut step = settlement.start();
    loop {
        match settlement.on_reply(run_step(table, step).await) {
            Some(next) => step = next,
            None => return,
        }
    }
}
