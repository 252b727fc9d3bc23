//! An accepted document is in force everywhere within seconds and never reverts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::{Bench, Daemon};
use oleanderspan_lab::{deployment::CUPRUL, platform::Faults};

/// The time in which an accepted document must be in force on all hosts.
const BOUND: Duration = Duration::from_secs(5);

const DONE: i32 = 0;
const REFUSED: i32 = 1;
const UNKNOWN: i32 = 3;

fn away() -> Faults {
    Faults { unavailable: true, ..Faults::default() }
}

#[tokio::test]
async fn a_document_is_in_force_everywhere_within_the_bound() {
    let bench = Bench::start("in-force", &CUPRUL);
    bench.install().await;
    let proposed = bench.propose(3, "1", "second");
    assert_eq!(proposed.code, DONE, "{proposed:?}");
    bench.until_in_force(2, BOUND, bench.everyone()).await;
}

#[tokio::test]
async fn a_document_spreads_with_the_store_away_right_after_its_acceptance() {
    let bench = Bench::start("away-after", &CUPRUL);
    bench.install().await;
    let proposed = bench.propose(1, "1", "second");
    bench.set_faults(&away()).await;
    assert_eq!(proposed.code, DONE, "{proposed:?}");
    bench.until_in_force(2, BOUND, bench.everyone()).await;

    let refused = bench.propose(1, "2", "third");
    assert_eq!(refused.code, REFUSED, "{refused:?}");
    assert!(refused.stderr.contains("the store is away"), "{refused:?}");
}

#[tokio::test]
async fn a_lost_answer_is_settled_and_a_repeated_command_is_harmless() {
    let bench = Bench::start("lost-answer", &CUPRUL);
    bench.install().await;
    bench.set_faults(&Faults { lost_answers_percent: 100, ..Faults::default() }).await;
    let proposed = bench.propose(1, "1", "second");
    assert_eq!(proposed.code, DONE, "{proposed:?}");
    assert!(proposed.stdout.contains("accepted as version 2"), "{proposed:?}");
    bench.set_faults(&Faults::default()).await;

    assert_eq!(bench.propose(4, "2", "third").code, DONE);
    let repeated = bench.propose(5, "1", "second");
    assert_eq!(repeated.code, DONE, "{repeated:?}");
    assert!(repeated.stdout.contains("accepted as version 2"), "{repeated:?}");
    bench.until_in_force(3, BOUND, bench.everyone()).await;
}

#[tokio::test]
async fn an_outcome_that_nobody_can_tell_is_called_unknown_and_told_later() {
    let bench = Bench::start("unknown", &CUPRUL);
    bench.install().await;
    // The write takes effect, its answer is lost, and the record can't be read back.
    bench.set_faults(&Faults { unavailable_after_write: true, ..Faults::default() }).await;
    let proposed = bench.propose(1, "1", "second");
    assert_eq!(proposed.code, UNKNOWN, "{proposed:?}");
    assert!(proposed.stderr.contains("outcome unknown"), "{proposed:?}");
    bench.set_faults(&Faults::default()).await;
    let repeated = bench.propose(2, "1", "second");
    assert_eq!(repeated.code, DONE, "{repeated:?}");
    assert!(repeated.stdout.contains("accepted as version 2"), "{repeated:?}");
    bench.until_in_force(2, BOUND, bench.everyone()).await;
}

#[tokio::test]
async fn exactly_one_of_racing_operators_wins_and_the_others_are_told() {
    let bench = Bench::start("racing", &CUPRUL);
    bench.install().await;
    for round in 1..=5 {
        let base = round.to_string();
        let outcomes: Vec<_> = std::thread::scope(|scope| {
            let operators: Vec<_> = bench
                .everyone()
                .map(|host| {
                    let (bench, base) = (&bench, &base);
                    let operation = format!("round-{round}-host-{host}");
                    scope.spawn(move || bench.propose(host, base, &operation))
                })
                .collect();
            operators.into_iter().map(|operator| operator.join().unwrap()).collect()
        });
        let won = outcomes.iter().filter(|outcome| outcome.code == DONE).count();
        assert_eq!(won, 1, "{outcomes:?}");
        let version = format!("version {} is in force", round + 1);
        for lost in outcomes.iter().filter(|outcome| outcome.code != DONE) {
            assert_eq!(lost.code, REFUSED, "{lost:?}");
            assert!(lost.stderr.contains(&version), "{lost:?}");
        }
    }
    bench.until_in_force(6, BOUND, bench.everyone()).await;
}

#[tokio::test]
async fn a_stale_peer_learns_and_takes_nobody_back() {
    let mut bench = Bench::start("stale", &CUPRUL);
    bench.install().await;
    bench.signal(8, Daemon::Control, "STOP");
    assert_eq!(bench.propose(1, "1", "second").code, DONE);
    bench.until_in_force(2, BOUND, 1..8).await;
    bench.set_faults(&away()).await;
    bench.signal(8, Daemon::Control, "CONT");
    let watched = Instant::now();
    while watched.elapsed() < BOUND {
        for host in 1..8 {
            assert_eq!(bench.version(host).await, Some(2), "host {host} reverted");
        }
    }
    assert_eq!(bench.version(8).await, Some(2), "the stale host has not learned");
}

#[tokio::test]
async fn hosts_replaced_with_the_store_away_never_revert() {
    let mut bench = Bench::start("replaced", &CUPRUL);
    bench.install().await;
    // The first host misses the change, the last one alone keeps it; all others are replaced.
    bench.signal(1, Daemon::Control, "STOP");
    assert_eq!(bench.propose(2, "1", "second").code, DONE);
    bench.until_in_force(2, BOUND, 2..9).await;
    bench.set_faults(&away()).await;
    bench.signal(8, Daemon::Control, "STOP");
    for host in 2..8 {
        bench.kill(host, Daemon::Control);
        bench.kill(host, Daemon::Entry);
    }
    bench.signal(1, Daemon::Control, "CONT");
    for host in 2..8 {
        bench.launch(host, Daemon::Control);
        bench.launch(host, Daemon::Entry);
    }
    // The replaced hosts hear of the stale one first.
    bench.until(async || bench.version(2).await == Some(1)).await;
    bench.signal(8, Daemon::Control, "CONT");
    let continued = Instant::now();
    while continued.elapsed() < BOUND {
        for host in 2..8 {
            let ready = bench.ready_version(host).await;
            assert!(ready.is_none_or(|version| version == 2), "host {host} serves {ready:?}");
        }
    }
    for host in bench.everyone() {
        assert_eq!(bench.ready_version(host).await, Some(2), "host {host}");
    }
}
