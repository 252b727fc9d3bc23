//! Entries of servers arrive late, twice or not at all, and expire while the store is unavailable.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::Ipv4Addr;

use oleanderspan::{
    availability::{self, Location},
    backend::{
        self, Listing, cold,
        listing::{Change, Entry},
        server::Identity,
    },
    prelude::*,
    region, service,
};

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn name() -> backend::Name {
    backend::Name::try_from("i-1").unwrap()
}

fn entry(born_millis: u64, sequence: u64) -> Entry {
    Entry {
        service: service::Name::try_from("stock").unwrap(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
        location: Location { zone: availability::Index(0), region: region::Index(0) },
        slots: 4,
        is_leaving: false,
        cold_left: Duration::ZERO,
        born_millis,
        sequence,
    }
}

fn listed(listing: &Listing) -> Arc<backend::Server> {
    Arc::clone(&listing.get(&name()).unwrap().server)
}

#[test]
fn a_restart_under_the_same_name_creates_a_new_server() {
    let mut listing = Listing::default();
    assert_eq!(listing.put(&name(), entry(1, 5), at(0)), Change::Joined);
    let first = listed(&listing);
    assert!(first.try_acquire_slot());
    assert_eq!(listing.put(&name(), entry(2, 0), at(1)), Change::Joined);
    assert_eq!(
        listed(&listing).in_flight(),
        0,
        "requests in flight before the restart are not counted"
    );
}

#[test]
fn outdated_entries_are_ignored() {
    let mut listing = Listing::default();
    listing.put(&name(), Entry { is_leaving: true, ..entry(2, 5) }, at(0));
    assert_eq!(listing.put(&name(), entry(2, 4), at(1)), Change::None);
    assert_eq!(listing.put(&name(), entry(1, 9), at(2)), Change::None);
    assert!(listed(&listing).is_leaving());
}

#[test]
fn the_first_sign_of_leaving_is_final_for_a_start() {
    let mut listing = Listing::default();
    listing.put(&name(), entry(1, 1), at(0));
    let leaving = Entry { is_leaving: true, ..entry(1, 2) };
    assert_eq!(listing.put(&name(), leaving, at(1)), Change::Leaving);
    assert_eq!(listing.put(&name(), entry(1, 3), at(2)), Change::None);
    assert!(listed(&listing).is_leaving());
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_is_available() {
    let mut listing = Listing::default();
    listing.put(&name(), entry(1, 1), at(0));
    let server = listed(&listing);
    assert_eq!(listing.remove(&name(), at(10)), Change::Gone);
    assert!(
        server.is_leaving(),
        "requests with an older snapshot must not choose the removed server"
    );
    assert!(listing.is_empty());
}

/// A removal just after the store recovers may only be an expired entry. The server stays valid for
/// two seconds: it is kept if it is listed again by then, and removed if not.
#[test]
fn a_removed_entry_stays_valid_for_two_seconds_after_the_store_recovers() {
    let mut listing = Listing::default();
    listing.put(&name(), entry(1, 1), at(0));
    listing.store_recovered(at(1_000));
    assert_eq!(listing.remove(&name(), at(1_100)), Change::None);
    assert!(!listed(&listing).is_leaving());
    assert_eq!(listing.next_expiry(), Some(at(3_000)));
    assert!(listing.expire(at(2_999)).is_empty());
    assert_eq!(listing.expire(at(3_000)), vec![name()]);

    listing.put(&name(), entry(1, 2), at(4_000));
    listing.store_recovered(at(5_000));
    listing.remove(&name(), at(5_100));
    listing.put(&name(), entry(1, 3), at(6_000));
    assert!(listing.expire(at(9_000)).is_empty());
    assert!(!listed(&listing).is_leaving());
}

#[test]
fn a_leaving_server_gets_no_grace_period() {
    let mut listing = Listing::default();
    listing.put(&name(), Entry { is_leaving: true, ..entry(1, 1) }, at(0));
    listing.store_recovered(at(1_000));
    assert_eq!(listing.remove(&name(), at(1_100)), Change::Gone);
}

#[test]
fn a_complete_listing_reveals_missing_servers() {
    let mut listing = Listing::default();
    listing.put(&name(), entry(1, 1), at(0));
    let other = backend::Name::try_from("i-2").unwrap();
    assert_eq!(listing.missing_from(&[other].into_iter().collect()), vec![name()]);
}

/// In any one second, a cold server gets at most its rate plus a burst of two.
#[test]
fn a_cold_server_gets_its_rate_and_a_burst_of_two() {
    let mut listing = Listing::default();
    let cold = Entry { cold_left: Duration::from_millis(3_000), ..entry(1, 1) };
    listing.put(&name(), cold, at(0));
    listing.get(&name()).unwrap().limit_while_cold(cold::Rate::per_1000_s(4_500), at(0));
    let server = listed(&listing);
    let passed: Vec<u64> = (0..6_000).filter(|ms| server.cold().try_pass(at(*ms))).collect();
    let cold: Vec<u64> = passed.iter().copied().filter(|ms| *ms < 3_000).collect();
    let busiest = cold
        .iter()
        .map(|from| cold.iter().filter(|ms| (*from..from + 1_000).contains(*ms)).count());
    assert!(busiest.clone().max().unwrap() <= 6, "{:?}", busiest.max());
    assert!(cold.len() >= 13, "a cold server still gets requests: {}", cold.len());
    assert_eq!(passed.len() - cold.len(), 3_000, "a warm server is not limited");
}

/// At a rate of zero, a cold server gets no requests but the first.
#[test]
fn a_rate_of_zero_admits_no_requests() {
    let limiter = cold::Limiter::warm();
    limiter.limit_until(at(1_000), cold::Rate::per_1000_s(0));
    let passed = (0..1_000).filter(|ms| limiter.try_pass(at(*ms))).count();
    assert!(passed <= 1, "{passed}");
    assert!(limiter.try_pass(at(1_000)));
}

/// Guards against exceeding the cold-start rate when all hosts start at once: each hands out slots
/// until it learns of the others.
#[test]
fn a_host_that_has_just_started_sends_nothing_to_cold_servers() {
    let limiter = cold::Limiter::warm();
    limiter.limit_until(at(9_000), cold::Rate::per_1000_s(4_000));
    limiter.hold_until(at(1_500));
    let passed: Vec<u64> = (0..3_000).filter(|millis| limiter.try_pass(at(*millis))).collect();
    assert_eq!(passed.first(), Some(&1_500));
    assert!(passed.iter().filter(|millis| **millis < 2_500).count() <= 6, "{passed:?}");
    let warm = cold::Limiter::warm();
    warm.hold_until(at(1_500));
    assert!(warm.try_pass(at(0)), "a warm server gets requests at once");
}

/// Requests that still hold the previous start of a server must not be sent to its address.
#[test]
fn replaced_start_of_a_server_hands_out_no_more_slots() {
    let mut listing = Listing::default();
    listing.put(&name(), entry(1, 1), at(0));
    let former = listed(&listing);
    listing.put(&name(), entry(2, 1), at(1));
    assert!(!former.try_acquire_slot());
    assert!(listed(&listing).try_acquire_slot());
}

/// An entry of the same start with another zone or address must not undo its leaving or its cold start.
#[test]
fn leaving_and_cold_start_outlast_a_changed_location() {
    let elsewhere = Location { zone: availability::Index(1), region: region::Index(1) };
    let mut listing = Listing::default();
    let cold = Entry { cold_left: Duration::from_millis(500), ..entry(1, 1) };
    listing.put(&name(), cold, at(0));
    listing.put(&name(), Entry { location: elsewhere, ..entry(1, 2) }, at(1));
    let server = listed(&listing);
    listing.get(&name()).unwrap().limit_while_cold(cold::Rate::per_1000_s(4_000), at(1));
    assert_eq!(server.location, elsewhere);
    assert!(server.cold().is_cold(at(400)));
    listing.put(&name(), Entry { is_leaving: true, location: elsewhere, ..entry(1, 3) }, at(2));
    listing.put(&name(), entry(1, 4), at(3));
    assert!(listed(&listing).is_leaving());
}

/// Requests use the replaced server until the next snapshot has the new one.
#[test]
fn server_hands_out_slots_while_their_number_changes() {
    let mut listing = Listing::default();
    listing.put(&name(), entry(1, 1), at(0));
    let previous = listed(&listing);
    listing.put(&name(), Entry { slots: 8, ..entry(1, 2) }, at(1));
    assert!(previous.try_acquire_slot());
    assert_eq!(listed(&listing).slots(), 8);
}

/// A request that is bound to a region must not run in another that the server turns out to be in.
#[test]
fn server_hands_out_no_slots_once_its_location_has_changed() {
    let elsewhere = Location { zone: availability::Index(1), region: region::Index(1) };
    let mut listing = Listing::default();
    listing.put(&name(), entry(1, 1), at(0));
    let previous = listed(&listing);
    listing.put(&name(), Entry { location: elsewhere, ..entry(1, 2) }, at(1));
    assert!(!previous.try_acquire_slot());
}

/// Another host may grant the next start of a server before this host knows of it.
#[test]
fn removal_of_a_server_does_not_concern_its_next_start() {
    let start = |incarnation| Identity { name: name(), incarnation };
    let mut listing = Listing::default();
    listing.put(&name(), entry(2, 1), at(0));
    assert!(!listing.was_removed(&start(2)));
    assert_eq!(listing.remove(&name(), at(1)), Change::Gone);
    assert!(listing.was_removed(&start(1)) && listing.was_removed(&start(2)));
    assert!(!listing.was_removed(&start(3)));
}

/// A restored store lists servers that were removed before, and a server that had begun to leave as one
/// that is ready.
#[test]
fn entry_from_before_the_removal_does_not_bring_a_server_back() {
    let mut listing = Listing::default();
    listing.put(&name(), Entry { is_leaving: true, ..entry(1, 5) }, at(0));
    assert_eq!(listing.remove(&name(), at(1)), Change::Gone);
    for sequence in [3, 5] {
        assert_eq!(listing.put(&name(), entry(1, sequence), at(2)), Change::None);
        assert!(listing.get(&name()).is_none());
    }
    assert_eq!(listing.put(&name(), entry(1, 6), at(3)), Change::Joined, "it lives");
    assert!(listed(&listing).is_leaving(), "and still leaves");
    assert_eq!(listing.remove(&name(), at(4)), Change::Gone);
    assert_eq!(listing.put(&name(), entry(2, 0), at(5)), Change::Joined, "another start");
    assert!(!listed(&listing).is_leaving());
}
