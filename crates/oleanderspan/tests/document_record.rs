//! Acceptance of documents as a small model: operators, lost answers, late writes, restarts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use oleanderspan::document::{
    Hash, Lesson, Proposal, Record, Shown, Standing, Verdict, Version,
    record::{Current, Decision, MAX_OPERATIONS},
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Steps of every interleaving that is walked.
const DEPTH: u32 = 7;

/// Operators, each with one operation and repetitions of it: two race for the empty environment
/// and one goes on from its first version.
const OPERATORS: usize = 3;

/// The versions that the operators saw.
const BASES: [Version; OPERATORS] = [Version::NONE, Version::NONE, Version(1)];

const HOSTS: usize = 2;

/// One step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// An operator's host reads the record and decides.
    Decide(usize),
    /// A write that is under way reaches the store; its answer is lost.
    Land(usize),
    /// A write that is under way reaches the store, and the operator is told.
    Answer(usize),
    /// The operator's host reads back.
    Settle(usize),
    /// A host reads the record.
    Read(usize),
    /// A host learns from the other one.
    Exchange(usize),
    /// A host is replaced by one that knows nothing.
    Restart(usize),
}

fn steps() -> Vec<Step> {
    let operators = (0..OPERATORS)
        .flat_map(|i| [Step::Decide(i), Step::Land(i), Step::Answer(i), Step::Settle(i)]);
    let hosts = (0..HOSTS).flat_map(|i| [Step::Read(i), Step::Exchange(i), Step::Restart(i)]);
    operators.chain(hosts).collect()
}

#[derive(Clone, Debug, Default)]
struct World {
    stored: Option<(Version, Record)>,
    /// What each version was, as the store had it.
    history: BTreeMap<u64, Hash>,
    /// Writes that have left a host and not reached the store.
    under_way: [Option<(Version, Record)>; OPERATORS],
    told: [Option<Verdict>; OPERATORS],
    hosts: [Standing; HOSTS],
}

fn document(operator: usize) -> Hash {
    Hash::from_bytes([u8::try_from(operator).unwrap() + 1; 32])
}

fn proposal(operator: usize) -> Proposal<'static> {
    let operation = ["first", "second", "third"][operator];
    Proposal { base: BASES[operator], operation, document: document(operator) }
}

impl World {
    fn current(&self) -> Current<'_> {
        self.stored.as_ref().map(|(version, record)| (*version, record))
    }

    fn shown(&self) -> Option<Shown> {
        self.current().map(|(version, record)| Shown { version, document: record.document })
    }

    /// Takes a step; `false` if there is nothing to do.
    fn take(&mut self, step: Step) -> bool {
        match step {
            Step::Decide(i) => match proposal(i).decide(self.current()) {
                Decision::Write(record) if self.under_way[i].is_none() => {
                    self.under_way[i] = Some((BASES[i], record));
                    true
                }
                Decision::Write(_) => false,
                Decision::Settled(verdict) => self.tell(i, verdict),
            },
            Step::Land(i) => self.land(i).is_some(),
            Step::Answer(i) => match self.land(i) {
                Some(true) => self.tell(i, Verdict::Accepted(BASES[i].next())),
                Some(false) => self.settle(i),
                None => false,
            },
            Step::Settle(i) => self.settle(i),
            Step::Read(host) => self.learn(host, self.shown()),
            Step::Exchange(host) => self.learn(host, self.hosts[1 - host].current()),
            Step::Restart(host) => std::mem::take(&mut self.hosts[host]) != Standing::default(),
        }
    }

    /// The conditional write of the store.
    fn land(&mut self, operator: usize) -> Option<bool> {
        let (expected, record) = self.under_way[operator].take()?;
        let version = self.stored.as_ref().map_or(Version::NONE, |(version, _)| *version);
        if version != expected {
            return Some(false);
        }
        self.history.insert(version.next().0, record.document);
        self.stored = Some((version.next(), record));
        Some(true)
    }

    fn settle(&mut self, operator: usize) -> bool {
        let verdict = proposal(operator).settle(self.current());
        verdict.is_some_and(|verdict| self.tell(operator, verdict))
    }

    fn tell(&mut self, operator: usize, verdict: Verdict) -> bool {
        if matches!(verdict, Verdict::Raced(version) if version < BASES[operator]) {
            // The base is yet to be accepted; nothing of this operator can be under way.
            assert!(self.under_way[operator].is_none());
            return false;
        }
        let before = self.told[operator].replace(verdict);
        let raced = |verdict| matches!(verdict, Verdict::Raced(_));
        let agrees = |before| before == verdict || (raced(before) && raced(verdict));
        assert!(before.is_none_or(agrees), "an operator was told two outcomes");
        before.is_none()
    }

    fn learn(&mut self, host: usize, shown: Option<Shown>) -> bool {
        let Some(shown) = shown else { return false };
        let before = self.hosts[host].version();
        let lesson = self.hosts[host].advance(shown);
        assert!(self.hosts[host].version() >= before, "a host went down a version");
        assert_ne!(lesson, Lesson::Corrupt, "two documents have one version");
        lesson == Lesson::Later
    }

    fn check(&self) {
        let accepted = |told: &&Option<Verdict>| matches!(told, Some(Verdict::Accepted(_)));
        let racing = &self.told[..2];
        assert!(racing.iter().filter(accepted).count() <= 1, "two racing operators won");
        for (i, told) in self.told.iter().enumerate() {
            match told {
                Some(Verdict::Accepted(version)) => {
                    assert_eq!(self.history.get(&version.0), Some(&document(i)));
                }
                Some(Verdict::Raced(_)) => {
                    assert!(!self.history.values().any(|made| *made == document(i)));
                }
                Some(Verdict::Reused(_)) => panic!("no id is used twice here"),
                None => {}
            }
        }
        for standing in self.hosts.iter().filter_map(Standing::current) {
            assert_eq!(self.history.get(&standing.version.0), Some(&standing.document));
        }
    }
}

/// Takes every step from `world` and counts the interleavings.
fn walk(world: &World, depth: u32) -> u64 {
    let mut walked = 1;
    for step in steps() {
        let mut next = world.clone();
        if depth == 0 || !next.take(step) {
            continue;
        }
        next.check();
        walked += walk(&next, depth - 1);
    }
    walked
}

#[test]
fn every_interleaving_to_the_stated_depth_has_one_winner_and_no_reversal() {
    assert!(walk(&World::default(), DEPTH) > 10_000);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(37), ..ProptestConfig::default() })]

    #[test]
    fn long_interleavings_have_one_winner_and_no_reversal(
        chosen in proptest::collection::vec(0..steps().len(), 0..200)
    ) {
        let mut world = World::default();
        for i in chosen {
            world.take(steps()[i]);
            world.check();
        }
    }
}

#[test]
fn a_repeated_operation_is_told_its_version_after_later_ones() {
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
        Proposal { base: Version::NONE, operation: id, document }.settle(Some((version, &record)))
    };
    assert_eq!(again(&ids[1], document(0)), Some(Verdict::Accepted(Version(2))));
    assert_eq!(again(&ids[1], document(1)), Some(Verdict::Reused(Version(2))));
    assert_eq!(again(&ids[0], document(0)), Some(Verdict::Raced(version)), "it was forgotten");
}

#[test]
fn a_second_document_of_one_version_is_corrupt_and_the_first_stays() {
    let mut standing = Standing::default();
    let first = Shown { version: Version(3), document: document(0) };
    assert_eq!(standing.advance(first), Lesson::Later);
    assert_eq!(standing.advance(first), Lesson::Same);
    assert_eq!(standing.advance(Shown { document: document(1), ..first }), Lesson::Corrupt);
    assert_eq!(standing.advance(Shown { version: Version(2), ..first }), Lesson::Earlier);
    assert_eq!(standing.current(), Some(first));
}
