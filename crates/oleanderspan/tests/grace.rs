//! A planned stop takes and sends no request that it is not likely to see the end of.

use std::time::Duration;

use oleanderspan::{clock::Instant, entry::Grace};
use proptest::prelude::*;

/// The start of each stop; a process may be told to stop at once.
const BEGINNING: Instant = Instant::ZERO;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

proptest! {
    /// Of any request that is sent, the server is done before the end if it takes at most twice as
    /// long as usual, and the answer is sent before the process would be killed.
    #[test]
    fn requests_that_are_sent_end_within_the_grace_period(
        period_ms in 1_u64..60_000,
        arrival_ms in 0_u64..70_000,
        deadline_ms in 0_u64..30_000,
        typical_ms in 0_u64..10_000,
        work_percent in 0_u64..=200,
    ) {
        let grace = Grace::begin(BEGINNING, millis(period_ms));
        prop_assert!(grace.closes < grace.ends);
        prop_assert!(grace.ends <= grace.exits);
        prop_assert!(grace.exits <= BEGINNING + millis(period_ms));
        let arrival = BEGINNING + millis(arrival_ms);
        let deadline = arrival + millis(deadline_ms);
        let last_send = grace.last_send(deadline, millis(typical_ms));
        prop_assert!(last_send <= grace.ends);
        if typical_ms > 0 && arrival <= last_send {
            let done = arrival + millis(typical_ms * work_percent / 100);
            prop_assert!(done.min(deadline) <= grace.ends);
        }
    }
}

#[test]
fn requests_are_taken_while_clients_use_cached_addresses_only() {
    let grace = Grace::begin(BEGINNING, millis(10_000));
    assert!(grace.is_open(BEGINNING + millis(1_799)));
    assert!(!grace.is_open(BEGINNING + millis(1_800)));
    assert_eq!(grace.ends, BEGINNING + millis(9_700));
    let short = Grace::begin(BEGINNING, millis(2_000));
    assert!(!short.is_open(BEGINNING + millis(600)));
}

#[test]
fn service_without_a_measured_latency_is_sent_requests_until_shortly_before_the_end() {
    let grace = Grace::begin(BEGINNING, millis(10_000));
    let deadline = BEGINNING + millis(60_000);
    assert_eq!(grace.last_send(deadline, Duration::ZERO), BEGINNING + millis(9_200));
    assert_eq!(grace.last_send(deadline, millis(2_600)), BEGINNING + millis(4_500));
    // A deadline within the grace period ends the request itself.
    assert_eq!(grace.last_send(BEGINNING + millis(9_000), millis(2_600)), grace.ends);
    // Work that takes longer than the grace period is not begun.
    assert_eq!(grace.last_send(deadline, millis(8_000)), Instant::ZERO);
}
