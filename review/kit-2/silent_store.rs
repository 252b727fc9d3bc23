//! An instance leaves just after another one has joined, and the store falls silent for a moment. Later
//! than `drain_ms` after the store has acknowledged the leaving, hosts in touch may not use it.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::kit::{
    Gateway, HOST, Instance, Message, Record, Store, exchange, give_up, has_trouble, success,
};

const CONFIG: &str = r#"{"version":"00000001",
"limits":{"max_header_bytes":16384,"max_body_bytes":8388608,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"services":[{"name":"desk","health_path":"/health","max_conns":330,"cold_start_s":3.0,"cold_per_s":4.5}],
"virtual_hosts":[{"host":"review.example","paths":[{"name":"bookings","prefix":"/bookings/",
"kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":400,"priority":0,"max_attempts":2,
"service":"desk"}]}]}"#;

/// The bounds of bnrb-oleander.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);

/// How long the store is silent; the site has up to 4.5 s.
const SILENCE: Duration = Duration::from_millis(400);

/// From the joining of an instance to the leaving of another one, and from that to the silence.
const LEAVES_AFTER: Duration = Duration::from_millis(120);
const SILENT_AFTER: Duration = Duration::from_millis(80);

/// How long requests are sent after that. The instance that has left serves on all the while.
const WATCHED: Duration = Duration::from_millis(8_000);

/// Clients, half of them at each host, and their pause between two bookings.
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(60);

/// Runs a booking in 20 ms.
fn work(request: &Message) -> Vec<u8> {
    thread::sleep(Duration::from_millis(20));
    success(request)
}

pub fn run(folder: &str) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let start = |id: &str| Instance::start(&store, &record, id, "desk", work);
    let staying = ["i-00000001", "i-00000002", "i-00000003"].map(start);
    let leaving = start("i-0000000f");
    let gateways =
        ["front-a-1", "front-a-2"].map(|name| Gateway::start_as(name, "a-1", &store, &record));
    // The hosts find each other, and their polls open.
    thread::sleep(Duration::from_secs(4));
    let sent: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = gateways[client % gateways.len()].callers;
            let (sent, is_over, record) = (sent.clone(), is_over.clone(), record.clone());
            thread::spawn(move || {
                for n in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("{client}-{n}");
                    sent.lock().unwrap().insert(id.clone(), Instant::now());
                    let request = format!(
                        "POST /bookings/slot HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                         Request-Deadline: 3000\r\nContent-Length: 4\r\n\r\nslot"
                    );
                    let answer = exchange(address, request.as_bytes(), Duration::from_secs(4));
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.note(format!("client gets {status} for {id}"));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let joined = start("i-00000004");
    record.note("i-00000004 has joined");
    thread::sleep(LEAVES_AFTER);
    store.delete("servers", &leaving.id);
    let left_at = Instant::now();
    record.note("the store acknowledges that i-0000000f is gone");
    thread::sleep(SILENT_AFTER);
    if has_trouble() {
        store.set_silent(true);
        record.note("the store is silent");
    }
    thread::sleep(SILENCE);
    store.set_silent(false);
    let returned_at = Instant::now();
    record.note("the store is sound");
    thread::sleep(WATCHED);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let in_touch_at = if has_trouble() { returned_at + STABLE } else { left_at };
    let bound = in_touch_at.max(left_at + DRAIN);
    let sent = sent.lock().unwrap();
    let late: Vec<String> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at > bound && sent.get(&run.id).is_some_and(|at| *at > bound))
        .map(|run| format!("{} after {} ms", run.id, (run.at - left_at).as_millis()))
        .collect();
    let others: usize = staying.iter().chain([&joined]).map(|instance| instance.runs().len()).sum();
    record.note(format!(
        "{} bookings run by the others; {} run by i-0000000f that were sent later than drain_ms after its \
         leaving, by hosts in touch: {late:?}",
        others,
        late.len()
    ));
    println!("{} late", late.len());
    if others == 0 || leaving.runs().is_empty() {
        give_up("the instances got no bookings");
    }
    !late.is_empty()
}
