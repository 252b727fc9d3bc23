//! Claims of several hosts against a table that is away, slow, loses answers or lands writes
//! late. The hosts are in one process; what they share is the table alone.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use oleanderspan::request::{
    Refusal,
    claim::{Answer, Attempt, Decision, Settlement, State, table},
};
use oleanderspan_lab::platform::{Faults, Platform};
use oleanderspan_node::{
    entry::claims::{Claims, WRITES, batch::Limits, row, stored_claim::StoredClaim},
    http::server::serve,
    settings,
    store::Store,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);

/// The time limit of the store's client.
const TIMEOUT_MS: u32 = 300;

/// Hosts that share one table.
struct Hosts {
    platform: Platform,
    claims: Vec<Claims>,
}

impl Hosts {
    async fn start(count: usize, limits: Limits) -> Hosts {
        let platform = Platform::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, platform.clone(), CancellationToken::new()));
        let settings = settings::platform::Platform { address, timeout_ms: TIMEOUT_MS };
        let claims = (0..count).map(|i| {
            Claims::with_limits(&Store::new(&settings), "production", &format!("h{i}"), limits)
        });
        Hosts { platform, claims: claims.collect() }
    }

    fn place(&self, host: usize, key: &str) -> StoredClaim {
        StoredClaim::new(self.claims[host].clone(), format!("claim/production/slotdesk/{key}"))
    }

    /// One arrival, as the request path handles it; a claimed request is run and recorded.
    async fn arrive(&self, host: usize, key: &str, digest: &str) -> Decision {
        let (place, operation) = (self.place(host, key), self.claims[host].new_operation());
        let verdict = table::claim(&place, &mut Attempt::new(&operation, digest)).await;
        match &verdict {
            Decision::Run { version } => {
                let done = State::Done(answer());
                let record = Settlement::record(&operation, digest, *version, done);
                self.claims[host].settle(place, record);
            }
            Decision::Abandon(settlement) => self.claims[host].settle(place, settlement.clone()),
            _ => {}
        }
        verdict
    }

    fn state(&self, key: &str) -> Option<State> {
        let key = format!("claim/production/slotdesk/{key}");
        let row = self.platform.rows().into_iter().find(|row| row.key == key)?;
        Some(row::decode(&row.value).unwrap().state)
    }

    async fn until(&self, key: &str, wanted: &State) {
        let started = Instant::now();
        while self.state(key).as_ref() != Some(wanted) {
            assert!(started.elapsed() < PATIENCE, "{key} stays {:?}", self.state(key));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn answer() -> Answer {
    Answer { status: 201, content_type: Some("text/plain".into()), body: Some(vec![0, 255, 7]) }
}

fn is_run(verdict: &Decision) -> bool {
    matches!(verdict, Decision::Run { .. })
}

#[tokio::test]
async fn one_of_many_hosts_runs_a_key() {
    let hosts = Hosts::start(8, WRITES).await;
    for round in 0..10 {
        let key = format!("k{round}");
        let arrivals = (0..32).map(|i| {
            let key = &key;
            let hosts = &hosts;
            async move { hosts.arrive(i % 8, key, "d").await }
        });
        let verdicts = futures_util::future::join_all(arrivals).await;
        assert_eq!(verdicts.iter().filter(|verdict| is_run(verdict)).count(), 1, "{verdicts:?}");
        let others = verdicts.iter().filter(|verdict| !is_run(verdict));
        for verdict in others {
            let wanted = [Decision::Refuse(Refusal::Claimed), Decision::Answer(answer())];
            assert!(wanted.contains(verdict), "{verdict:?}");
        }
        hosts.until(&key, &State::Done(answer())).await;
        assert_eq!(hosts.arrive(3, &key, "d").await, Decision::Answer(answer()));
        let reused = hosts.arrive(4, &key, "other").await;
        assert_eq!(reused, Decision::Refuse(Refusal::KeyReused));
    }
}

#[tokio::test]
async fn a_claim_whose_answer_was_lost_is_found_by_reading() {
    let hosts = Hosts::start(1, WRITES).await;
    hosts.platform.set_faults(Faults { lose_next_answers: 1, ..Faults::default() });
    assert!(is_run(&hosts.arrive(0, "k", "d").await));
    hosts.until("k", &State::Done(answer())).await;
}

#[tokio::test]
async fn a_claim_that_lands_late_is_voided() {
    let hosts = Hosts::start(2, WRITES).await;
    let late_ms = 3 * u64::from(TIMEOUT_MS);
    let faults = Faults { late_next_writes: 1, late_ms, ..Faults::default() };
    hosts.platform.set_faults(faults);
    assert_eq!(hosts.arrive(0, "k", "d").await, Decision::Refuse(Refusal::StoreUnavailable));
    assert_eq!(hosts.state("k"), Some(State::Released));
    tokio::time::sleep(Duration::from_millis(2 * late_ms)).await;
    assert_eq!(hosts.state("k"), Some(State::Released));
    assert!(is_run(&hosts.arrive(1, "k", "d").await));
}

#[tokio::test]
async fn a_claim_that_lands_when_the_store_is_away_is_released_later() {
    let hosts = Hosts::start(2, WRITES).await;
    // Neither the claim nor what would void it is answered; both land late.
    let late_ms = 2 * u64::from(TIMEOUT_MS);
    let faults = Faults { late_next_writes: 2, late_ms, ..Faults::default() };
    hosts.platform.set_faults(faults);
    assert!(matches!(hosts.arrive(0, "k", "d").await, Decision::Abandon(_)));
    hosts.until("k", &State::Released).await;
    tokio::time::sleep(Duration::from_millis(3 * late_ms)).await;
    assert_eq!(hosts.state("k"), Some(State::Released));
    assert!(is_run(&hosts.arrive(1, "k", "d").await));
}

#[tokio::test]
async fn nothing_is_claimed_while_the_store_is_away() {
    let hosts = Hosts::start(2, WRITES).await;
    hosts.platform.set_faults(Faults { unavailable: true, ..Faults::default() });
    assert_eq!(hosts.arrive(0, "k", "d").await, Decision::Refuse(Refusal::StoreUnavailable));
    assert_eq!(hosts.state("k"), None);
    hosts.platform.set_faults(Faults::default());
    assert!(is_run(&hosts.arrive(1, "k", "d").await));
}

#[tokio::test]
async fn a_slow_store_refuses_in_bounded_time_and_truly() {
    let hosts = Hosts::start(2, WRITES).await;
    let delay_ms = 4 * u64::from(TIMEOUT_MS);
    hosts.platform.set_faults(Faults { delay_ms, ..Faults::default() });
    let started = Instant::now();
    assert!(matches!(hosts.arrive(0, "k", "d").await, Decision::Abandon(_)));
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    hosts.platform.set_faults(Faults::default());
    hosts.until("k", &State::Released).await;
    assert!(is_run(&hosts.arrive(1, "k", "d").await));
}

#[tokio::test]
async fn many_hosts_and_lost_answers_together_run_each_key_at_most_once() {
    let hosts = Hosts::start(4, WRITES).await;
    let faults = Faults {
        lost_answers_percent: 30,
        late_next_writes: 20,
        late_ms: 500,
        ..Faults::default()
    };
    hosts.platform.set_faults(faults);
    let arrivals = (0..240).map(|i| {
        let hosts = &hosts;
        async move {
            tokio::time::sleep(Duration::from_millis(10 * (i / 8))).await;
            let key = format!("k{}", i / 4);
            let verdict = hosts.arrive((i % 4) as usize, &key, "d").await;
            (key, is_run(&verdict))
        }
    });
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for (key, ran) in futures_util::future::join_all(arrivals).await {
        *runs.entry(key).or_default() += u32::from(ran);
    }
    assert_eq!(runs.len(), 60);
    assert!(runs.values().all(|count| *count <= 1), "{runs:?}");
    assert!(runs.values().any(|count| *count == 1));
    // Once the store is well again, no key stays held: each is done or may be claimed again.
    hosts.platform.set_faults(Faults::default());
    for (key, ran) in runs {
        let wanted = if ran == 1 { State::Done(answer()) } else { State::Released };
        hosts.until(&key, &wanted).await;
    }
}

/// Claims a second and transactions a second with and without batches, printed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn batches_carry_many_claims_in_few_transactions() {
    // What eight hosts may ask of the store in a second, without batches.
    let alone = Limits { spacing: WRITES.spacing / 8, rows: 1 };
    for (name, limits, at_once) in [("batched", WRITES, 2_000), ("alone", alone, 200)] {
        let hosts = Hosts::start(1, limits).await;
        let delay_ms = 5;
        hosts.platform.set_faults(Faults { delay_ms, ..Faults::default() });
        let started = Instant::now();
        let mut claimed = 0;
        while started.elapsed() < Duration::from_secs(2) {
            let arrivals = (0..at_once).map(|i| {
                let (hosts, key) = (&hosts, format!("{claimed}-{i}"));
                async move { hosts.arrive(0, &key, "d").await }
            });
            let verdicts = futures_util::future::join_all(arrivals).await;
            claimed += verdicts.iter().filter(|verdict| is_run(verdict)).count();
        }
        let seconds = started.elapsed().as_secs_f64();
        let counts = hosts.platform.counts();
        println!(
            "{name}: {:.0} claims/s in {:.0} transactions/s, {:.1} rows a transaction",
            claimed as f64 / seconds,
            counts.transactions as f64 / seconds,
            counts.rows as f64 / counts.transactions as f64,
        );
        if limits.rows > 1 {
            assert!(counts.rows > 20 * counts.transactions, "{counts:?}");
        }
    }
}
