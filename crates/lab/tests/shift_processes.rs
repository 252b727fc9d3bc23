//! Shifts and failovers of real processes keep to their caps, in what hosts have in force and in
//! what backend servers ran.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{Bench, Daemon};
use http::Request;
use oleanderspan::document::raw;
use oleanderspan_lab::deployment::CUPRUL;
use oleanderspan_node::http::client::{Client, Protocol};

const SERVICE: &str = "stockview";
/// Regions in the order of documents, which is that of their names.
const REGIONS: [&str; 3] = ["ro-est", "ro-sud", "ro-vest"];
const EST: usize = 0;
const SUD: usize = 1;
const VEST: usize = 2;
/// The window of all caps of these tests.
const WINDOW: Duration = Duration::from_secs(10);
const WHOLE_PPM: f64 = 1_000_000.0;
/// Answers of a bucket may have begun before it, and each host keeps to its shares within two
/// requests; both are counted as a part of the smallest bucket.
const WHOLE_REQUESTS_PPM: f64 = 60_000.0;

/// Hosts that callers of the failed region use.
const CALLERS: [u16; 3] = [1, 2, 5];

/// What was measured at one point.
struct Sample {
    at: Instant,
    /// Shares in force by host, in parts per million of the callers of one region.
    in_force: Vec<Option<[f64; 3]>>,
    /// Requests begun since the start, by region.
    begun: [u64; 3],
}

/// What callers were told.
#[derive(Default)]
struct Told {
    done: AtomicU64,
    capped: AtomicU64,
    other_not_run: AtomicU64,
    unknown: AtomicU64,
}

fn document(bench: &Bench, change: impl FnOnce(&mut raw::Service)) -> raw::Document {
    let bytes = fs::read(bench.folder.join("production.json")).unwrap();
    let mut document: raw::Document = serde_json::from_slice(&bytes).unwrap();
    let service = document.services.get_mut(SERVICE).unwrap();
    service.shift = raw::Cap { cap_percent: 60, window_s: 10 };
    service.failover = raw::Cap { cap_percent: 80, window_s: 10 };
    change(service);
    document
}

fn propose(bench: &Bench, base: u32, document: &raw::Document) {
    let file = bench.folder.join("next.json");
    fs::write(file, serde_json::to_vec(document).unwrap()).unwrap();
    let control = bench.ports.operator(3).to_string();
    let base = base.to_string();
    let output = bench.operate(&["propose", "--control", &control, "--base", &base, "next.json"]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// The shares that a host has in force for callers of `origin`.
async fn in_force(bench: &Bench, host: u16, origin: usize) -> Option<[f64; 3]> {
    let status = bench.status(host).await?;
    let service = 3; // allocare, assayhub, slotdesk, stockview
    let shares = status.shares.get(service)?.get(origin)?;
    Some([f64::from(shares[0]), f64::from(shares[1]), f64::from(shares[2])])
}

async fn sample(bench: &Bench, hosts: &[u16], origin: usize) -> Sample {
    let mut begun = [0; 3];
    for (number, listed) in (0u16..).zip(bench.deployment.listed_servers(bench.ports)) {
        if listed.service == SERVICE {
            let region = REGIONS.iter().position(|name| listed.zone.starts_with(name)).unwrap();
            begun[region] += bench.ledger(number).await.begun;
        }
    }
    let mut shares = Vec::new();
    for host in hosts {
        shares.push(in_force(bench, *host, origin).await);
    }
    Sample { at: Instant::now(), in_force: shares, begun }
}

/// Sends requests to a host without end, one after the other.
fn call(bench: &Bench, host: u16, told: Arc<Told>, stop: Arc<AtomicBool>) {
    let address = bench.ports.caller(host);
    let authority = bench.authority(SERVICE);
    let send = {
        let client = bench.client.clone();
        let authority = authority.clone();
        move || {
            let request = Request::get(format!("http://{address}/lots/7"))
                .header("host", authority.clone())
                .body(oleanderspan_node::http::Body::from(Bytes::new()));
            let client = client.clone();
            async move { client.send(request.unwrap()).await }
        }
    };
    tokio::spawn(async move {
        while !stop.load(Ordering::SeqCst) {
            if let Ok(answer) = send().await {
                let header = |name: &str| {
                    let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
                    value.unwrap_or("").to_owned()
                };
                let count =
                    match (&*header("oleanderspan-outcome"), &*header("oleanderspan-refusal")) {
                        ("done", _) => &told.done,
                        ("not-run", "capped") => &told.capped,
                        ("not-run", _) => &told.other_not_run,
                        _ => &told.unknown,
                    };
                count.fetch_add(1, Ordering::SeqCst);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// The greatest rise of the mean share over all hosts that answer, within the window.
fn greatest_rise(samples: &[Sample]) -> f64 {
    let mean = |sample: &Sample, region: usize| {
        let shares: Vec<f64> = sample.in_force.iter().flatten().map(|host| host[region]).collect();
        shares.iter().sum::<f64>() / shares.len().max(1) as f64
    };
    rise(samples, |sample, region| Some(mean(sample, region)))
}

/// The greatest rise of the share that servers ran between buckets of at least a second.
fn greatest_rise_run(samples: &[Sample]) -> f64 {
    let mut buckets = Vec::new();
    let mut first = &samples[0];
    for sample in samples {
        let run: Vec<u64> = sample.begun.iter().zip(first.begun).map(|(b, a)| b - a).collect();
        let all: u64 = run.iter().sum();
        if sample.at - first.at >= Duration::from_secs(1) && all >= 100 {
            buckets
                .push((first.at, run.iter().map(|n| *n as f64 / all as f64).collect::<Vec<_>>()));
            first = sample;
        }
    }
    let mut greatest: f64 = 0.0;
    for (i, (start, before)) in buckets.iter().enumerate() {
        let within = buckets[i..].iter().take_while(|(at, _)| *at - *start <= WINDOW);
        for (_, after) in within {
            let rises = before.iter().zip(after).map(|(a, b)| (b - a) * WHOLE_PPM);
            greatest = rises.fold(greatest, f64::max);
        }
    }
    greatest
}

fn rise(samples: &[Sample], share: impl Fn(&Sample, usize) -> Option<f64>) -> f64 {
    let mut greatest: f64 = 0.0;
    for (i, before) in samples.iter().enumerate() {
        let within = samples[i..].iter().take_while(|after| after.at - before.at <= WINDOW);
        for after in within {
            for region in 0..REGIONS.len() {
                if let (Some(a), Some(b)) = (share(before, region), share(after, region)) {
                    greatest = greatest.max(b - a);
                }
            }
        }
    }
    greatest
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_shift_keeps_to_its_cap_through_a_kill_and_a_freeze() {
    let mut bench = Bench::start("shift-planned", &CUPRUL);
    bench.install().await;
    propose(&bench, 1, &document(&bench, |_| {}));
    let (told, stop) = (Arc::new(Told::default()), Arc::new(AtomicBool::new(false)));
    for host in [2, 3, 4] {
        call(&bench, host, Arc::clone(&told), Arc::clone(&stop));
        call(&bench, host, Arc::clone(&told), Arc::clone(&stop));
    }
    bench.until(async || bench.status(4).await.is_some_and(|status| status.version == 2)).await;
    let moved = document(&bench, |service| {
        service.routes.insert("ro-sud".to_owned(), [("ro-vest".to_owned(), 100)].into());
    });
    let hosts = [1, 2, 3, 4];
    let mut samples = vec![sample(&bench, &hosts, SUD).await];
    propose(&bench, 2, &moved);
    let started = Instant::now();
    let is_done = |sample: &Sample| {
        sample.in_force.iter().all(|shares| shares.is_some_and(|shares| shares[VEST] == WHOLE_PPM))
    };
    let mut step = 0;
    while !is_done(samples.last().unwrap()) {
        assert!(started.elapsed() < 3 * common::PATIENCE, "the shift never ended");
        match (step, started.elapsed().as_secs()) {
            (0, 6..) => bench.kill(1, Daemon::Control),
            (1, 7..) => bench.kill(1, Daemon::Entry),
            (2, 9..) => bench.signal(2, Daemon::Control, "STOP"),
            (3, 12..) => bench.launch(1, Daemon::Control),
            (4, 12..) => bench.launch(1, Daemon::Entry),
            (5, 22..) => bench.signal(2, Daemon::Control, "CONT"),
            _ => step -= 1,
        }
        step += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
        if (3..=5).contains(&step) {
            // The frozen daemon does not answer; its share counts as that of the others.
            samples.push(sample(&bench, &[1, 3, 4], SUD).await);
        } else {
            samples.push(sample(&bench, &hosts, SUD).await);
        }
        if step < 6 {
            continue;
        }
    }
    stop.store(true, Ordering::SeqCst);
    let (in_force, run) = (greatest_rise(&samples), greatest_rise_run(&samples));
    println!("{:?}: in force {in_force}, run {run}", started.elapsed());
    assert!(in_force <= 600_000.0, "{in_force} ppm in force over the cap of 60 percent");
    assert!(run <= 600_000.0 + WHOLE_REQUESTS_PPM, "{run} ppm ran over the cap of 60 percent");
    assert!(step == 6, "the shift ended before the faults did");
    assert_eq!(told.unknown.load(Ordering::SeqCst), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_region_is_left_under_the_cap_of_failovers_and_given_back_under_that_of_shifts() {
    let mut bench = Bench::start("shift-failover", &CUPRUL);
    bench.install().await;
    propose(&bench, 1, &document(&bench, |_| {}));
    bench.until(async || bench.status(4).await.is_some_and(|status| status.version == 2)).await;
    // A caller of ro-est whose hosts are gone uses those of other regions.
    bench.client = Client::bound_to(Protocol::Http1, "127.5.0.1".parse().unwrap());
    let (told, stop) = (Arc::new(Told::default()), Arc::new(AtomicBool::new(false)));
    for host in CALLERS {
        call(&bench, host, Arc::clone(&told), Arc::clone(&stop));
    }
    let hosts = [1, 2, 3, 4, 5, 6];
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut samples = vec![sample(&bench, &hosts, EST).await];
    for host in [7, 8] {
        bench.kill(host, Daemon::Control);
        bench.kill(host, Daemon::Entry);
    }
    let share = |sample: &Sample, wanted: f64| {
        let shares = &sample.in_force;
        shares.iter().all(|shares| shares.is_some_and(|shares| shares[EST] == wanted))
    };
    let started = Instant::now();
    while !share(samples.last().unwrap(), 0.0) {
        assert!(started.elapsed() < 3 * common::PATIENCE, "the region was never left");
        tokio::time::sleep(Duration::from_millis(200)).await;
        samples.push(sample(&bench, &hosts, EST).await);
    }
    let in_force = greatest_rise(&samples);
    println!("left after {:?}: in force {in_force}", started.elapsed());
    assert!(in_force <= 800_000.0, "{in_force} ppm over the cap of 80 percent");
    assert!(told.capped.load(Ordering::SeqCst) > 0, "nothing was refused as capped");
    // Each caller had at most one request in flight at the host that dispatched when it died.
    let unknown = told.unknown.load(Ordering::SeqCst);
    assert!(unknown <= CALLERS.len() as u64, "{unknown} requests ended without a proof");

    for host in [7, 8] {
        bench.launch(host, Daemon::Control);
        bench.launch(host, Daemon::Entry);
    }
    let started = Instant::now();
    let mut samples = vec![sample(&bench, &hosts, EST).await];
    while !share(samples.last().unwrap(), WHOLE_PPM) {
        assert!(started.elapsed() < 3 * common::PATIENCE, "the region was never given back");
        tokio::time::sleep(Duration::from_millis(200)).await;
        samples.push(sample(&bench, &hosts, EST).await);
    }
    stop.store(true, Ordering::SeqCst);
    let (in_force, run) = (greatest_rise(&samples), greatest_rise_run(&samples));
    println!("given back after {:?}: in force {in_force}, run {run}", started.elapsed());
    assert!(in_force <= 600_000.0, "{in_force} ppm over the cap of 60 percent");
    assert!(run <= 600_000.0 + WHOLE_REQUESTS_PPM, "{run} ppm ran over the cap of 60 percent");
    assert_eq!(told.unknown.load(Ordering::SeqCst), unknown, "giving back cut a request");
}
