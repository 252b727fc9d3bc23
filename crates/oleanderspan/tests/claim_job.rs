//! Stored jobs: retry back-off, detection of lost runners, and which states can be claimed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use oleanderspan::request::{
    Job,
    claim::State as ClaimState,
    job::{Runner, RunnerObservation, State},
};

const TIMEOUT: Duration = Duration::from_secs(60);

fn runner(host: &str, incarnation: u64) -> Runner {
    Runner { host: host.into(), incarnation }
}

fn is_lost(runner: &Runner, own: &Runner, is_listed: bool, seen_s: u64) -> bool {
    let observed_for = Duration::from_secs(seen_s);
    runner.is_lost(RunnerObservation { own, is_listed, observed_for, request_timeout: TIMEOUT })
}

#[test]
fn runner_is_lost_after_restart_absence_or_run_time_limit() {
    let own = runner("a", 7);
    assert!(!is_lost(&runner("a", 7), &own, true, 10_000), "the current process");
    assert!(is_lost(&runner("a", 6), &own, true, 0), "an earlier process on this host");
    let other = runner("b", 1);
    assert!(!is_lost(&other, &own, false, 10), "unlisted for 10 s");
    assert!(is_lost(&other, &own, false, 11), "unlisted for more than 10 s");
    assert!(!is_lost(&other, &own, true, 4 * 60), "within four request time limits");
    assert!(is_lost(&other, &own, true, 4 * 60 + 1), "over four request time limits");
}

#[test]
fn requeue_backoff_doubles_up_to_one_minute() {
    let mut job = Job::new("op", "digest");
    assert!(job.is_due(0));
    let mut waits = Vec::new();
    for _ in 0..10 {
        let next = job.requeued(1_000);
        assert_eq!((&next.state, next.attempts), (&State::Queued, job.attempts + 1));
        assert!(!next.is_due(next.due_ms - 1) && next.is_due(next.due_ms));
        waits.push((next.due_ms - 1_000) / 1_000);
        job = next;
    }
    assert_eq!(waits, [1, 2, 4, 8, 16, 32, 60, 60, 60, 60]);
    job.attempts = u32::MAX;
    assert_eq!(job.requeued(u64::MAX).due_ms, u64::MAX);
}

#[test]
fn only_queued_jobs_can_be_claimed() {
    let job = |state| Job { state, ..Job::new("op", "digest") }.claim().state;
    assert_eq!(job(State::Queued), ClaimState::Released);
    assert_eq!(job(State::Running(runner("a", 1))), ClaimState::Held);
    assert_eq!(job(State::InDoubt), ClaimState::Held);
    assert!(matches!(job(State::Done), ClaimState::Done(_)));
}
