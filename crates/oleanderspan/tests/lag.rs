//! The comparison of what a host has read of the store with what other hosts have read.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use oleanderspan::{
    clock::Instant,
    entry::{Lag, Name, Version},
};

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn version(number: u64) -> Version {
    Version { era: 0, number }
}

fn host(name: &str) -> Name {
    Name::try_from(name).unwrap()
}

#[test]
fn host_misses_a_change_until_it_has_read_that_far() {
    let mut lag = Lag::default();
    assert!(
        !lag.record_report(&host("h-1"), version(20), at(0)),
        "nothing read yet, so nothing to compare"
    );
    lag.advance(version(10), version(10));
    assert!(!lag.record_report(&host("h-1"), version(10), at(1)));
    assert_eq!(lag.missing(), None);
    assert!(lag.record_report(&host("h-1"), version(12), at(2)));
    assert_eq!(lag.missing().unwrap().since, at(2));
    lag.advance(version(11), version(11));
    assert_eq!(lag.missing().unwrap().version, version(12));
    lag.advance(version(12), version(12));
    assert_eq!(lag.missing(), None);
}

/// Reports of ever later changes must not hide that the first one is missing for long, and a host
/// that keeps up must not count as late because some change is always new.
#[test]
fn time_counts_from_the_first_missing_change() {
    let mut lag = Lag::default();
    lag.advance(version(10), version(10));
    lag.record_report(&host("h-1"), version(11), at(0));
    assert!(!lag.record_report(&host("h-2"), version(15), at(300)));
    let missing = lag.missing().unwrap();
    assert_eq!((missing.version, missing.since), (version(11), at(0)));
    lag.advance(version(11), version(11));
    assert_eq!(lag.missing(), None);
    assert!(lag.record_report(&host("h-2"), version(15), at(500)));
    assert_eq!(lag.missing().unwrap().since, at(500));
}

#[test]
fn asking_again_gives_the_store_time_to_answer() {
    let mut lag = Lag::default();
    lag.advance(version(10), version(10));
    lag.record_report(&host("h-1"), version(11), at(0));
    const MAX_LAG: Duration = Duration::from_millis(600);
    let due_at = |lag: &Lag| lag.missing().unwrap().due_at(MAX_LAG);
    assert_eq!(due_at(&lag), at(600));
    lag.retry(at(600));
    assert_eq!(due_at(&lag), at(600 + 1_200));
    for _ in 0..100 {
        lag.retry(at(2_000));
    }
    // A store that was silent for long must be asked soon after it answers again (soak, seed 26).
    assert_eq!(due_at(&lag), at(2_000 + 2_000), "the time between two retries is bounded");
}

/// The numbers of a new era begin below those of the former one.
#[test]
fn change_of_a_later_era_is_missing_whatever_its_number() {
    let mut lag = Lag::default();
    lag.advance(version(100), version(90));
    assert_eq!(lag.latest(), version(90));
    let restored = Version { era: 1, number: 60 };
    assert!(lag.record_report(&host("h-1"), restored, at(0)));
    lag.advance(version(120), version(120));
    assert!(lag.missing().is_some(), "the host still reads the former era");
    lag.advance(restored, restored);
    assert_eq!((lag.missing(), lag.latest()), (None, restored));
    assert!(!lag.record_report(&host("h-2"), version(130), at(1)), "a change of a former era");
}
