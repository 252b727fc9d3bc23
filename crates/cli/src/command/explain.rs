//! `explain`: reconstructs the path of one request from the logs of several processes.

use std::{collections::BTreeSet, fs, path::PathBuf};

use argh::FromArgs;

use super::Failure;
use crate::record::Record;

/// Show the timeline of one request across hosts: its own log records (marked *), and the cluster
/// state changes that the hosts that handled it logged shortly before and meanwhile.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(super) struct Explain {
    /// how long before the request the timeline begins, in milliseconds
    #[argh(option, default = "10000")]
    before_ms: u64,
    /// id of the request, as logged in request=ID
    #[argh(positional)]
    request: String,
    /// log files of the processes
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// A record with its parsed position in the timeline.
///
/// `up_ms` orders the records of one process; `time` orders those of several.
struct Entry<'a> {
    time: &'a str,
    process: &'a str,
    up_ms: u64,
    record: &'a Record<'a>,
    matches_request: bool,
}

/// Messages whose state holds until the next record with the same message. The last one before the
/// window is shown as well.
const STATE_MESSAGES: [&str; 2] = ["started", "routes in force"];

/// Keys that every record has; they aren't repeated after the message.
const HEADER_KEYS: [&str; 3] = ["time", "process", "up_ms"];

impl Explain {
    pub(super) fn run(&self) -> Result<(), Failure> {
        let mut texts = Vec::new();
        for path in &self.logs {
            let bytes = fs::read(path)
                .map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))?;
            texts.push((path, String::from_utf8_lossy(&bytes).into_owned()));
        }
        let (mut records, mut errors) = (Vec::new(), Vec::new());
        for (path, text) in &texts {
            for (number, line) in (1..).zip(text.lines()).filter(|(_, line)| !line.is_empty()) {
                match Record::try_from(line) {
                    Ok(record) => records.push(record),
                    Err(error) => errors.push(format!("{}:{number}: {error}", path.display())),
                }
            }
        }
        let entries = self.timeline(&records);
        if entries.is_empty() {
            errors.push(format!("no record has request={}", self.request));
        }
        entries.iter().for_each(|entry| println!("{}", format_entry(entry)));
        // Unreadable lines don't suppress the timeline of the others.
        if errors.is_empty() { Ok(()) } else { Err(Failure::Usage(errors.join("\n"))) }
    }

    fn timeline<'a>(&self, records: &'a [Record<'a>]) -> Vec<Entry<'a>> {
        let entries: Vec<Entry<'a>> =
            records.iter().filter_map(|record| self.to_entry(record)).collect();
        let matching = || entries.iter().filter(|entry| entry.matches_request);
        let processes: BTreeSet<&str> = matching().map(|entry| entry.process).collect();
        let servers: BTreeSet<&str> =
            matching().filter_map(|entry| entry.record.get("server")).collect();
        let mut selected: Vec<Entry<'a>> = Vec::new();
        for process in processes {
            let process_entries = || entries.iter().filter(move |entry| entry.process == process);
            let matching = || process_entries().filter(|entry| entry.matches_request);
            let end_ms = matching().map(|entry| entry.up_ms).max().unwrap_or_default();
            // `held_ms` is logged when the request ends, so its start is that much earlier.
            let start_ms =
                matching().map(|entry| entry.up_ms.saturating_sub(held_ms(entry.record))).min();
            let window_start_ms = start_ms.unwrap_or_default().saturating_sub(self.before_ms);
            let is_relevant = |entry: &Entry<'_>| {
                let server = entry.record.get("server");
                let concerns_other_server = server.is_some_and(|server| !servers.contains(server))
                    && !entry.matches_request;
                let is_cluster_state =
                    entry.record.get("request").is_none() && !concerns_other_server;
                entry.matches_request
                    || is_cluster_state && (window_start_ms..=end_ms).contains(&entry.up_ms)
            };
            selected.extend(process_entries().filter(|entry| is_relevant(entry)).map(Entry::copy));
            for message in STATE_MESSAGES {
                let older = process_entries().filter(|entry| {
                    entry.record.message == message
                        && entry.up_ms < window_start_ms
                        && !entry.matches_request
                });
                selected.extend(older.max_by_key(|entry| entry.up_ms).map(Entry::copy));
            }
        }
        selected.sort_by_key(|entry| (entry.time, entry.process, entry.up_ms));
        selected
    }

    fn to_entry<'a>(&self, record: &'a Record<'a>) -> Option<Entry<'a>> {
        Some(Entry {
            time: record.get("time")?,
            process: record.get("process")?,
            up_ms: record.get("up_ms")?.parse().ok()?,
            record,
            matches_request: record.get("request") == Some(self.request.as_str()),
        })
    }
}

impl<'a> Entry<'a> {
    fn copy(&self) -> Entry<'a> {
        Entry { ..*self }
    }
}

fn held_ms(record: &Record<'_>) -> u64 {
    record.get("held_ms").and_then(|value| value.parse().ok()).unwrap_or_default()
}

fn format_entry(entry: &Entry<'_>) -> String {
    let mark = if entry.matches_request { '*' } else { ' ' };
    let mut line = format!("{mark} {} {} {}", entry.time, entry.process, entry.record.message);
    let rest = entry.record.pairs.iter().filter(|(key, _)| !HEADER_KEYS.contains(key));
    // The log writer emits the keys of a message in reverse order.
    for (key, value) in rest.rev() {
        line.push_str(&format!(" {key}={value}"));
    }
    line
}
