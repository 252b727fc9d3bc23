//! A route whose home is one region, clients in all three, and a new, cold instance there: each host
//! of the other regions allots the whole rate that the instance tolerates to itself.
#[path = "../kit/kit.rs"]
mod kit;

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Instant,
};

use kit::*;

const DEADLINE_MS: u64 = 6_000;
const WORK_MS: u64 = 150;
/// The figures of the site: `cold_start_s`, `cold_per_s`, `cold_overage` and `cold_slack`.
const COLD_MS: u64 = 3_000;
const COLD_PER_S: f64 = 4.5;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// The rate at which the instance crashes while it is cold: well above what it tolerates.
const CRASH_PER_S: usize = 14;
/// 80 requests a second; the four warm instances bear 133.
const INTERVAL_MS: u64 = 125;
const PER_INTERVAL: u64 = 10;
const ADDED_AT_MS: u64 = 10_000;
const TRAFFIC_MS: u64 = 20_000;

fn main() {
    let record = Record::create("review/3/record.txt");
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let stop = Arc::new(AtomicBool::new(false));
    let store = Store::start();
    let route = Route {
        name: "bookings",
        prefix: "/book/",
        kind: "non_idempotent",
        timeout_ms: 2_500,
        objective_ms: 800,
        service: "occlusion-desk",
        sticky: false,
        homes: &["curepipe"],
    };
    store.put("op", "config", &config(1, &["occlusion-desk"], &[route]));
    // One instance is added to four: the site's largest share of a scale-out, a quarter.
    let warm = ["i-cp-1", "i-cp-2", "i-cp-3", "i-cp-4"].map(|id| {
        Instance::start(&record, id, "occlusion-desk", "cp-est", 5, |_| Act::Run(ms(WORK_MS)))
    });
    heartbeats(&store, &warm, &stop);
    let gateways = [("front-cp", "cp-est"), ("front-mb", "mb-ouest"), ("front-pl-1", "pl-nord"), ("front-pl-2", "pl-sud")]
        .map(|(name, zone)| Gateway::start(&record, name, zone, store.address));
    gateways.iter().for_each(Gateway::wait_until_ready);
    thread::sleep(ms(3_000));

    // The arrivals at the cold instance, and the most in one second.
    let arrivals: Arc<Mutex<(VecDeque<Instant>, usize)>> = Arc::default();
    let is_cold = Arc::new(AtomicBool::new(true));
    let has_crashed = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let cold = {
        let (arrivals, is_cold) = (Arc::clone(&arrivals), Arc::clone(&is_cold));
        let (has_crashed, lost) = (Arc::clone(&has_crashed), Arc::clone(&lost));
        Instance::start(&record, "i-cp-5", "occlusion-desk", "cp-ouest", 5, move |_| {
            if !is_cold.load(Ordering::SeqCst) {
                return Act::Run(ms(WORK_MS));
            }
            {
                let mut arrivals = arrivals.lock().unwrap();
                let now = Instant::now();
                arrivals.0.push_back(now);
                while arrivals.0.front().is_some_and(|at| now - *at > ms(1_000)) {
                    arrivals.0.pop_front();
                }
                arrivals.1 = arrivals.1.max(arrivals.0.len());
                if arrivals.0.len() >= CRASH_PER_S {
                    has_crashed.store(true, Ordering::SeqCst);
                }
            }
            let (has_crashed, lost) = (Arc::clone(&has_crashed), Arc::clone(&lost));
            Act::Own(Box::new(move |instance, wire, request| {
                let id = request.header("request-id").unwrap_or("").to_owned();
                instance.note_run(&id);
                // Work takes twice as long while the instance is cold.
                for _ in 0..2 * WORK_MS / 10 {
                    if has_crashed.load(Ordering::SeqCst) {
                        instance.end();
                        instance.record.line(&format!("instance i-cp-5 crashes with {id}"));
                        lost.lock().unwrap().push(id);
                        return false;
                    }
                    if !wire.work(ms(10)) {
                        return false;
                    }
                }
                instance.record.line(&format!("instance i-cp-5 answered {id}"));
                let answer = instance.success(&id, "");
                wire.send(answer.as_bytes())
            }))
        })
    };
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let began = Instant::now();
    let mut clients = Vec::new();
    for n in 0.. {
        let at = n * INTERVAL_MS;
        if at >= TRAFFIC_MS {
            break;
        }
        thread::sleep(ms(at).saturating_sub(began.elapsed()));
        if trouble && at == ADDED_AT_MS {
            record.say("i-cp-5 is added, cold");
            store.put("servers", "i-cp-5", &cold.cold_entry("ready", 1, COLD_MS));
        }
        if trouble && at == ADDED_AT_MS + COLD_MS {
            is_cold.store(false, Ordering::SeqCst);
        }
        for i in 0..PER_INTERVAL {
            let number = n * PER_INTERVAL + i;
            let gateway = gateways[(number % 4) as usize].front;
            let (record, answers, id) = (record.clone(), Arc::clone(&answers), format!("book-{number}"));
            clients.push(thread::spawn(move || {
                record.line(&format!("client sends {id}"));
                let answer = send(gateway, "POST", "/book/1", &id, DEADLINE_MS, b"a booking");
                let took = answer.took.as_millis();
                record.line(&format!("client: {id} answered {} after {took} ms {}", answer.status, answer.fault));
                answers.lock().unwrap().push(answer);
            }));
        }
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    stop.store(true, Ordering::SeqCst);

    let answers = answers.lock().unwrap();
    let count = |status: u16| answers.iter().filter(|answer| answer.status == status).count();
    let most = arrivals.lock().unwrap().1;
    let allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    record.say(&format!(
        "{} bookings: {} served, {} refused with 503, {} answered 502",
        answers.len(), count(200), count(503), count(502)
    ));
    record.say(&format!("the cold instance got {most} requests in one second at most; allowed {allowed}"));
    record.say(&format!("bookings at work as it crashed: {}", lost.lock().unwrap().len()));
    let is_broken = most as f64 > allowed;
    let can_run = is_broken || count(200) * 10 > answers.len() * 9;
    record.say(match (is_broken, can_run) {
        (true, _) => "FAILBACK is broken",
        (false, true) => "FAILBACK held",
        (false, false) => "the case could not run",
    });
    let gateways: Vec<&Gateway> = gateways.iter().collect();
    exit(if is_broken { 1 } else if can_run { 0 } else { 2 }, &gateways);
}
