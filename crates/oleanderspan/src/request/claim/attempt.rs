//! The state machine by which one arrival of a request claims its key.
//!
//! After a write without a reply, the row is read back. If the row still meets the precondition of
//! the write, a tombstone (a released claim) is written with the same precondition, so that the
//! lost write can no longer take effect.

use crate::request::{
    Refusal,
    claim::{Answer, Claim, Expect, Reply, Row, Settlement, State, Step, Write},
};

/// The most claim writes of one attempt; each but the first follows a release by another arrival.
const MAX_CLAIM_WRITES: u8 = 4;

value! {
    /// The attempt of one arrival of a request to claim its key.
    pub struct Attempt {
        operation: Box<str>,
        digest: Box<str>,
        initial_precondition: Expect,
        claim_writes: u8,
        phase: Phase,
    }

    /// Which reply the attempt waits for.
    enum Phase {
        /// The reply to the claim write with this precondition.
        Claiming(Expect),
        /// The row, when no write of this attempt can take effect any more.
        Inspecting,
        /// The row, when the claim write with this precondition may have taken effect or may yet.
        Confirming(Expect),
        /// The reply to the tombstone that replaces a claim write with this precondition.
        WritingTombstone(Expect),
    }

    /// The result of an attempt.
    pub enum Decision {
        /// This arrival, and no other, may run the request once.
        Run {
            /// The row version of the claim, required to record the result.
            version: u64,
        },
        /// The request has already run and got this answer.
        Answer(Answer),
        /// This arrival may not run the request, and none of its writes can take effect any more.
        Refuse(Refusal),
        /// This arrival may not run the request, and a write of it may still take effect: the
        /// settlement must be run to release the claim.
        Abandon(Settlement),
    }
}

impl Attempt {
    /// An attempt on a key whose row has not been read; `operation` is unique to the arrival.
    pub fn new(operation: &str, digest: &str) -> Attempt {
        Attempt::after_release(operation, digest, Expect::Absent)
    }

    /// An attempt on a row that was read as released, with the precondition `seen`.
    pub fn after_release(operation: &str, digest: &str, seen: Expect) -> Attempt {
        Attempt {
            operation: operation.into(),
            digest: digest.into(),
            initial_precondition: seen,
            claim_writes: 0,
            phase: Phase::Inspecting,
        }
    }

    /// The first step: the claim write.
    pub fn start(&mut self) -> Step {
        self.claim(self.initial_precondition)
    }

    /// Returns the step that follows a reply, or the decision as an `Err` at the end.
    pub fn on_reply(&mut self, reply: Reply) -> Result<Step, Decision> {
        match (self.phase.clone(), reply) {
            (Phase::Claiming(expect), Reply::Written) => {
                Err(Decision::Run { version: expect.next() })
            }
            (Phase::Claiming(_), Reply::Unavailable) => {
                Err(Decision::Refuse(Refusal::StoreUnavailable))
            }
            (Phase::Claiming(_), Reply::Conflict) => Ok(self.read(Phase::Inspecting)),
            (Phase::Claiming(expect), _) => Ok(self.read(Phase::Confirming(expect))),
            (Phase::Confirming(expect), Reply::Read(row)) if expect.holds(row.as_ref()) => {
                self.phase = Phase::WritingTombstone(expect);
                Ok(self.write(expect, State::Released))
            }
            (_, Reply::Read(row)) => self.evaluate_row(row),
            (Phase::WritingTombstone(_), Reply::Written) => {
                Err(Decision::Refuse(Refusal::StoreUnavailable))
            }
            (Phase::WritingTombstone(expect), Reply::Conflict) => {
                Ok(self.read(Phase::Confirming(expect)))
            }
            (Phase::WritingTombstone(expect) | Phase::Confirming(expect), _) => {
                Err(Decision::Abandon(Settlement::abandon(&self.operation, &self.digest, expect)))
            }
            // Another arrival holds the key, so it is not known whether the request ran.
            (Phase::Inspecting, _) => Err(Decision::Refuse(Refusal::Claimed)),
        }
    }

    fn evaluate_row(&mut self, row: Option<Row>) -> Result<Step, Decision> {
        let Some(Row { version, claim }) = row else {
            return Err(Decision::Refuse(Refusal::Claimed));
        };
        if claim.digest != self.digest {
            return Err(Decision::Refuse(Refusal::KeyReused));
        }
        let is_own = claim.operation == self.operation;
        match claim.state {
            State::Held if is_own => Err(Decision::Run { version }),
            State::Held => Err(Decision::Refuse(Refusal::Claimed)),
            State::Done(answer) if answer.body.is_some() => Err(Decision::Answer(answer)),
            State::Done(_) => Err(Decision::Refuse(Refusal::Claimed)),
            State::Released if is_own || self.claim_writes == MAX_CLAIM_WRITES => {
                Err(Decision::Refuse(Refusal::StoreUnavailable))
            }
            State::Released => Ok(self.claim(Expect::Version(version))),
        }
    }

    fn claim(&mut self, expect: Expect) -> Step {
        self.claim_writes += 1;
        self.phase = Phase::Claiming(expect);
        self.write(expect, State::Held)
    }

    fn read(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        Step::Read
    }

    fn write(&self, expect: Expect, state: State) -> Step {
        let (operation, digest) = (self.operation.clone(), self.digest.clone());
        Step::Write(Write { expect, claim: Claim { operation, digest, state } })
    }
}
