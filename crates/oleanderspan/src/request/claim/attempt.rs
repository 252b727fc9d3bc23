//! The attempt of one arrival to claim its key.
//!
//! An unanswered write is settled by reading back. If the row is not there, a tombstone with the
//! same precondition takes its place, so that the lost write can never land later.

use crate::request::{
    Refusal,
    claim::{Answer, Claim, Expect, Reply, Row, Settlement, State, Step, Write},
};

/// The most claims of one attempt; each but the first follows a release by another host.
const MAX_CLAIM_WRITES: u8 = 4;

value! {
    /// The attempt of one arrival to claim its key.
    pub struct Attempt {
        operation: Box<str>,
        digest: Box<str>,
        initial_precondition: Expect,
        claim_writes: u8,
        phase: Phase,
    }

    /// Which reply is awaited.
    enum Phase {
        /// That of the claim.
        Claiming(Expect),
        /// The row, while no write of this attempt can land any more.
        Inspecting,
        /// The row, while the claim with this precondition may have landed or may yet.
        Confirming(Expect),
        /// That of the tombstone in place of a claim with this precondition.
        WritingTombstone(Expect),
    }

    /// How an attempt ended.
    pub enum Decision {
        /// This arrival alone may run the request, once; the row has this version.
        Run {
            /// The version of the claim.
            version: u64,
        },
        /// The request has run, and this was its answer.
        Answer(Answer),
        /// This arrival may not run the request, and no write of it can land any more.
        Refuse(Refusal),
        /// This arrival may not run the request; what may have landed is to be settled.
        Abandon(Settlement),
    }
}

impl Attempt {
    /// An attempt on a key of which nothing is known; `operation` is unique to the arrival.
    pub fn new(operation: &str, digest: &str) -> Attempt {
        Attempt::after_release(operation, digest, Expect::Absent)
    }

    /// An attempt on a row that was seen to be released.
    pub fn after_release(operation: &str, digest: &str, seen: Expect) -> Attempt {
        Attempt {
            operation: operation.into(),
            digest: digest.into(),
            initial_precondition: seen,
            claim_writes: 0,
            phase: Phase::Inspecting,
        }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        self.claim(self.initial_precondition)
    }

    /// The step that follows a reply, or the verdict.
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
            // Another arrival has this key, so nothing is proved about the request.
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
