//! Requests that may wait: none vanishes, each runs at most once, and each is in a state that can
//! be read, over separate processes and under failure.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Answer, Bench, Daemon};
use futures_util::future::join_all;
use http::{Request, StatusCode};
use oleanderspan_lab::{deployment::BUREAU, platform::Faults};
use oleanderspan_node::entry::jobs::status::Status;

const SERVICE: &str = "lens-orders";

async fn start(name: &str) -> Bench {
    let bench = Bench::start(name, &BUREAU);
    bench.install().await;
    bench
}

async fn order(bench: &Bench, host: u16, key: &str, run_ms: u32) -> Option<Answer> {
    let request = Request::post("/orders?lens=prism")
        .header("host", bench.authority(SERVICE))
        .header("idempotency-key", key)
        .header("prefer", "wait=1, respond-async")
        .header("lab-run-ms", run_ms.to_string());
    let body = Bytes::from_static(b"{\"prism\":2}");
    bench.send(bench.ports.caller(host), request, body).await.ok()
}

async fn status(bench: &Bench, host: u16, location: &str) -> Option<Status> {
    let answer = bench.get(bench.ports.caller(host), "-", location).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

async fn until_state(bench: &Bench, host: u16, location: &str, wanted: &[&str]) -> Status {
    let mut last = None;
    bench
        .until(async || {
            last = status(bench, host, location).await;
            last.as_ref().is_some_and(|status| wanted.contains(&status.state.as_str()))
        })
        .await;
    last.unwrap()
}

#[tokio::test]
async fn a_request_that_may_wait_is_stored_run_once_and_read_anywhere() {
    let bench = start("job").await;
    let answers = join_all((1..=8).map(|host| order(&bench, host, "job-1", 300))).await;
    let answers: Vec<Answer> = answers.into_iter().map(Option::unwrap).collect();
    let location = answers[0].header("location").to_owned();
    for answer in &answers {
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{answer:?}");
        assert_eq!(answer.header("preference-applied"), "respond-async");
        assert_eq!(answer.header("location"), location);
    }
    until_state(&bench, 4, &location, &["running"]).await;
    for host in 1..=8 {
        let status = until_state(&bench, host, &location, &["done"]).await;
        let answer = status.answer.unwrap();
        assert_eq!((answer.status, answer.text.unwrap()), (200, "{\"prism\":2}".to_owned()));
    }
    assert_eq!(bench.runs("job-1").await, 1);
    // The key belongs to the same request however it is sent again.
    assert_eq!(order(&bench, 3, "job-1", 0).await.unwrap().header("location"), location);
    let at_once = Request::post("/orders?lens=prism")
        .header("host", bench.authority(SERVICE))
        .header("idempotency-key", "job-1");
    let body = Bytes::from_static(b"{\"prism\":2}");
    let kept = bench.send(bench.ports.caller(6), at_once, body.clone()).await.unwrap();
    assert_eq!((kept.status, kept.body), (StatusCode::OK, body));
    assert_eq!(bench.runs("job-1").await, 1);
    let unknown = "/.well-known/oleanderspan/requests/0123456789abcdef0123456789abcdef";
    let unknown = bench.get(bench.ports.caller(1), "-", unknown).await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_kill_after_the_promise_neither_loses_nor_doubles_a_job() {
    let mut bench = start("job-kill").await;
    for (round, pause_ms) in [0, 10, 30, 60, 120, 200, 400].into_iter().enumerate() {
        let key = format!("job-kill-{round}");
        let accepted = order(&bench, 1, &key, 150).await.unwrap();
        assert_eq!(accepted.status, StatusCode::ACCEPTED, "{accepted:?}");
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        bench.kill(1, Daemon::Entry);
        bench.launch(1, Daemon::Entry);
        let location = accepted.header("location");
        let ended = until_state(&bench, 2, location, &["done", "in-doubt"]).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let runs = bench.runs(&key).await;
        assert!(runs <= 1, "{key} ran {runs} times");
        assert!(ended.state != "done" || runs == 1, "{key} is done and did not run");
        bench.until_ready(1).await;
    }
}

/// Starts an order and waits until a host runs it; returns where to ask, the number of that host
/// and of another one.
async fn running(bench: &Bench, key: &str, run_ms: u32) -> (String, u16, u16) {
    let accepted = order(bench, 7, key, run_ms).await.unwrap();
    let location = accepted.header("location").to_owned();
    let status = until_state(bench, 1, &location, &["running"]).await;
    let mut hosts = (1..).zip(bench.deployment.hosts());
    let runner = hosts.find(|(_, host)| Some(&host.name) == status.runner.as_ref()).unwrap().0;
    (location, runner, if runner == 1 { 2 } else { 1 })
}

#[tokio::test]
async fn jobs_of_a_host_that_is_gone_end_in_doubt() {
    let mut bench = start("job-gone").await;
    let (location, runner, other) = running(&bench, "gone", 60_000).await;
    bench.kill(runner, Daemon::Control);
    bench.kill(runner, Daemon::Entry);
    until_state(&bench, other, &location, &["in-doubt"]).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let status = status(&bench, other, &location).await.unwrap();
    assert_eq!(status.state, "in-doubt");
    assert!(bench.runs("gone").await <= 1);
}

#[tokio::test]
async fn a_paused_runner_records_its_outcome_when_it_wakes() {
    let mut bench = start("job-pause").await;
    let (location, runner, other) = running(&bench, "pause", 3_000).await;
    bench.signal(runner, Daemon::Entry, "STOP");
    bench.signal(runner, Daemon::Control, "STOP");
    until_state(&bench, other, &location, &["in-doubt"]).await;
    bench.signal(runner, Daemon::Control, "CONT");
    bench.signal(runner, Daemon::Entry, "CONT");
    until_state(&bench, other, &location, &["done"]).await;
    assert_eq!(bench.runs("pause").await, 1);
}

#[tokio::test]
async fn no_job_is_accepted_or_lost_while_the_store_fails() {
    let bench = start("job-store").await;
    bench.set_faults(&Faults { unavailable: true, ..Faults::default() }).await;
    let refused = order(&bench, 1, "away", 0).await.unwrap();
    assert_eq!(refused.header("oleanderspan-refusal"), "store-away", "{refused:?}");
    assert_eq!(refused.header("oleanderspan-outcome"), "not-run");
    bench.set_faults(&Faults::default()).await;
    // The first write lands late, and neither it nor what would void it is answered.
    let late = Faults { late_next_writes: 2, late_ms: 1_500, ..Faults::default() };
    bench.set_faults(&late).await;
    let unknown = order(&bench, 1, "late", 0).await.unwrap();
    let told = unknown.header("oleanderspan-outcome");
    assert!(["unknown", "not-run"].contains(&told), "{unknown:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(told == "unknown" || bench.runs("late").await == 0, "it was said not to have run");
    // Lost answers of the claim, of the run and of the record.
    for round in 0..6 {
        bench.set_faults(&Faults { lose_next_answers: round, ..Faults::default() }).await;
        let key = format!("lost-{round}");
        let answer = order(&bench, 1, &key, 10).await.unwrap();
        bench.set_faults(&Faults::default()).await;
        if answer.status != StatusCode::ACCEPTED {
            assert!(bench.runs(&key).await <= 1);
            continue;
        }
        let status = until_state(&bench, 2, answer.header("location"), &["done"]).await;
        assert_eq!((status.state.as_str(), bench.runs(&key).await), ("done", 1));
    }
    for key in ["away", "late"] {
        let again = order(&bench, 2, key, 0).await.unwrap();
        assert_eq!(again.status, StatusCode::ACCEPTED, "{key}: {again:?}");
        until_state(&bench, 3, again.header("location"), &["done"]).await;
        assert_eq!(bench.runs(key).await, 1);
    }
}

#[tokio::test]
async fn a_store_outage_while_a_job_runs_neither_loses_nor_doubles_it() {
    let bench = start("job-outage").await;
    let accepted = order(&bench, 1, "outage", 1_000).await.unwrap();
    let location = accepted.header("location").to_owned();
    until_state(&bench, 1, &location, &["running"]).await;
    bench.set_faults(&Faults { unavailable: true, ..Faults::default() }).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    bench.set_faults(&Faults { lose_next_answers: 1, ..Faults::default() }).await;
    let status = until_state(&bench, 8, &location, &["done"]).await;
    assert_eq!(status.answer.unwrap().status, 200);
    assert_eq!(bench.runs("outage").await, 1);
}

#[tokio::test]
async fn a_job_that_several_hosts_find_runs_once() {
    let bench = start("job-found").await;
    // Claims take so long to land that other hosts find the jobs queued meanwhile.
    bench.set_faults(&Faults { delay_ms: 700, ..Faults::default() }).await;
    let orders = (1..=8).map(|host| {
        let bench = &bench;
        async move { order(bench, host, &format!("found-{host}"), 10).await.unwrap() }
    });
    let answers = join_all(orders).await;
    for (host, answer) in (1..).zip(answers) {
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{answer:?}");
        until_state(&bench, host, answer.header("location"), &["done"]).await;
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for host in 1..=8 {
        assert_eq!(bench.runs(&format!("found-{host}")).await, 1);
    }
}
