//! Instances run bookings and fail some of them with 503, without `Not-Executed`. The client may not be
//! told by 429 or 503 that such a booking has not run.

use std::time::Duration;

use crate::kit::{
    Gateway, HOST, Instance, Message, Record, Store, exchange, give_up, has_trouble, success,
};

const CONFIG: &str = r#"{"version":"00000001",
"limits":{"max_header_bytes":16384,"max_body_bytes":8388608,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"services":[{"name":"desk","health_path":"/health","max_conns":330,"cold_start_s":3.0,"cold_per_s":4.5}],
"virtual_hosts":[{"host":"review.example","paths":[{"name":"bookings","prefix":"/bookings/",
"kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":600,"priority":0,"max_attempts":2,
"service":"desk"}]}]}"#;

/// How many bookings are sent; each may be sent a second time after a refusal.
const BOOKINGS: u32 = 20;

/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Runs a booking and fails to confirm it, for each fourth one at first.
fn failing(request: &Message) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("");
    let is_failing = id.ends_with("-1") && id.split('-').next().and_then(last_digit) == Some(0);
    if !is_failing {
        return success(request);
    }
    let status =
        if has_trouble() { "503 Service Unavailable" } else { "500 Internal Server Error" };
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Seal: 1.2.3\r\nContent-Length: 14\r\n\r\n\
         ledger is busy"
    )
    .into_bytes()
}

fn last_digit(number: &str) -> Option<u32> {
    number.parse::<u32>().ok().map(|number| number % 4)
}

pub fn run(folder: &str) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let instances = ["i-7f3a91c2", "i-0be417d9"];
    let instances = instances.map(|id| Instance::start(&store, &record, id, "desk", failing));
    let gateway = Gateway::start(&store, &record);
    let mut refused = Vec::new();
    for booking in 0..BOOKINGS {
        for attempt in 1..=2 {
            let id = format!("{booking}-{attempt}");
            let request = format!(
                "POST /bookings/slot HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                 Request-Deadline: 4000\r\nContent-Length: 8\r\n\r\nbundle-7"
            );
            record.note(format!("client sends POST {id}"));
            let answer = exchange(gateway.callers, request.as_bytes(), Duration::from_secs(5));
            let status = answer.as_ref().map_or(0, Message::status);
            record.note(format!("client gets {status} for {id}"));
            if !PROMISES.contains(&status) {
                break;
            }
            refused.push(id);
        }
    }
    let runs: Vec<String> = instances.iter().flat_map(Instance::runs).map(|run| run.id).collect();
    if runs.is_empty() {
        give_up("no booking was run");
    }
    let broken: Vec<&String> = refused.iter().filter(|id| runs.contains(id)).collect();
    record.note(format!("{} bookings run; refused although they had run: {broken:?}", runs.len()));
    let twice = (0..BOOKINGS).filter(|booking| {
        [1, 2].iter().all(|attempt| runs.contains(&format!("{booking}-{attempt}")))
    });
    record
        .note(format!("bookings made twice by clients that kept to the pages: {}", twice.count()));
    !broken.is_empty()
}
