//! Model checking of document acceptance, with racing operators, lost store answers, delayed
//! writes and host restarts: at most one of the racing proposals may win, and no host may go back
//! to an older version.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use oleanderspan::document::{
    ActiveDocument, Comparison, Hash, Outcome, Proposal, Record, Revision, Version,
    record::{Decision, MAX_OPERATIONS, StoredRecord},
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Length of the interleavings that are explored exhaustively, in steps.
const DEPTH: u32 = 7;

/// Number of operators, each with one operation and its retries: two race to write the first
/// version and the third builds on it.
const OPERATORS: usize = 3;

/// The base version of each operator's proposal.
const BASES: [Version; OPERATORS] = [Version::NONE, Version::NONE, Version(1)];

const HOSTS: usize = 2;

/// A step of the model; the number is the index of the operator or the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// An operator's host reads the record and decides.
    Decide(usize),
    /// An in-flight write reaches the store, but the store's answer is lost.
    ApplyWrite(usize),
    /// An in-flight write reaches the store, and the operator receives the outcome.
    Acknowledge(usize),
    /// An operator's host reads the record back to find out the outcome.
    ReadBack(usize),
    /// A host reads the record.
    Read(usize),
    /// A host receives the document in force on the other host.
    Exchange(usize),
    /// A host restarts with empty state.
    Restart(usize),
}

fn steps() -> Vec<Step> {
    let operators = (0..OPERATORS).flat_map(|i| {
        [Step::Decide(i), Step::ApplyWrite(i), Step::Acknowledge(i), Step::ReadBack(i)]
    });
    let hosts = (0..HOSTS).flat_map(|i| [Step::Read(i), Step::Exchange(i), Step::Restart(i)]);
    operators.chain(hosts).collect()
}

#[derive(Clone, Debug, Default)]
struct Model {
    stored: Option<(Version, Record)>,
    /// The document of each version that the store has held.
    history: BTreeMap<u64, Hash>,
    /// Writes that a host has sent and the store has not yet applied.
    in_flight: [Option<(Version, Record)>; OPERATORS],
    outcomes: [Option<Outcome>; OPERATORS],
    hosts: [ActiveDocument; HOSTS],
}

fn document(operator: usize) -> Hash {
    Hash::from_bytes([u8::try_from(operator).unwrap() + 1; 32])
}

fn proposal(operator: usize) -> Proposal<'static> {
    let operation = ["first", "second", "third"][operator];
    Proposal { base: BASES[operator], operation, document: document(operator) }
}

impl Model {
    fn current(&self) -> StoredRecord<'_> {
        self.stored.as_ref().map(|(version, record)| (*version, record))
    }

    fn candidate(&self) -> Option<Revision> {
        self.current().map(|(version, record)| Revision { version, document: record.document })
    }

    /// Applies a step; returns `false` if it changes nothing.
    fn apply(&mut self, step: Step) -> bool {
        match step {
            Step::Decide(i) => match proposal(i).decide(self.current()) {
                Decision::Write(record) if self.in_flight[i].is_none() => {
                    self.in_flight[i] = Some((BASES[i], record));
                    true
                }
                Decision::Write(_) => false,
                Decision::Settled(outcome) => self.record_outcome(i, outcome),
            },
            Step::ApplyWrite(i) => self.apply_write(i).is_some(),
            Step::Acknowledge(i) => match self.apply_write(i) {
                Some(true) => self.record_outcome(i, Outcome::Accepted(BASES[i].next())),
                Some(false) => self.read_back(i),
                None => false,
            },
            Step::ReadBack(i) => self.read_back(i),
            Step::Read(host) => self.learn(host, self.candidate()),
            Step::Exchange(host) => self.learn(host, self.hosts[1 - host].current()),
            Step::Restart(host) => {
                std::mem::take(&mut self.hosts[host]) != ActiveDocument::default()
            }
        }
    }

    /// The compare-and-set of the store: whether the write succeeded, `None` if none is in flight.
    fn apply_write(&mut self, operator: usize) -> Option<bool> {
        let (expected, record) = self.in_flight[operator].take()?;
        let version = self.stored.as_ref().map_or(Version::NONE, |(version, _)| *version);
        if version != expected {
            return Some(false);
        }
        self.history.insert(version.next().0, record.document);
        self.stored = Some((version.next(), record));
        Some(true)
    }

    fn read_back(&mut self, operator: usize) -> bool {
        let outcome = proposal(operator).outcome(self.current());
        outcome.is_some_and(|outcome| self.record_outcome(operator, outcome))
    }

    fn record_outcome(&mut self, operator: usize, outcome: Outcome) -> bool {
        if matches!(outcome, Outcome::VersionConflict(version) if version < BASES[operator]) {
            // The base version is not accepted yet, so this operator can have no write in flight.
            assert!(self.in_flight[operator].is_none());
            return false;
        }
        let before = self.outcomes[operator].replace(outcome);
        let is_conflict = |outcome| matches!(outcome, Outcome::VersionConflict(_));
        let agrees = |before| before == outcome || (is_conflict(before) && is_conflict(outcome));
        assert!(before.is_none_or(agrees), "an operator received two different outcomes");
        before.is_none()
    }

    fn learn(&mut self, host: usize, candidate: Option<Revision>) -> bool {
        let Some(candidate) = candidate else { return false };
        let before = self.hosts[host].version();
        let comparison = self.hosts[host].advance(candidate);
        assert!(self.hosts[host].version() >= before, "the version in force on a host decreased");
        assert_ne!(comparison, Comparison::Conflict, "two documents have the same version");
        comparison == Comparison::Newer
    }

    fn check(&self) {
        let accepted = |outcome: &&Option<Outcome>| matches!(outcome, Some(Outcome::Accepted(_)));
        let racing = &self.outcomes[..2];
        assert!(racing.iter().filter(accepted).count() <= 1, "both racing proposals were accepted");
        for (i, outcome) in self.outcomes.iter().enumerate() {
            match outcome {
                Some(Outcome::Accepted(version)) => {
                    assert_eq!(self.history.get(&version.0), Some(&document(i)));
                }
                Some(Outcome::VersionConflict(_)) => {
                    assert!(!self.history.values().any(|made| *made == document(i)));
                }
                Some(Outcome::IdReused(_)) => panic!("operation ids are unique"),
                None => {}
            }
        }
        for active in self.hosts.iter().filter_map(ActiveDocument::current) {
            assert_eq!(self.history.get(&active.version.0), Some(&active.document));
        }
    }
}

/// Explores all interleavings of up to `depth` steps from `model` and returns their number.
fn explore(model: &Model, depth: u32) -> u64 {
    let mut explored = 1;
    for step in steps() {
        let mut next = model.clone();
        if depth == 0 || !next.apply(step) {
            continue;
        }
        next.check();
        explored += explore(&next, depth - 1);
    }
    explored
}

#[test]
fn every_interleaving_to_the_stated_depth_has_one_winner_and_no_reversal() {
    assert!(explore(&Model::default(), DEPTH) > 10_000);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(37), ..ProptestConfig::default() })]

    #[test]
    fn long_interleavings_have_one_winner_and_no_reversal(
        chosen in proptest::collection::vec(0..steps().len(), 0..200)
    ) {
        let mut model = Model::default();
        for i in chosen {
            model.apply(steps()[i]);
            model.check();
        }
    }
}

#[test]
fn a_retried_operation_returns_its_version_after_later_ones() {
    let mut stored: Option<(Version, Record)> = None;
    let ids: Vec<String> = (0..=MAX_OPERATIONS).map(|i| format!("operation-{i}")).collect();
    for id in &ids {
        let current = stored.as_ref().map(|(version, record)| (*version, record));
        let base = current.map_or(Version::NONE, |(version, _)| version);
        let proposal = Proposal { base, operation: id, document: document(0) };
        let Decision::Write(record) = proposal.decide(current) else { panic!("{id} is refused") };
        stored = Some((base.next(), record));
    }
    let (version, record) = stored.unwrap();
    let again = |id: &str, document| {
        Proposal { base: Version::NONE, operation: id, document }.outcome(Some((version, &record)))
    };
    assert_eq!(again(&ids[1], document(0)), Some(Outcome::Accepted(Version(2))));
    assert_eq!(again(&ids[1], document(1)), Some(Outcome::IdReused(Version(2))));
    assert_eq!(
        again(&ids[0], document(0)),
        Some(Outcome::VersionConflict(version)),
        "the oldest operation must have been dropped"
    );
}

#[test]
fn a_different_document_of_the_same_version_is_rejected() {
    let mut active = ActiveDocument::default();
    let first = Revision { version: Version(3), document: document(0) };
    assert_eq!(active.advance(first), Comparison::Newer);
    assert_eq!(active.advance(first), Comparison::Same);
    assert_eq!(active.advance(Revision { document: document(1), ..first }), Comparison::Conflict);
    assert_eq!(active.advance(Revision { version: Version(2), ..first }), Comparison::Older);
    assert_eq!(active.current(), Some(first));
}
