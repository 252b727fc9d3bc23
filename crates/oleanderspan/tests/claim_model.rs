//! Exhaustive model check of claims: two hosts, one of which restarts, compete for one key. The
//! table loses replies and applies writes late; hosts pause for any length of time and crash.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    collections::{HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use oleanderspan::request::{
    Outcome, Refusal,
    claim::{Answer, Attempt, Decision, Reply, Row, Settlement, State, Step, Write},
};

/// The arrivals of the request: at host a, at host b, and at host a after its restart.
const ARRIVALS: [&str; 3] = ["a1", "b1", "a2"];

/// The most writes that may take effect late in one run of the model.
const MAX_LATE_WRITES: usize = 2;
/// The most crashes in one run of the model.
const MAX_CRASHES: u8 = 1;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Idle,
    Claiming(Attempt, Step),
    Claimed(u64),
    Running(u64),
    Settling(Settlement, Step, Outcome),
    Ended(Outcome),
    Crashed,
}

#[derive(Clone, Debug, PartialEq)]
struct ModelState {
    row: Option<Row>,
    /// Writes in flight, which may take effect at any time or never.
    late_writes: Vec<Write>,
    late_writes_left: usize,
    crashes_left: u8,
    stages: [Stage; 3],
    dispatches: [u8; 3],
}

impl ModelState {
    fn new() -> ModelState {
        ModelState {
            row: None,
            late_writes: Vec::new(),
            late_writes_left: MAX_LATE_WRITES,
            crashes_left: MAX_CRASHES,
            stages: [Stage::Idle, Stage::Idle, Stage::Idle],
            dispatches: [0; 3],
        }
    }

    fn apply(&mut self, write: &Write) -> Reply {
        if !write.expect.holds(self.row.as_ref()) {
            return Reply::Conflict;
        }
        self.row = Some(Row { version: write.expect.next(), claim: write.claim.clone() });
        Reply::Written
    }

    /// Every state that may follow from a step on the table, with the reply to it.
    fn replies(&self, step: &Step) -> Vec<(ModelState, Reply)> {
        let write = match step {
            Step::Wait => return vec![(self.clone(), Reply::Waited)],
            Step::Read => {
                let read = Reply::Read(self.row.clone());
                return vec![(self.clone(), read), (self.clone(), Reply::Unanswered)];
            }
            Step::Write(write) => write,
        };
        let mut applied = self.clone();
        let reply = applied.apply(write);
        let lost = applied.clone();
        let mut replies =
            vec![(applied, reply), (lost, Reply::Unanswered), (self.clone(), Reply::Unavailable)];
        if self.late_writes_left > 0 {
            let mut late = self.clone();
            late.late_writes_left -= 1;
            late.late_writes.push(write.clone());
            replies.push((late, Reply::Unanswered));
        }
        replies
    }

    fn successors(&self) -> Vec<ModelState> {
        let mut successors: Vec<ModelState> = (0..3).flat_map(|i| self.successors_of(i)).collect();
        for i in 0..self.late_writes.len() {
            let mut next_state = self.clone();
            let write = next_state.late_writes.remove(i);
            next_state.apply(&write);
            successors.push(next_state);
        }
        successors
    }

    fn successors_of(&self, i: usize) -> Vec<ModelState> {
        let mut successors = Vec::new();
        let mut push = |mut next_state: ModelState, stage: Stage| {
            next_state.stages[i] = stage;
            successors.push(next_state);
        };
        match &self.stages[i] {
            // The second arrival at host a happens only after it has crashed.
            Stage::Idle if i == 2 && self.stages[0] != Stage::Crashed => {}
            Stage::Idle => {
                let mut attempt = Attempt::new(ARRIVALS[i], "digest");
                let step = attempt.start();
                push(self.clone(), Stage::Claiming(attempt, step));
            }
            Stage::Claiming(attempt, step) => {
                for (next_state, reply) in self.replies(step) {
                    let mut attempt = attempt.clone();
                    let stage = match attempt.on_reply(reply) {
                        Ok(step) => Stage::Claiming(attempt, step),
                        Err(decision) => stage_after(decision),
                    };
                    push(next_state, stage);
                }
            }
            Stage::Claimed(version) => {
                let mut dispatched = self.clone();
                dispatched.dispatches[i] += 1;
                push(dispatched, Stage::Running(*version));
                push(self.clone(), record(i, *version, State::Released, Outcome::NotRun));
            }
            Stage::Running(version) => {
                push(self.clone(), record(i, *version, State::Done(answer()), Outcome::Done));
                push(self.clone(), Stage::Ended(Outcome::Unknown));
            }
            Stage::Settling(settlement, step, outcome) => {
                for (next_state, reply) in self.replies(step) {
                    let mut settlement = settlement.clone();
                    let stage = match settlement.on_reply(reply) {
                        Some(step) => Stage::Settling(settlement, step, *outcome),
                        None => Stage::Ended(*outcome),
                    };
                    push(next_state, stage);
                }
            }
            Stage::Ended(_) | Stage::Crashed => return successors,
        }
        if self.crashes_left > 0 && self.stages[i] != Stage::Idle {
            let mut crashed = self.clone();
            crashed.crashes_left -= 1;
            push(crashed, Stage::Crashed);
        }
        successors
    }

    fn check(&self) {
        let dispatched: u8 = self.dispatches.iter().sum();
        assert!(dispatched <= 1, "request dispatched {dispatched} times: {self:#?}");
        for (i, stage) in self.stages.iter().enumerate() {
            let reported = match stage {
                Stage::Settling(_, _, outcome) | Stage::Ended(outcome) => *outcome,
                _ => continue,
            };
            if reported == Outcome::Done {
                assert_eq!(dispatched, 1, "request reported as done but not dispatched: {self:#?}");
            }
            if reported == Outcome::NotRun {
                assert_eq!(
                    self.dispatches[i], 0,
                    "request reported as not run but dispatched: {self:#?}"
                );
            }
            if *stage == Stage::Ended(Outcome::NotRun) {
                self.check_released(ARRIVALS[i]);
            }
        }
    }

    /// A request that was refused as not run must neither hold its key nor come to hold it later
    /// by a write in flight.
    fn check_released(&self, operation: &str) {
        let holds = |claim: &oleanderspan::request::Claim| {
            &*claim.operation == operation && claim.state == State::Held
        };
        let held = self.row.as_ref().is_some_and(|row| holds(&row.claim));
        assert!(!held, "the key is held by a refused request: {self:#?}");
        let mut late = self.late_writes.iter().filter(|write| holds(&write.claim));
        let takes_effect = late.any(|write| write.expect.holds(self.row.as_ref()));
        assert!(
            !takes_effect,
            "a write in flight may make a refused request hold the key: {self:#?}"
        );
    }
}

fn answer() -> Answer {
    Answer { status: 200, content_type: None, body: Some(Vec::new()) }
}

fn record(i: usize, version: u64, state: State, outcome: Outcome) -> Stage {
    settling(Settlement::record(ARRIVALS[i], "digest", version, state), outcome)
}

fn settling(mut settlement: Settlement, outcome: Outcome) -> Stage {
    let step = settlement.start();
    Stage::Settling(settlement, step, outcome)
}

fn stage_after(decision: Decision) -> Stage {
    match decision {
        Decision::Run { version } => Stage::Claimed(version),
        Decision::Answer(_) => Stage::Ended(Outcome::Done),
        Decision::Refuse(refusal) => Stage::Ended(refusal.outcome()),
        Decision::Abandon(settlement) => settling(settlement, Refusal::StoreUnavailable.outcome()),
    }
}

fn fingerprint(state: &ModelState) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{state:?}").hash(&mut hasher);
    hasher.finish()
}

/// Visits every reachable state of the model.
#[test]
fn every_interleaving_dispatches_at_most_once() {
    let mut seen = HashSet::new();
    let mut unvisited = VecDeque::from([(ModelState::new(), 0)]);
    let mut depth = 0;
    while let Some((state, steps)) = unvisited.pop_front() {
        if !seen.insert(fingerprint(&state)) {
            continue;
        }
        state.check();
        depth = depth.max(steps);
        unvisited.extend(state.successors().into_iter().map(|next| (next, steps + 1)));
    }
    println!("{} states, at most {depth} steps from the initial one", seen.len());
    assert!(depth >= 20, "the model was not explored: deepest state after {depth} steps");
}
