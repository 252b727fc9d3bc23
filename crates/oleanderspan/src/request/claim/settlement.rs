//! The state machine that records the final state of a claim after its request ended.

use crate::request::claim::{Claim, Expect, Reply, Row, State, Step, Write};

value! {
    /// Brings the row of a claim to its final state, retrying until the table confirms it.
    pub struct Settlement {
        claim: Claim,
        expect: Expect,
        phase: Phase,
    }

    /// Which reply the settlement waits for.
    enum Phase {
        /// No step has been issued.
        NotStarted,
        /// The reply to the write.
        Writing,
        /// The row.
        Reading,
        /// The end of a back-off wait.
        Waiting,
    }
}

impl Settlement {
    /// Records the final state of a claimed request whose row has `version`.
    pub fn record(operation: &str, digest: &str, version: u64, state: State) -> Settlement {
        let claim = Claim { operation: operation.into(), digest: digest.into(), state };
        Settlement { claim, expect: Expect::Version(version), phase: Phase::NotStarted }
    }

    /// Releases a claim whose write with the precondition `expect` may have taken effect or may
    /// yet. Starts with a wait, as the table has just failed.
    pub fn abandon(operation: &str, digest: &str, expect: Expect) -> Settlement {
        let state = State::Released;
        let claim = Claim { operation: operation.into(), digest: digest.into(), state };
        Settlement { claim, expect, phase: Phase::Waiting }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        match self.phase {
            Phase::NotStarted => self.write(self.expect),
            _ => self.wait(),
        }
    }

    /// Returns the step that follows a reply, or `None` when the settlement is complete.
    pub fn on_reply(&mut self, reply: Reply) -> Option<Step> {
        match reply {
            Reply::Written => None,
            Reply::Waited => {
                self.phase = Phase::Reading;
                Some(Step::Read)
            }
            Reply::Conflict | Reply::Unavailable | Reply::Unanswered => Some(self.wait()),
            Reply::Read(row) => self.evaluate_row(row.as_ref()),
        }
    }

    fn evaluate_row(&mut self, row: Option<&Row>) -> Option<Step> {
        if self.expect.holds(row) {
            return Some(self.write(self.expect));
        }
        let row = row?;
        let is_held = row.claim.operation == self.claim.operation && row.claim.state == State::Held;
        is_held.then(|| self.write(Expect::Version(row.version)))
    }

    fn write(&mut self, expect: Expect) -> Step {
        self.phase = Phase::Writing;
        Step::Write(Write { expect, claim: self.claim.clone() })
    }

    fn wait(&mut self) -> Step {
        self.phase = Phase::Waiting;
        Step::Wait
    }
}
