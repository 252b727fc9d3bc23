//! The log of changes that one host of a zone reads from the store for the others.

use std::time::Duration;

use oleanderspan::{
    clock::Instant,
    entry::{
        Version,
        journal::{Entry, Journal, Next},
    },
};

/// Until when the store's answers count in tests without a silent store.
const VALID_UNTIL: Instant = Instant::from_nanos(u64::MAX);

const NOW: Instant = Instant::ZERO;

fn at(number: u64) -> Version {
    Version { era: 0, number }
}

fn entry(after: u64, version: u64) -> Entry<u64> {
    Entry { after: at(after), version: at(version), page: version }
}

#[test]
fn each_host_gets_the_changes_after_its_version() {
    let mut journal = Journal::default();
    journal.reset(at(10), VALID_UNTIL);
    assert_eq!(journal.next(at(10), NOW), Next::UpToDate);
    journal.push(entry(10, 12), VALID_UNTIL);
    journal.push(entry(12, 15), VALID_UNTIL);
    assert_eq!(journal.next(at(10), NOW), Next::Entry(entry(10, 12)));
    assert_eq!(journal.next(at(12), NOW), Next::Entry(entry(12, 15)));
    assert_eq!(journal.next(at(15), NOW), Next::UpToDate);
}

/// A host that read the store itself for a while may know a version in the middle of an entry. It
/// must get the whole entry, or it would miss changes.
#[test]
fn version_within_an_entry_gets_the_whole_entry() {
    let mut journal = Journal::default();
    journal.reset(at(10), VALID_UNTIL);
    journal.push(entry(10, 15), VALID_UNTIL);
    assert_eq!(journal.next(at(13), NOW), Next::Entry(entry(10, 15)));
    assert_eq!(
        journal.next(at(20), NOW),
        Next::UpToDate,
        "the requested version is ahead of the journal"
    );
}

#[test]
fn missing_changes_are_reported_as_truncated() {
    let mut journal = Journal::default();
    journal.reset(at(10), VALID_UNTIL);
    assert_eq!(journal.next(at(9), NOW), Next::Truncated);
    (10..200).for_each(|version| journal.push(entry(version, version + 1), VALID_UNTIL));
    assert_eq!(journal.next(at(10), NOW), Next::Truncated);
    assert_eq!(journal.next(at(199), NOW), Next::Entry(entry(199, 200)));
    // The store lost part of its history, so the journal has a gap.
    journal.push(entry(300, 301), VALID_UNTIL);
    assert_eq!(journal.next(at(200), NOW), Next::Truncated);
    assert_eq!(journal.next(at(300), NOW), Next::Entry(entry(300, 301)));
}

#[test]
fn journal_without_store_answers_is_inactive() {
    let mut journal = Journal::default();
    assert_eq!(journal.next(at(0), NOW), Next::<u64>::Inactive);
    journal.push(entry(1, 2), VALID_UNTIL);
    assert!(journal.stop());
    assert!(!journal.stop(), "it was inactive already");
    assert_eq!(journal.next(at(1), NOW), Next::Inactive);
}

/// The store answers some hosts and is silent to others; the host that reads for its zone may be one
/// of these. It then has nothing to tell about later changes, but those that it has read stay true.
#[test]
fn journal_without_a_recent_answer_does_not_claim_that_nothing_changed() {
    let answered_at = NOW + Duration::from_secs(5);
    let valid_until = answered_at + Duration::from_secs(2);
    let mut journal = Journal::default();
    journal.reset(at(10), answered_at);
    journal.push(entry(10, 12), valid_until);
    assert_eq!(journal.next(at(12), answered_at), Next::UpToDate);
    assert_eq!(journal.next(at(12), valid_until), Next::Inactive);
    assert_eq!(journal.next(at(10), valid_until), Next::Entry(entry(10, 12)));
    // An answer without changes is news as well.
    let later = valid_until + Duration::from_secs(2);
    journal.push(entry(12, 12), later);
    assert_eq!(journal.next(at(12), valid_until), Next::UpToDate);
    assert_eq!(journal.next(at(12), later), Next::Inactive);
    assert_eq!(journal.valid_until(), Some(later));
    journal.stop();
    assert_eq!(journal.valid_until(), None);
}

/// After a restore of the store, the versions of the reader's journal are below those of the hosts
/// that follow it, which must not take this for the news that nothing has changed.
#[test]
fn versions_of_different_eras_are_not_compared_by_number() {
    let restored = |number| Version { era: 1, number };
    let mut journal = Journal::default();
    journal.reset(at(100), VALID_UNTIL);
    journal.push(entry(100, 120), VALID_UNTIL);
    assert_eq!(journal.next(restored(60), NOW), Next::Inactive, "this host reads a former era");
    journal.reset(restored(60), VALID_UNTIL);
    assert_eq!(journal.next(at(120), NOW), Next::Truncated);
    assert_eq!(journal.next(at(10), NOW), Next::Truncated);
    let entry = Entry { after: restored(60), version: restored(130), page: 130 };
    journal.push(entry.clone(), VALID_UNTIL);
    assert_eq!(journal.next(at(120), NOW), Next::Truncated);
    assert_eq!(journal.next(restored(60), NOW), Next::Entry(entry));
    assert_eq!(journal.next(restored(130), NOW), Next::UpToDate);
}
