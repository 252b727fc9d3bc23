//! The request rate of a cold server, as counted by one host or by two that both count.

use oleanderspan::{
    backend::cold::{Limiter, Rate},
    prelude::*,
};
use proptest::prelude::*;

/// What a cold server tolerates in one second beyond its rate, per the platform's pages: half of
/// the rate and this many requests.
const TOLERANCE: u64 = 5;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn cold(per_1000_s: u64) -> Limiter {
    let limiter = Limiter::warm();
    limiter.limit_until(at(1_000_000), Rate::per_1000_s(per_1000_s));
    limiter
}

#[test]
fn host_of_another_region_sends_a_server_requests_only_once_it_is_warm() {
    let limiter = cold(4_500);
    limiter.set_remote(true);
    assert!(!limiter.is_open(at(10)) && !limiter.try_pass(at(10)));
    assert!(limiter.is_open(at(1_000_000)) && limiter.try_pass(at(1_000_000)));
}

#[test]
fn held_server_gets_its_rate_once_the_time_is_over() {
    let limiter = cold(4_500);
    limiter.hold_until(at(2_000));
    assert!(!limiter.is_open(at(1_999)) && !limiter.try_pass(at(1_999)));
    assert!(limiter.is_open(at(2_000)) && limiter.try_pass(at(2_000)));
    assert!(!limiter.try_pass(at(2_001)), "no burst follows");
}

#[test]
fn parts_of_a_rate_add_up_to_it_at_most() {
    let interval = |hosts| Rate::per_1000_s(4_500).part(hosts).interval();
    assert_eq!(interval(0), interval(1));
    assert!(interval(3) >= interval(1).map(|interval| interval * 3));
}

proptest! {
    /// While hosts of a region stop in turn, two of them may hold themselves for the one that counts;
    /// a cold server got 12 requests in a second (review, days 180 and 1312).
    #[test]
    fn two_hosts_that_count_stay_within_what_a_cold_server_tolerates(
        rate in 1_000_u64..6_000,
        asks in proptest::collection::vec((any::<bool>(), 0_u64..60), 1..200),
    ) {
        let hosts = [cold(rate), cold(rate)];
        let mut now = 10;
        let mut sent: Vec<u64> = Vec::new();
        for (is_second, pause) in asks {
            now += pause;
            let host = &hosts[usize::from(is_second)];
            let is_open = host.is_open(at(now));
            let has_passed = host.try_pass(at(now));
            prop_assert_eq!(is_open, has_passed);
            sent.extend(has_passed.then_some(now));
        }
        for (n, from) in sent.iter().enumerate() {
            let in_second = sent[n..].iter().filter(|at| **at < from + 1_000).count() as u64;
            prop_assert!(in_second * 1_000 <= rate * 3 / 2 + TOLERANCE * 1_000, "{in_second}");
        }
    }
}
