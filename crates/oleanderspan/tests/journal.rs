//! The log of changes that one host of a zone reads from the store for the others.

use oleanderspan::entry::journal::{Entry, Journal, Next};

fn entry(after: u64, version: u64) -> Entry<u64> {
    Entry { after, version, page: version }
}

#[test]
fn each_host_gets_the_changes_after_its_version() {
    let mut journal = Journal::default();
    journal.reset(10);
    assert_eq!(journal.next(10), Next::UpToDate);
    journal.push(entry(10, 12));
    journal.push(entry(12, 15));
    assert_eq!(journal.next(10), Next::Entry(entry(10, 12)));
    assert_eq!(journal.next(12), Next::Entry(entry(12, 15)));
    assert_eq!(journal.next(15), Next::UpToDate);
}

/// A host that read the store itself for a while may know a version in the middle of an entry. It
/// must get the whole entry, or it would miss changes.
#[test]
fn version_within_an_entry_gets_the_whole_entry() {
    let mut journal = Journal::default();
    journal.reset(10);
    journal.push(entry(10, 15));
    assert_eq!(journal.next(13), Next::Entry(entry(10, 15)));
    assert_eq!(journal.next(20), Next::UpToDate, "the requested version is ahead of the journal");
}

#[test]
fn missing_changes_are_reported_as_truncated() {
    let mut journal = Journal::default();
    journal.reset(10);
    assert_eq!(journal.next(9), Next::Truncated);
    (10..200).for_each(|version| journal.push(entry(version, version + 1)));
    assert_eq!(journal.next(10), Next::Truncated);
    assert_eq!(journal.next(199), Next::Entry(entry(199, 200)));
    // The store lost part of its history, so the journal has a gap.
    journal.push(entry(300, 301));
    assert_eq!(journal.next(200), Next::Truncated);
    assert_eq!(journal.next(300), Next::Entry(entry(300, 301)));
}

#[test]
fn journal_without_store_answers_is_inactive() {
    let mut journal = Journal::default();
    assert_eq!(journal.next(0), Next::<u64>::Inactive);
    journal.push(entry(1, 2));
    assert!(journal.stop());
    assert!(!journal.stop(), "it was inactive already");
    assert_eq!(journal.next(1), Next::Inactive);
}
