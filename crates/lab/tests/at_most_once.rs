//! A request that must not be repeated runs at most once, over separate processes and under
//! failure; and what was said not to have run did not run.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{Answer, Bench, Daemon};
use futures_util::future::join_all;
use http::{Request, StatusCode};
use oleanderspan_lab::{deployment::CUPRUL, platform::Faults};
use oleanderspan_node::store;
use tokio::{io::AsyncReadExt, net::TcpListener};

const SERVICE: &str = "allocare";

async fn start(name: &str) -> Bench {
    let bench = Bench::start(name, &CUPRUL);
    bench.install().await;
    bench
}

fn booking(bench: &Bench, key: &str, run_ms: u32) -> http::request::Builder {
    Request::post("/allocations")
        .header("host", bench.authority(SERVICE))
        .header("idempotency-key", key)
        .header("content-type", "application/json")
        .header("lab-run-ms", run_ms.to_string())
}

async fn book(bench: &Bench, host: u16, key: &str, run_ms: u32) -> Option<Answer> {
    let body = Bytes::from_static(b"{\"lot\":7}");
    bench.send(bench.ports.caller(host), booking(bench, key, run_ms), body).await.ok()
}

fn outcome(answer: Option<&Answer>) -> &str {
    answer.map_or("", |answer| answer.header("oleanderspan-outcome"))
}

#[tokio::test]
async fn the_same_key_through_all_hosts_at_once_runs_once() {
    let bench = start("all-hosts").await;
    for round in 0..5 {
        let key = format!("all-{round}");
        let answers = join_all((1..=8).map(|host| book(&bench, host, &key, 50))).await;
        assert_eq!(bench.runs(&key).await, 1, "{key}");
        let done = answers.iter().filter(|answer| outcome(answer.as_ref()) == "done").count();
        assert!(done >= 1, "nobody was told that {key} ran: {answers:?}");
        for answer in answers.iter().flatten().filter(|answer| answer.status != StatusCode::OK) {
            assert_eq!(answer.header("oleanderspan-refusal"), "claimed");
            assert_eq!(answer.header("oleanderspan-outcome"), "unknown");
        }
        // The kept answer is the same one everywhere.
        bench.until(async || outcome(book(&bench, 8, &key, 50).await.as_ref()) == "done").await;
        let kept = book(&bench, 5, &key, 50).await.unwrap();
        assert_eq!((kept.status, &kept.body[..]), (StatusCode::OK, &b"{\"lot\":7}"[..]));
        assert_eq!(bench.runs(&key).await, 1);
    }
    let other = Bytes::from_static(b"{\"lot\":8}");
    let reused = bench.send(bench.ports.caller(2), booking(&bench, "all-0", 0), other).await;
    let reused = reused.unwrap();
    assert_eq!(reused.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(reused.header("oleanderspan-refusal"), "key-reused");
    assert_eq!(reused.header("oleanderspan-outcome"), "not-run");
    let large = Bytes::from(vec![0; (1 << 20) + 1]);
    let large = bench.send(bench.ports.caller(2), booking(&bench, "large", 0), large).await;
    let large = large.unwrap();
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(large.header("oleanderspan-refusal"), "too-large");
    assert_eq!(bench.runs("large").await, 0);
}

#[tokio::test]
async fn a_kill_between_any_two_steps_leaves_at_most_one_run() {
    let mut bench = start("kill").await;
    // The pauses fall before, in and after the claim, the run of 60 ms and the record.
    for (round, pause_ms) in [0, 5, 15, 30, 45, 60, 75, 90, 110, 140].into_iter().enumerate() {
        let key = format!("kill-{round}");
        let address = bench.ports.caller(1);
        let request = booking(&bench, &key, 60);
        let (killed, first) = {
            let send = bench.client_send(address, request, Bytes::from_static(b"{\"lot\":7}"));
            let send = tokio::spawn(send);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            bench.kill(1, Daemon::Entry);
            (pause_ms, send.await.unwrap().ok())
        };
        bench.launch(1, Daemon::Entry);
        let others = join_all((2..=8).map(|host| book(&bench, host, &key, 60))).await;
        let runs = bench.runs(&key).await;
        assert!(runs <= 1, "{key} ran {runs} times, killed after {killed} ms");
        let told = |wanted| {
            outcome(first.as_ref()) == wanted
                || others.iter().any(|answer| outcome(answer.as_ref()) == wanted)
        };
        assert!(!told("done") || runs == 1, "{key} was said to have run");
        bench.until_ready(1).await;
    }
}

#[tokio::test]
async fn a_host_that_wakes_past_every_limit_does_not_double_what_others_did() {
    let mut bench = start("pause").await;
    for (round, pause_ms) in [2, 8, 20, 40].into_iter().enumerate() {
        let key = format!("pause-{round}");
        let address = bench.ports.caller(1);
        let request = booking(&bench, &key, 50);
        let send = bench.client_send(address, request, Bytes::from_static(b"{\"lot\":7}"));
        let send = tokio::spawn(send);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        bench.signal(1, Daemon::Entry, "STOP");
        // Longer than the limits of the store, of the exchange and of the queue.
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        let others = join_all((2..=8).map(|host| book(&bench, host, &key, 50))).await;
        bench.signal(1, Daemon::Entry, "CONT");
        let first = send.await.unwrap().ok();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let runs = bench.runs(&key).await;
        assert!(runs <= 1, "{key} ran {runs} times");
        let done = others.iter().chain([&first]).filter(|a| outcome(a.as_ref()) == "done").count();
        assert!(done == 0 || runs == 1, "{key} was said to have run");
        if outcome(first.as_ref()) == "not-run"
            && others.iter().all(|a| outcome(a.as_ref()) != "done")
        {
            assert_eq!(runs, 0, "{key} was said not to have run");
        }
    }
}

#[tokio::test]
async fn a_keyed_request_is_refused_unrun_while_the_store_fails() {
    let bench = start("store").await;
    let away = Faults { unavailable: true, ..Faults::default() };
    let slow = Faults { delay_ms: 5_000, ..Faults::default() };
    let late = Faults { late_next_writes: 2, late_ms: 1_500, ..Faults::default() };
    for (name, faults) in [("away", away), ("slow", slow), ("late", late)] {
        let key = format!("store-{name}");
        bench.set_faults(&faults).await;
        let refused = book(&bench, 1, &key, 20).await.unwrap();
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{name}: {refused:?}");
        assert_eq!(refused.header("oleanderspan-refusal"), "store-away", "{name}");
        assert_eq!(refused.header("oleanderspan-outcome"), "not-run", "{name}");
        let without_key = Request::post("/allocations").header("host", bench.authority(SERVICE));
        let answer = bench.send(bench.ports.caller(1), without_key, Bytes::new()).await.unwrap();
        assert_eq!(answer.header("oleanderspan-outcome"), "done", "{name}");
        bench.set_faults(&Faults::default()).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(bench.runs(&key).await, 0, "{name}: it was said not to have run");
        // What may have landed is taken back, so that the key can be used at last.
        bench.until(async || outcome(book(&bench, 2, &key, 20).await.as_ref()) == "done").await;
        assert_eq!(bench.runs(&key).await, 1, "{name}");
    }
}

#[tokio::test]
async fn lost_answers_and_a_kill_together_leave_at_most_one_run() {
    let mut bench = start("lost-kill").await;
    for (round, pause_ms) in [10, 400, 1_050, 1_200].into_iter().enumerate() {
        let key = format!("lost-kill-{round}");
        bench.set_faults(&Faults { lose_next_answers: 2, ..Faults::default() }).await;
        let request = booking(&bench, &key, 60);
        let send =
            bench.client_send(bench.ports.caller(1), request, Bytes::from_static(b"{\"lot\":7}"));
        let send = tokio::spawn(send);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        bench.kill(1, Daemon::Entry);
        let others = join_all((2..=8).map(|host| book(&bench, host, &key, 60))).await;
        let first = send.await.unwrap().ok();
        assert!(bench.runs(&key).await <= 1, "{key}");
        let done = others.iter().chain([&first]).any(|a| outcome(a.as_ref()) == "done");
        assert!(!done || bench.runs(&key).await == 1, "{key} was said to have run");
        bench.launch(1, Daemon::Entry);
        bench.until_ready(1).await;
    }
}

#[tokio::test]
async fn a_request_without_a_key_is_sent_once_also_when_its_dispatcher_is_killed() {
    let mut bench = start("no-key").await;
    for round in 0..4u16 {
        let id = format!("no-key-{round}");
        let sends = (1..=8).map(|host| {
            let request = Request::post("/allocations")
                .header("host", bench.authority(SERVICE))
                .header("x-request-id", format!("{id}-{host}"))
                .header("lab-run-ms", "80");
            // An empty body could be sent again, so that only the rule forbids it.
            tokio::spawn(bench.client_send(bench.ports.caller(host), request, Bytes::new()))
        });
        let sends: Vec<_> = sends.collect();
        tokio::time::sleep(Duration::from_millis(40)).await;
        let killed = round * 2 + 1;
        bench.kill(killed, Daemon::Entry);
        let answers = join_all(sends).await;
        for (host, answer) in (1..).zip(answers) {
            let runs = bench.runs(&format!("{id}-{host}")).await;
            let answer = answer.unwrap().ok();
            match outcome(answer.as_ref()) {
                "done" => assert_eq!(runs, 1, "{id}-{host}"),
                "not-run" => assert_eq!(runs, 0, "{id}-{host} was said not to have run"),
                _ => assert!(runs <= 1, "{id}-{host} ran {runs} times"),
            }
        }
        bench.launch(killed, Daemon::Entry);
        bench.until_ready(killed).await;
    }
}

/// Accepts connections, counts the requests to book and breaks the connection without an answer.
async fn breaking_server() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4096];
            // Health questions of dispatching hosts are no requests of callers.
            let read = stream.read(&mut bytes).await.unwrap_or(0);
            if bytes[..read].starts_with(b"POST") {
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, received)
}

#[tokio::test]
async fn a_request_that_breaks_on_a_server_is_not_sent_to_another() {
    let bench = start("break").await;
    let (address, received) = breaking_server().await;
    let servers = bench.deployment.listed_servers(bench.ports);
    for server in servers.into_iter().filter(|server| server.service == SERVICE) {
        let broken = store::Server { incarnation: 2, address, ..server };
        let body = serde_json::to_vec(&broken).unwrap().into();
        bench.send(bench.ports.platform(), Request::post("/lab/servers"), body).await.unwrap();
    }
    let authority = bench.authority(SERVICE);
    let unkeyed = || Request::post("/allocations").header("host", &authority);
    bench
        .until(async || {
            let before = received.load(Ordering::SeqCst);
            let sends =
                (1..=8).map(|host| bench.send(bench.ports.caller(host), unkeyed(), Bytes::new()));
            let answers = join_all(sends).await;
            let broken = |a: &Answer| a.header("oleanderspan-refusal") == "broken";
            let broken = answers.iter().flatten().filter(|a| broken(a)).count();
            let sent = received.load(Ordering::SeqCst) - before;
            assert!(sent as usize <= answers.len(), "{sent} sent for {}", answers.len());
            broken == answers.len()
        })
        .await;
    let before = received.load(Ordering::SeqCst);
    for round in 0..5 {
        let key = format!("break-{round}");
        let first = book(&bench, 1, &key, 0).await.unwrap();
        assert_eq!(first.header("oleanderspan-refusal"), "broken");
        assert_eq!(first.header("oleanderspan-outcome"), "unknown");
        for host in 1..=8 {
            let again = book(&bench, host, &key, 0).await.unwrap();
            assert_eq!(again.header("oleanderspan-refusal"), "claimed");
        }
        assert_eq!(received.load(Ordering::SeqCst) - before, round + 1);
    }
}
