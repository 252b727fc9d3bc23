//! Changes that one host of a zone reads for the others.

use oleanderspan::entry::journal::{Entry, Journal, Next};

fn entry(after: u64, version: u64) -> Entry<u64> {
    Entry { after, version, page: version }
}

#[test]
fn each_host_gets_the_changes_that_it_misses() {
    let mut journal = Journal::default();
    journal.reset(10);
    assert_eq!(journal.next(10), Next::UpToDate);
    journal.push(entry(10, 12));
    journal.push(entry(12, 15));
    assert_eq!(journal.next(10), Next::Entry(entry(10, 12)));
    assert_eq!(journal.next(12), Next::Entry(entry(12, 15)));
    assert_eq!(journal.next(15), Next::UpToDate);
}

/// A host that read from the store itself for a while knows versions in between.
#[test]
fn a_version_within_a_change_gets_all_of_it() {
    let mut journal = Journal::default();
    journal.reset(10);
    journal.push(entry(10, 15));
    assert_eq!(journal.next(13), Next::Entry(entry(10, 15)));
    assert_eq!(journal.next(20), Next::UpToDate, "it knows more than this host");
}

#[test]
fn changes_that_are_not_kept_are_not_passed_over() {
    let mut journal = Journal::default();
    journal.reset(10);
    assert_eq!(journal.next(9), Next::Truncated);
    (10..200).for_each(|version| journal.push(entry(version, version + 1)));
    assert_eq!(journal.next(10), Next::Truncated);
    assert_eq!(journal.next(199), Next::Entry(entry(199, 200)));
    // The store's history was lost in between, so that changes are missing here too.
    journal.push(entry(300, 301));
    assert_eq!(journal.next(200), Next::Truncated);
    assert_eq!(journal.next(300), Next::Entry(entry(300, 301)));
}

#[test]
fn a_host_that_gets_no_answers_hands_on_nothing() {
    let mut journal = Journal::default();
    assert_eq!(journal.next(0), Next::<u64>::Inactive);
    journal.push(entry(1, 2));
    assert!(journal.stop());
    assert!(!journal.stop(), "that is no news");
    assert_eq!(journal.next(1), Next::Inactive);
}
