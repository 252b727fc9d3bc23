//! The retry budget that hosts share, while their processes are replaced.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use oleanderspan::{region::Percent, request::retry::Budget};
use proptest::prelude::*;

/// The share of first attempts, in percent, and the further attempts that all hosts have together.
const SHARE_PERCENT: u8 = 20;
const SLACK: u32 = 56;

const HOSTS: u32 = 8;

proptest! {
    /// While hosts are stopped in turn, each new process spent its whole part of the slack again: 151
    /// repeated attempts in ten seconds where 113 are allowed (review, days 322, 561 and 1121).
    #[test]
    fn processes_that_replace_each_other_stay_within_the_budget(
        steps in proptest::collection::vec((0_usize..HOSTS as usize, 0_u8..8), 1..2_000),
    ) {
        let share = Percent::try_from(SHARE_PERCENT).unwrap();
        let first_start = |_| Budget::with_capacity(share, SLACK / HOSTS);
        let mut hosts: Vec<Budget> = (0..HOSTS).map(first_start).collect();
        let (mut first_attempts, mut further) = (0, 0);
        for (host, step) in steps {
            match step {
                0 => hosts[host] = Budget::replacing(share, SLACK / HOSTS),
                1..=4 => {
                    hosts[host].record_first_attempt();
                    first_attempts += 1;
                }
                _ => further += u32::from(hosts[host].try_spend()),
            }
        }
        let allowed = first_attempts * u32::from(SHARE_PERCENT) / 100 + SLACK;
        prop_assert!(further <= allowed, "{further} further attempts of {allowed}");
    }
}
