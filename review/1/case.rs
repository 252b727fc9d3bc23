//! A busy region, a route bound to it, slots borrowed from another region, and one instance that is
//! full for some seconds and says so with 503 and `Retry-After`: the region's gateways stop answering.
#[path = "../kit/kit.rs"]
mod kit;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Instant,
};

use kit::*;

const TIMEOUT_MS: u64 = 2_500;
const DEADLINE_MS: u64 = 6_000;
const WORK_MS: u64 = 400;
/// One request of the busy region's clients each; its six slots bear 15 requests a second.
const INTERVAL_MS: u64 = 100;
const TROUBLE_AT_MS: u64 = 14_000;
/// As long as the longest `srv_grey` of the site.
const TROUBLE_MS: u64 = 8_500;
const TRAFFIC_MS: u64 = 34_000;

fn main() {
    let record = Record::create("review/1/record.txt");
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let (stop, refuses) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let store = Store::start();
    let route = |name, prefix, homes| Route {
        name,
        prefix,
        kind: "non_idempotent",
        timeout_ms: TIMEOUT_MS,
        objective_ms: 1_200,
        service: "lens-workshop",
        sticky: false,
        homes,
    };
    let routes =
        [route("orders-pl", "/pl/", &["port-louis"]), route("orders-cp", "/cp/", &["curepipe"])];
    store.put("op", "config", &config(1, &["lens-workshop"], &routes));
    let mut instances = Vec::new();
    for (id, zone) in [
        ("i-pl-1", "pl-nord"),
        ("i-pl-2", "pl-nord"),
        ("i-cp-1", "cp-est"),
        ("i-cp-2", "cp-est"),
        ("i-cp-3", "cp-est"),
        ("i-cp-4", "cp-ouest"),
        ("i-cp-5", "cp-ouest"),
    ] {
        let refuses = Arc::clone(&refuses);
        let decide = move |_: &Request| match id == "i-pl-2" && refuses.load(Ordering::SeqCst) {
            true => Act::Shed("Retry-After: 1\r\n".to_owned()),
            false => Act::Run(ms(WORK_MS)),
        };
        instances.push(Instance::start(&record, id, "lens-workshop", zone, 3, decide));
    }
    heartbeats(&store, &instances, &stop);
    let home = Gateway::start(&record, "front-pl", "pl-nord", store.address);
    let other = Gateway::start(&record, "front-cp", "cp-est", store.address);
    let second = Gateway::start(&record, "front-pl-2", "pl-sud", store.address);
    [&home, &second, &other].into_iter().for_each(Gateway::wait_until_ready);
    thread::sleep(ms(3_000));

    // (sent at, answer) of the clients of the busy region.
    let answers: Arc<Mutex<Vec<(u64, Answer)>>> = Arc::default();
    let began = Instant::now();
    let client = |gateway: std::net::SocketAddr, target: &'static str, id: String| {
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        thread::spawn(move || {
            let sent_at = began.elapsed().as_millis() as u64;
            record.line(&format!("client sends {id}"));
            let answer = send(gateway, "POST", target, &id, DEADLINE_MS, b"one pair of lenses");
            let took = answer.took.as_millis();
            match answer.status {
                0 => record.line(&format!("client: {id} got none after {took} ms: {}", answer.fault)),
                status => record.line(&format!("client: {id} answered {status} after {took} ms")),
            }
            if target == "/pl/1" {
                answers.lock().unwrap().push((sent_at, answer));
            }
        })
    };
    let mut clients = Vec::new();
    let mut readiness = Vec::new();
    for n in 0.. {
        let at = n * INTERVAL_MS;
        if at >= TRAFFIC_MS {
            break;
        }
        thread::sleep(ms(at).saturating_sub(began.elapsed()));
        if trouble && at == TROUBLE_AT_MS {
            record.say("i-pl-2 is full from now on: 503, Not-Executed, Retry-After: 1");
            refuses.store(true, Ordering::SeqCst);
        }
        if trouble && at == TROUBLE_AT_MS + TROUBLE_MS {
            record.say("i-pl-2 takes requests again");
            refuses.store(false, Ordering::SeqCst);
        }
        let front = if n % 2 == 0 { home.front } else { second.front };
        clients.push(client(front, "/pl/1", format!("pl-{n}")));
        if n % 10 == 0 {
            clients.push(client(other.front, "/cp/1", format!("cp-{n}")));
        }
        if n % 20 == 10 {
            let (at, record) = (home.ready, record.clone());
            readiness.push(thread::spawn(move || {
                let sent = Instant::now();
                let stream = std::net::TcpStream::connect_timeout(&at, ms(1_000));
                let status = stream.ok().map_or(0, |stream| {
                    let mut wire = Wire::new(stream);
                    let path = "/.well-known/oleanderspan/ready";
                    wire.send(format!("GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n").as_bytes());
                    read_answer(&mut wire, sent, ms(1_000)).status
                });
                record.line(&format!("platform asks front-pl whether it is ready: {status}"));
                status == 200
            }));
        }
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    let ready: Vec<bool> = readiness.into_iter().map(|asked| asked.join().unwrap()).collect();
    stop.store(true, Ordering::SeqCst);
    for gateway in [&home, &second] {
        let (cpu, is_ready) = (gateway.cpu_ms(), gateway.is_ready());
        thread::sleep(ms(1_000));
        let cpu = gateway.cpu_ms() - cpu;
        record.say(&format!("{} at the end: ready {is_ready}, processor time {cpu} ms", gateway.name));
    }

    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|(_, answer)| answer.status == 200).count();
    let late = answers.iter().filter(|(_, answer)| answer.took > ms(TIMEOUT_MS)).count();
    let is_held = |answer: &Answer| answer.status == 0 || answer.took > ms(TIMEOUT_MS + 500);
    let held = answers.iter().filter(|(_, answer)| is_held(answer)).count();
    let held = held.min(late);
    record.say(&format!(
        "{} requests of the busy region: {served} served, {late} unanswered at timeout_ms, {held} of \
         them also half a second later",
        answers.len()
    ));
    record.say(&format!(
        "the platform found front-pl ready {} of {} times",
        ready.iter().filter(|ready| **ready).count(),
        ready.len()
    ));
    let is_broken = held >= 8 && 2 * held > late;
    let can_run = served * 2 > answers.len() || is_broken;
    record.say(match (is_broken, can_run) {
        (true, _) => "CONFIG is broken",
        (false, true) => "CONFIG held",
        (false, false) => "the case could not run",
    });
    exit(if is_broken { 1 } else if can_run { 0 } else { 2 }, &[&home, &second, &other]);
}
