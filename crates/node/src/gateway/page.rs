//! The metrics page: counters, gauges and latencies as text, one per line.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io,
    sync::{Mutex, PoisonError, atomic::Ordering},
};

use cadence::{Gauged, MetricSink, StatsdClient};
use oleanderspan::prelude::*;

use crate::{
    gateway::{State, source::Topic},
    log,
};

/// A metric sink that collects the lines of one page, sorted by name.
#[derive(Debug, Default)]
struct LineSink(std::sync::Arc<Mutex<BTreeMap<String, String>>>);

impl MetricSink for LineSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let (name, rest) = metric.split_once(':').unwrap_or((metric, ""));
        let (value, tags) = match rest.split_once("|#") {
            Some((value, tags)) => (value, format!("{{{}}}", tags.replace(':', "="))),
            None => (rest, String::new()),
        };
        let value = value.split('|').next().unwrap_or("");
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.insert(format!("{name}{tags}"), value.to_owned());
        Ok(metric.len())
    }
}

/// Renders the current metrics; `docs/operators/metrics.md` lists them.
pub fn render(state: &State) -> String {
    let lines = LineSink::default();
    let collected = std::sync::Arc::clone(&lines.0);
    let client = StatsdClient::from_sink("oleanderspan", lines);
    let counters = state.counters.read();
    counters.send_since(&state.counters.zero(), &client);
    for (bound, answers) in counters.histogram() {
        let bound = bound.to_string();
        client.gauge_with_tags("entry.latency_us", answers).with_tag("le", &bound).send();
    }
    let snapshot = state.snapshot();
    let gauges = [
        ("gateway.hosts", snapshot.peers.len() + 1),
        ("gateway.servers", state.view().listing.len()),
        ("gateway.queued", snapshot.pools().map(|pool| pool.queued()).sum()),
    ];
    for (name, value) in gauges {
        // The sink only writes to a map and never fails.
        let _ = client.gauge(name, value as u64);
    }
    for topic in Topic::ALL {
        let silence = state.feed(topic).silence(state.clock.now());
        let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        client
            .gauge_with_tags("gateway.feed_silence_ms", silence_ms)
            .with_tag("topic", topic.as_str())
            .send();
    }
    let version = snapshot.table.as_ref().map_or(0, |table| table.version);
    let _ = client.gauge("gateway.routes_version", version);
    let unusable = snapshot.table.as_ref().map_or(0, |table| table.faults.len());
    let _ = client.gauge("gateway.unusable_parts", unusable as u64);
    let counts = [
        ("gateway.outside_homes", &state.outside_homes),
        ("gateway.foreign_lookups", &state.foreign_lookups),
        ("gateway.said_leaving", &state.said_leaving),
        ("gateway.backoffs", &state.backoffs),
        ("gateway.returned_grants", &state.returned_grants),
        ("gateway.quota_waits", &state.quotas.waits),
        ("gateway.quota_unleased", &state.quotas.unleased),
    ];
    for (name, count) in counts {
        let _ = client.gauge(name, count.load(Ordering::Relaxed));
    }
    let is_open = state.quotas.coordinator().is_open();
    let _ = client.gauge("gateway.quotas_open", u64::from(is_open));
    for (customer, rejected) in state.quotas.rejections() {
        client
            .gauge_with_tags("gateway.over_quota", rejected)
            .with_tag("customer", customer.as_str())
            .send();
    }
    let _ = client.gauge("log.dropped", log::dropped());
    drop(client);
    let lines = collected.lock().unwrap_or_else(PoisonError::into_inner);
    lines.iter().fold(String::new(), |mut page, (name, value)| {
        let _ = writeln!(page, "{name} {value}");
        page
    })
}
