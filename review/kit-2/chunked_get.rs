//! Clients send GET requests with a body in chunks. The instance has to run them with that body.

use std::time::Duration;

use crate::kit::{Gateway, HOST, Instance, Record, Store, exchange, give_up, has_trouble, success};

const CONFIG: &str = r#"{"version":"00000001",
"limits":{"max_header_bytes":16384,"max_body_bytes":8388608,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"services":[{"name":"results","health_path":"/health","max_conns":330,"cold_start_s":3.0,"cold_per_s":4.5}],
"virtual_hosts":[{"host":"review.example","paths":[{"name":"reads","prefix":"/reads/","kind":"idempotent",
"timeout_ms":4000,"target_latency_ms":600,"priority":1,"max_attempts":2,"service":"results"}]}]}"#;

/// How many requests are sent.
const REQUESTS: u32 = 20;

pub fn run(folder: &str) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let instance = Instance::start(&store, &record, "i-7f3a91c2", "results", success);
    let gateway = Gateway::start(&store, &record);
    let has_trouble = has_trouble();
    for n in 0..REQUESTS {
        let (id, body) = (format!("{n:016x}"), format!("patient={n}&from=2026-01-01"));
        let framed = match has_trouble {
            true => {
                format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
            }
            false => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
        };
        let request = format!(
            "GET /reads/history HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Request-Deadline: 4000\r\n{framed}"
        );
        record.note(format!("client sends GET {id} with a body of {} bytes", body.len()));
        let answer = exchange(gateway.callers, request.as_bytes(), Duration::from_secs(5));
        record.note(format!("client gets {:?} for {id}", answer.map(|answer| answer.first_line)));
    }
    let runs = instance.runs();
    let expected = |id: &str| {
        let n = u64::from_str_radix(id, 16).unwrap_or(u64::MAX);
        format!("patient={n}&from=2026-01-01").into_bytes()
    };
    let changed = runs.iter().filter(|run| run.request.body != expected(&run.id)).count();
    record.note(format!("{} requests run, {changed} of them with another body", runs.len()));
    if runs.is_empty() {
        give_up("no request was run");
    }
    changed > 0
}
