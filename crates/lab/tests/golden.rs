//! Whole sessions of both deployments, compared byte by byte with `tests/snapshots`.
//!
//! `INSTA_UPDATE=always cargo test --locked -p oleanderspan-lab --test golden` writes them again.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    collections::BTreeSet,
    fmt::Write,
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{Answer, Bench, PATIENCE};
use http::Request;
use oleanderspan::document::raw;
use oleanderspan_lab::deployment::{BUREAU, CUPRUL, Deployment};

/// Kinds of events that every run of a session has alike.
const KINDS: [&str; 4] = ["accepted", "refused", "started", "in-force"];

/// A session as it is written down.
struct Session {
    bench: Bench,
    text: String,
}

impl Session {
    /// Runs the operator's command and writes down what it printed.
    fn operate(&mut self, arguments: &str) {
        let control = self.bench.ports.operator(1).to_string();
        let entry = self.bench.ports.caller(1).to_string();
        let named = arguments.replace("CONTROL", &control).replace("ENTRY", &entry);
        let ran: common::Ran =
            self.bench.operate(&named.split_whitespace().collect::<Vec<_>>()).into();
        writeln!(self.text, "$ oleanderspan {arguments}").unwrap();
        let printed = self.normal(&format!("{}{}", ran.stdout, ran.stderr));
        writeln!(self.text, "{printed}exit {}\n", ran.code).unwrap();
    }

    /// Sends a request to the first host and writes down its answer.
    async fn request(&mut self, method: &str, service: &str, path: &str, body: &'static str) {
        let authority = self.bench.authority(service);
        let request = Request::builder().method(method).uri(path).header("host", &authority);
        let caller = self.bench.ports.caller(1);
        let answer = self.bench.send(caller, request, Bytes::from_static(body.as_bytes())).await;
        let answer: Answer = answer.unwrap();
        writeln!(self.text, "> {method} {authority}{path} {body}").unwrap();
        writeln!(self.text, "{} {}", answer.status, answer.header("oleanderspan-outcome")).unwrap();
        if answer.status.is_success() {
            writeln!(self.text, "{}\n", String::from_utf8_lossy(&answer.body).trim_end()).unwrap();
        } else {
            writeln!(self.text, "{}\n", answer.header("oleanderspan-refusal")).unwrap();
        }
    }

    /// Writes down the events that do not depend on timing, sorted where processes race.
    async fn timeline(&mut self) {
        let hosts = self.bench.deployment.hosts();
        let last = |lines: &BTreeSet<String>| {
            hosts.iter().all(|host| lines.contains(&format!("{}/entry in-force 2", host.name)))
        };
        let started = Instant::now();
        let mut lines = self.events();
        while !last(&lines) {
            assert!(started.elapsed() < PATIENCE, "events of entry daemons are missing");
            tokio::time::sleep(Duration::from_millis(50)).await;
            lines = self.events();
        }
        writeln!(self.text, "$ oleanderspan timeline --control CONTROL").unwrap();
        for line in lines {
            writeln!(self.text, "{line}").unwrap();
        }
    }

    fn events(&self) -> BTreeSet<String> {
        let control = self.bench.ports.operator(1).to_string();
        let ran: common::Ran = self.bench.operate(&["timeline", "--control", &control]).into();
        assert_eq!((ran.code, ran.stderr.as_str()), (0, ""));
        let lines = ran.stdout.lines().filter_map(|line| {
            let words: Vec<&str> = line.split(' ').skip(1).collect();
            // How many parts a host fetched depends on whom it learned from.
            let end = if words[1] == "in-force" { 3 } else { words.len() };
            KINDS.contains(&words[1]).then(|| words[..end].join(" "))
        });
        lines.collect()
    }

    /// Replaces what differs from run to run: ports and content hashes.
    fn normal(&self, printed: &str) -> String {
        let mut printed = printed.to_owned();
        let hosts = self.bench.deployment.hosts();
        for (number, host) in (1u16..).zip(&hosts) {
            let mut replace = |kind: &str, address: SocketAddr| {
                printed = printed.replace(&address.to_string(), &format!("{kind}:{}", host.name));
            };
            replace("caller", self.bench.ports.caller(number));
            replace("operator", self.bench.ports.operator(number));
            replace("peer", self.bench.ports.peer(number));
        }
        let is_hash = |word: &str| word.len() == 64 && word.bytes().all(|b| b.is_ascii_hexdigit());
        let normal = |word| if is_hash(word) { "HASH" } else { word };
        let lines = printed.lines();
        lines.map(|line| line.split(' ').map(normal).collect::<Vec<_>>().join(" ") + "\n").collect()
    }

    fn write_document(&self, file: &str, document: &raw::Document) {
        let text = serde_json::to_vec(document).unwrap();
        fs::write(self.bench.folder.join(file), text).unwrap();
    }
}

/// The first document with a shift, a drain and a moved block.
fn second(deployment: &Deployment) -> raw::Document {
    let mut document = deployment.document("production");
    let regions: Vec<String> = document.regions.keys().cloned().collect();
    let zone = document.regions[&regions[2]].zones[0].clone();
    let service = document.services.values_mut().next().unwrap();
    let shares = [(regions[0].clone(), 70), (regions[1].clone(), 30)];
    service.routes.insert(regions[0].clone(), shares.into());
    document.drains.servers.push("stray-server".to_owned());
    document.blocks.insert("127.1.0.0/16".to_owned(), zone);
    document
        .blocks
        .insert("127.99.0.0/16".to_owned(), document.sites.keys().next().unwrap().clone());
    document
}

fn faulty(deployment: &Deployment) -> raw::Document {
    let mut document = deployment.document("production");
    document.services.values_mut().next().unwrap().routes =
        [("nowhere".to_owned(), [("nowhere".to_owned(), 50)].into())].into();
    document.blocks.insert("10.0.0.1/8".to_owned(), "nowhere".to_owned());
    document
}

async fn record(deployment: &'static Deployment) -> String {
    let bench = Bench::start(&format!("golden-{}", deployment.name), deployment);
    let mut session = Session { bench, text: String::new() };
    for host in session.bench.everyone() {
        let up = async || session.bench.status(host).await.is_some();
        session.bench.until(up).await;
    }
    session.write_document("second.json", &second(deployment));
    session.write_document("faulty.json", &faulty(deployment));

    session.operate("check faulty.json");
    session.operate("check production.json");
    session.operate("propose --control CONTROL --base 0 --operation first production.json");
    session.bench.until_in_force(1, PATIENCE, session.bench.everyone()).await;
    for host in session.bench.everyone() {
        let all = usize::from(session.bench.count());
        session.bench.until(async || session.bench.live_hosts(host).await == all).await;
    }
    session.operate("status --control CONTROL");
    session.operate("locate --entry ENTRY 127.1.0.9");
    for service in deployment.services {
        session.request("GET", service.name, "/items/7", "").await;
        session.request("POST", service.name, "/items", "{\"count\":4}").await;
    }
    session.request("GET", "nobody", "/", "").await;

    session.operate("diff --control CONTROL second.json");
    session.operate("diff second.json second.json");
    session.operate("propose --control CONTROL --base 1 --operation second second.json");
    session.bench.until_in_force(2, PATIENCE, session.bench.everyone()).await;
    session.operate("propose --control CONTROL --base 1 --operation third production.json");
    session.operate("propose --control CONTROL --base 1 --operation second second.json");
    session.operate("promote --control CONTROL --from production --tried 2 --to trial --base 0 --operation fourth");
    session.operate("history --control CONTROL production");
    session.operate("history --control CONTROL trial");
    session.operate("locate --entry ENTRY 127.1.0.9");
    session.operate("status --control CONTROL");
    session.timeline().await;
    session.text
}

#[tokio::test]
async fn the_session_of_cuprul_is_as_recorded() {
    insta::assert_snapshot!("cuprul", record(&CUPRUL).await);
}

#[tokio::test]
async fn the_session_of_bureau_is_as_recorded() {
    insta::assert_snapshot!("bureau", record(&BUREAU).await);
}
