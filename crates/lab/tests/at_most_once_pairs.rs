//! Faults together: a key through several hosts, kills, pauses, a store that loses answers or is
//! slow, and time limits at every step. What was said not to have run did not run.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Answer, Bench, Daemon};
use futures_util::future::join_all;
use http::Request;
use oleanderspan_lab::{deployment::BUREAU, platform::Faults};
use oleanderspan_node::http::client::Error;

const SERVICE: &str = "occlusion-bookings";
const BODY: &[u8] = b"{\"child\":3}";

async fn start(name: &str) -> Bench {
    let bench = Bench::start(name, &BUREAU);
    bench.install().await;
    bench
}

fn send(
    bench: &Bench,
    host: u16,
    key: &str,
    run_ms: u32,
) -> impl Future<Output = Result<Answer, Error>> + Send + 'static {
    let request = Request::post("/bookings")
        .header("host", bench.authority(SERVICE))
        .header("idempotency-key", key)
        .header("lab-run-ms", run_ms.to_string());
    bench.client_send(bench.ports.caller(host), request, Bytes::from_static(BODY))
}

async fn send_to_all(
    bench: &Bench,
    hosts: impl IntoIterator<Item = u16>,
    key: &str,
) -> Vec<String> {
    let sends = hosts.into_iter().map(|host| send(bench, host, key, 50));
    let answers = join_all(sends).await;
    answers.iter().map(|answer| outcome(answer.as_ref().ok()).to_owned()).collect()
}

fn outcome(answer: Option<&Answer>) -> &str {
    answer.map_or("", |answer| answer.header("oleanderspan-outcome"))
}

/// The truth of what callers of one key were told.
async fn check(bench: &Bench, key: &str, told: &[String]) {
    let runs = bench.runs(key).await;
    assert!(runs <= 1, "{key} ran {runs} times");
    if told.iter().any(|told| told == "done") {
        assert_eq!(runs, 1, "{key} was said to have run");
    }
    if told.iter().all(|told| told == "not-run") {
        assert_eq!(runs, 0, "{key} was said by all not to have run");
    }
}

#[tokio::test]
async fn a_paused_claimer_alone_may_run() {
    let mut bench = start("claimer").await;
    // The claim lands while its host is paused.
    bench.set_faults(&Faults { delay_ms: 700, ..Faults::default() }).await;
    let first = tokio::spawn(send(&bench, 1, "claimer", 50));
    tokio::time::sleep(Duration::from_millis(350)).await;
    bench.signal(1, Daemon::Entry, "STOP");
    tokio::time::sleep(Duration::from_millis(800)).await;
    bench.set_faults(&Faults::default()).await;
    for _ in 0..3 {
        let told = send_to_all(&bench, 2..=8, "claimer").await;
        assert!(told.iter().all(|told| told == "unknown"), "{told:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(bench.runs("claimer").await, 0);
    bench.signal(1, Daemon::Entry, "CONT");
    let first = first.await.unwrap().ok();
    assert_eq!(outcome(first.as_ref()), "done");
    assert_eq!(bench.runs("claimer").await, 1);
}

#[tokio::test]
async fn the_same_key_through_all_hosts_with_answers_lost_runs_at_most_once() {
    let bench = start("same-lost").await;
    for round in 0..4u32 {
        let key = format!("same-lost-{round}");
        let faults = Faults {
            lose_next_answers: 2 * round + 1,
            late_next_writes: round,
            late_ms: 1_200,
            delay_ms: 40,
            ..Faults::default()
        };
        bench.set_faults(&faults).await;
        let told = send_to_all(&bench, 1..=8, &key).await;
        check(&bench, &key, &told).await;
        bench.set_faults(&Faults::default()).await;
        // The key never stays in doubt, as no host was lost.
        bench.until(async || send_to_all(&bench, [4], &key).await == ["done"]).await;
        assert_eq!(bench.runs(&key).await, 1);
    }
}

#[tokio::test]
async fn a_pause_with_answers_lost_leaves_at_most_one_run() {
    let mut bench = start("pause-lost").await;
    for (round, pause_ms) in [20, 300, 1_100].into_iter().enumerate() {
        let key = format!("pause-lost-{round}");
        bench.set_faults(&Faults { lose_next_answers: 2, ..Faults::default() }).await;
        let first = tokio::spawn(send(&bench, 1, &key, 50));
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        bench.signal(1, Daemon::Entry, "STOP");
        tokio::time::sleep(Duration::from_secs(3)).await;
        let mut told = send_to_all(&bench, 2..=8, &key).await;
        bench.signal(1, Daemon::Entry, "CONT");
        told.push(outcome(first.await.unwrap().ok().as_ref()).to_owned());
        check(&bench, &key, &told).await;
        bench.set_faults(&Faults::default()).await;
    }
}

#[tokio::test]
async fn a_kill_while_other_hosts_are_paused_leaves_at_most_one_run() {
    let mut bench = start("kill-pause").await;
    for (round, pause_ms) in [5, 25, 50].into_iter().enumerate() {
        let key = format!("kill-pause-{round}");
        let sends: Vec<_> =
            [1, 2, 5, 7].map(|host| tokio::spawn(send(&bench, host, &key, 50))).into();
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        bench.signal(2, Daemon::Entry, "STOP");
        bench.signal(5, Daemon::Entry, "STOP");
        bench.kill(1, Daemon::Entry);
        tokio::time::sleep(Duration::from_secs(3)).await;
        let mut told = send_to_all(&bench, [3, 4, 6, 7, 8], &key).await;
        bench.signal(2, Daemon::Entry, "CONT");
        bench.signal(5, Daemon::Entry, "CONT");
        for sent in sends {
            told.push(outcome(sent.await.unwrap().ok().as_ref()).to_owned());
        }
        bench.launch(1, Daemon::Entry);
        bench.until_ready(1).await;
        check(&bench, &key, &told).await;
    }
}

#[tokio::test]
async fn a_kill_while_the_store_is_slow_leaves_at_most_one_run() {
    let mut bench = start("kill-slow").await;
    for (round, pause_ms) in [100, 400, 700].into_iter().enumerate() {
        let key = format!("kill-slow-{round}");
        bench.set_faults(&Faults { delay_ms: 300, ..Faults::default() }).await;
        let first = tokio::spawn(send(&bench, 1, &key, 200));
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        bench.kill(1, Daemon::Entry);
        let mut told = send_to_all(&bench, 2..=8, &key).await;
        told.push(outcome(first.await.unwrap().ok().as_ref()).to_owned());
        check(&bench, &key, &told).await;
        bench.set_faults(&Faults::default()).await;
        bench.launch(1, Daemon::Entry);
        bench.until_ready(1).await;
    }
}

#[tokio::test]
async fn a_time_limit_at_any_step_is_told_truly() {
    let bench = start("limits").await;
    let mut told = Vec::new();
    // The first and the last two end the same way on every machine.
    let steps = [1, 2, 3, 5, 8, 12, 20, 30, 45, 60, 80, 120].map(|limit_ms| (limit_ms, 40));
    for (limit_ms, run_ms) in
        [(0, 40)].into_iter().chain(steps).chain([(1_500, 3_000), (20_000, 40)])
    {
        let sends =
            (1..=8u16).flat_map(|host| [(host, true), (host, false)]).map(|(host, keyed)| {
                let id = format!("limit-{limit_ms}-{host}-{keyed}");
                let mut request = Request::post("/bookings")
                    .header("host", bench.authority(SERVICE))
                    .header("x-request-id", &id)
                    .header("oleanderspan-timeout-ms", limit_ms.to_string())
                    .header("lab-run-ms", run_ms.to_string());
                if keyed {
                    request = request.header("idempotency-key", &id);
                }
                let body = Bytes::from_static(BODY);
                let sent = bench.client_send(bench.ports.caller(host), request, body);
                async move { (id, outcome(sent.await.ok().as_ref()).to_owned()) }
            });
        told.extend(join_all(sends).await);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = bench.all_runs().await;
    for outcome in ["done", "not-run", "unknown"] {
        assert!(told.iter().any(|(_, told)| told == outcome), "nothing was {outcome}");
    }
    for (id, told) in told {
        let runs = runs.get(&id).copied().unwrap_or(0);
        match told.as_str() {
            "done" => assert_eq!(runs, 1, "{id} was said to have run"),
            "not-run" => assert_eq!(runs, 0, "{id} was said not to have run"),
            _ => assert!(runs <= 1, "{id} ran {runs} times"),
        }
    }
}

#[tokio::test]
async fn the_outcome_is_kept_when_the_caller_goes_away() {
    let bench = start("caller-gone").await;
    for (round, wait_ms) in [15, 60, 150].into_iter().enumerate() {
        let key = format!("gone-{round}");
        let first = send(&bench, 1, &key, 200);
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), first).await;
        bench.until(async || send_to_all(&bench, [8], &key).await == ["done"]).await;
        assert_eq!(bench.runs(&key).await, 1);
    }
}

#[tokio::test]
async fn a_planned_stop_waits_for_a_claimed_request_whose_caller_is_gone() {
    let mut bench = start("stop").await;
    let first = send(&bench, 1, "stop", 15_000);
    let _ = tokio::time::timeout(Duration::from_millis(500), first).await;
    // The connection closes before this thread waits for the process.
    tokio::time::sleep(Duration::from_millis(300)).await;
    bench.signal(1, Daemon::Entry, "TERM");
    assert_eq!(bench.wait(1, Daemon::Entry), Some(0));
    bench.until(async || send_to_all(&bench, [8], "stop").await == ["done"]).await;
    assert_eq!(bench.runs("stop").await, 1);
}

/// Starts a request that is dispatched when the store goes away.
async fn dispatched_when_the_store_goes_away(
    bench: &Bench,
    key: &str,
) -> tokio::task::JoinHandle<Result<Answer, Error>> {
    let first = tokio::spawn(send(bench, 1, key, 2_000));
    bench.until(async || bench.runs(key).await == 1).await;
    bench.set_faults(&Faults { unavailable: true, ..Faults::default() }).await;
    first
}

#[tokio::test]
async fn a_kill_while_the_store_is_away_leaves_the_key_held() {
    let mut bench = start("kill-away").await;
    let first = dispatched_when_the_store_goes_away(&bench, "kill-away").await;
    bench.kill(1, Daemon::Entry);
    assert_eq!(outcome(first.await.unwrap().ok().as_ref()), "");
    let told = send_to_all(&bench, 2..=8, "kill-away").await;
    assert!(told.iter().all(|told| told == "not-run"), "{told:?}");
    bench.set_faults(&Faults::default()).await;
    bench.launch(1, Daemon::Entry);
    bench.until_ready(1).await;
    let told = send_to_all(&bench, 1..=8, "kill-away").await;
    assert!(told.iter().all(|told| told == "unknown"), "{told:?}");
    assert_eq!(bench.runs("kill-away").await, 1);
}

#[tokio::test]
async fn a_pause_while_the_store_is_away_keeps_the_outcome() {
    let mut bench = start("pause-away").await;
    let first = dispatched_when_the_store_goes_away(&bench, "pause-away").await;
    bench.signal(1, Daemon::Entry, "STOP");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let told = send_to_all(&bench, 2..=8, "pause-away").await;
    assert!(told.iter().all(|told| told == "not-run"), "{told:?}");
    bench.set_faults(&Faults::default()).await;
    let told = send_to_all(&bench, 2..=8, "pause-away").await;
    assert!(told.iter().all(|told| told == "unknown"), "{told:?}");
    bench.signal(1, Daemon::Entry, "CONT");
    assert_eq!(outcome(first.await.unwrap().ok().as_ref()), "done");
    bench.until(async || send_to_all(&bench, [8], "pause-away").await == ["done"]).await;
    assert_eq!(bench.runs("pause-away").await, 1);
}
