//! A backend server that is leaving gets nothing new 3 s after its first sign, everywhere.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Bench, Daemon, callers::Callers};
use http::{Request, StatusCode};
use oleanderspan_lab::deployment::CUPRUL;
use oleanderspan_node::{codec, wire};
use tokio::sync::Mutex;

/// The time from the first sign to the last new request.
const BOUND: Duration = Duration::from_secs(3);

/// How long no request must come after the bound.
const WATCH: Duration = Duration::from_secs(3);

/// One deployment at a time, as each runs 18 processes.
static TURN: Mutex<()> = Mutex::const_new(());

const SERVER: &str = "stockview-ro-sud-1";

/// Who gives the first sign, under which faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    HealthWhileListLags,
    HeaderWhileListLagsAndHealthLies,
    HealthWhileListLagsAndExchangeIsCut,
    HeaderWhileHealthLiesAndExchangeIsCut,
    ListWhileHealthLies,
    OneHostWhileListLagsAndHealthLies,
    DocumentWhileListLagsAndHealthLies,
}

async fn gets_nothing_new(name: &str, case: Case) {
    let _turn = TURN.lock().await;
    let mut bench = Bench::start(name, &CUPRUL);
    bench.install().await;
    let server = bench.server(SERVER);
    let near = [1, 2, 3, 4].map(|host| bench.ports.caller(host));
    let callers = Callers::start(&near, &bench.authority("stockview"), 4);
    bench.until(async || bench.ledger(server).await.begun > 20).await;

    give_sign(&mut bench, server, case).await;
    tokio::time::sleep(BOUND).await;
    let begun = bench.ledger(server).await.begun;
    let others = bench.ledger(server + 1).await.begun;
    tokio::time::sleep(WATCH).await;
    let later = bench.ledger(server).await.begun;
    let tally = callers.finish().await;
    bench.signal_all(Daemon::Control, "CONT");

    assert_eq!(later, begun, "{case:?}: new requests after {BOUND:?}");
    assert!(bench.ledger(server + 1).await.begun > others + 20, "{case:?}: no load");
    assert!(tally.failures.is_empty(), "{case:?}: {:?}", tally.failures);
}

async fn give_sign(bench: &mut Bench, server: u16, case: Case) {
    let mut listed = bench.deployment.listed_servers(bench.ports)[usize::from(server)].clone();
    match case {
        Case::HealthWhileListLags => bench.leave_quietly(server).await,
        Case::HeaderWhileListLagsAndHealthLies => {
            bench.lie(server).await;
            bench.leave(server).await;
        }
        Case::HealthWhileListLagsAndExchangeIsCut => {
            bench.signal_all(Daemon::Control, "STOP");
            bench.leave_quietly(server).await;
            tokio::time::sleep(BOUND).await;
            // From now on the endpoint says that all is well; the sign must hold.
            bench.lie(server).await;
        }
        Case::HeaderWhileHealthLiesAndExchangeIsCut => {
            bench.signal_all(Daemon::Control, "STOP");
            bench.lie(server).await;
            bench.leave(server).await;
        }
        Case::ListWhileHealthLies => {
            bench.lie(server).await;
            listed.leaving = true;
            bench.register(&listed).await;
        }
        Case::OneHostWhileListLagsAndHealthLies => {
            bench.lie(server).await;
            let sign = wire::Sign { server: listed.name, incarnation: listed.incarnation };
            let seen = wire::Observation { leaving: vec![sign], ..Default::default() };
            tell(bench, 8, &seen).await;
        }
        Case::DocumentWhileListLagsAndHealthLies => {
            bench.lie(server).await;
            let mut document = bench.deployment.document("production");
            document.drains.servers.push(listed.name);
            let file = bench.folder.join("drain.json");
            std::fs::write(&file, serde_json::to_vec(&document).unwrap()).unwrap();
            let control = bench.ports.operator(1).to_string();
            let output =
                bench.operate(&["propose", "--control", &control, "--base", "1", "drain.json"]);
            assert!(output.status.success(), "{output:?}");
        }
    }
}

/// Tells the control daemon of one host what its entry daemon would.
async fn tell(bench: &Bench, host: u16, seen: &wire::Observation) {
    let body = codec::to_wire(seen).unwrap();
    let address = bench.ports.peer(host);
    let answer = bench.send(address, Request::post("/observe"), body.into()).await.unwrap();
    assert_eq!(answer.status, StatusCode::NO_CONTENT);
}

#[tokio::test]
async fn its_health_answer_counts_while_the_list_says_live() {
    gets_nothing_new("leave-health", Case::HealthWhileListLags).await;
}

#[tokio::test]
async fn its_header_counts_while_list_and_health_say_live() {
    gets_nothing_new("leave-header", Case::HeaderWhileListLagsAndHealthLies).await;
}

#[tokio::test]
async fn its_health_answer_counts_and_holds_while_the_exchange_is_cut() {
    gets_nothing_new("leave-cut", Case::HealthWhileListLagsAndExchangeIsCut).await;
}

#[tokio::test]
async fn its_header_counts_while_health_lies_and_the_exchange_is_cut() {
    gets_nothing_new("leave-cut-header", Case::HeaderWhileHealthLiesAndExchangeIsCut).await;
}

#[tokio::test]
async fn the_list_counts_while_health_lies() {
    gets_nothing_new("leave-list", Case::ListWhileHealthLies).await;
}

#[tokio::test]
async fn a_sign_that_reaches_one_far_host_counts_everywhere() {
    gets_nothing_new("leave-one", Case::OneHostWhileListLagsAndHealthLies).await;
}

#[tokio::test]
async fn a_drain_of_the_document_counts_while_list_and_health_say_live() {
    gets_nothing_new("leave-document", Case::DocumentWhileListLagsAndHealthLies).await;
}
