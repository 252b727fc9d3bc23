//! Evacuations of zones, and what a store that has lost some of them changes.

use std::time::Duration;

use oleanderspan::{
    availability::{Evacuations, Index},
    clock::Instant,
    prelude::Set,
};

const ZONE: Index = Index(1);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

#[test]
fn evacuation_lasts_until_a_list_lacks_it() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.begin(ZONE));
    assert!(!evacuations.begin(ZONE), "it has begun already");
    assert!(evacuations.missing_from(&Set::from_iter([ZONE])).is_empty());
    assert_eq!(evacuations.missing_from(&Set::default()), [ZONE]);
    assert!(evacuations.end(ZONE));
    assert!(!evacuations.contains(ZONE) && !evacuations.end(ZONE));
}

#[test]
fn evacuation_missing_from_a_restored_store_ends_unless_it_is_listed_again() {
    let mut evacuations = Evacuations::default();
    evacuations.begin(ZONE);
    evacuations.keep_missing_from(&Set::default(), at(0));
    assert!(evacuations.missing_from(&Set::default()).is_empty(), "the next list lacks it too");
    assert!(evacuations.contains(ZONE) && evacuations.expired(at(1_999)).is_empty());
    assert_eq!(evacuations.expired(at(2_000)), [ZONE]);
    assert!(!evacuations.begin(ZONE), "listed again in time");
    assert!(evacuations.expired(at(9_000)).is_empty());
    assert_eq!(evacuations.missing_from(&Set::default()), [ZONE]);
}
