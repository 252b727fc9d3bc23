//! `explain`: what became of one request, from the logs of several processes.

use std::{collections::BTreeSet, fs, path::PathBuf};

use argh::FromArgs;

use super::Failure;
use crate::record::Record;

/// Show the time line of one request over all hosts: what was decided about it (marked *), and what
/// the hosts that had it came to believe shortly before and meanwhile.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub(super) struct Explain {
    /// how long before the request the time line begins, in milliseconds
    #[argh(option, default = "10000")]
    before_ms: u64,
    /// the identity of the request, as in request=ID
    #[argh(positional)]
    request: String,
    /// the logs of the processes
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// A record, and where it stands among those of its process.
struct Entry<'a> {
    time: &'a str,
    process: &'a str,
    up_ms: u64,
    record: &'a Record<'a>,
    is_own: bool,
}

/// Messages that tell what a process believes for as long as no later one says otherwise.
const STANDING: [&str; 2] = ["started", "routes in force"];

/// Keys that every record has, shown before the message.
const HEAD_KEYS: [&str; 3] = ["time", "process", "up_ms"];

impl Explain {
    pub(super) fn run(&self) -> Result<(), Failure> {
        let mut texts = Vec::new();
        for path in &self.logs {
            let bytes = fs::read(path)
                .map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))?;
            texts.push((path, String::from_utf8_lossy(&bytes).into_owned()));
        }
        let (mut records, mut faults) = (Vec::new(), Vec::new());
        for (path, text) in &texts {
            for (number, line) in (1..).zip(text.lines()).filter(|(_, line)| !line.is_empty()) {
                match Record::try_from(line) {
                    Ok(record) => records.push(record),
                    Err(error) => faults.push(format!("{}:{number}: {error}", path.display())),
                }
            }
        }
        let entries = self.time_line(&records);
        if entries.is_empty() {
            faults.push(format!("no record has request={}", self.request));
        }
        entries.iter().for_each(|entry| println!("{}", shown(entry)));
        // The time line is worth reading even where some lines can't be.
        if faults.is_empty() { Ok(()) } else { Err(Failure::Usage(faults.join("\n"))) }
    }

    fn time_line<'a>(&self, records: &'a [Record<'a>]) -> Vec<Entry<'a>> {
        let entries: Vec<Entry<'a>> =
            records.iter().filter_map(|record| self.entry(record)).collect();
        let own = || entries.iter().filter(|entry| entry.is_own);
        let processes: BTreeSet<&str> = own().map(|entry| entry.process).collect();
        let servers: BTreeSet<&str> =
            own().filter_map(|entry| entry.record.get("server")).collect();
        let mut chosen: Vec<Entry<'a>> = Vec::new();
        for process in processes {
            let of = || entries.iter().filter(move |entry| entry.process == process);
            let own = || of().filter(|entry| entry.is_own);
            let last = own().map(|entry| entry.up_ms).max().unwrap_or_default();
            // A line tells how long the request was held when it ended.
            let began = own().map(|entry| entry.up_ms.saturating_sub(held(entry.record))).min();
            let from = began.unwrap_or_default().saturating_sub(self.before_ms);
            let is_near = |entry: &Entry<'_>| {
                let server = entry.record.get("server");
                let is_about_others =
                    server.is_some_and(|server| !servers.contains(server)) && !entry.is_own;
                let is_belief = entry.record.get("request").is_none() && !is_about_others;
                entry.is_own || is_belief && (from..=last).contains(&entry.up_ms)
            };
            chosen.extend(of().filter(|entry| is_near(entry)).map(Entry::copy));
            for message in STANDING {
                let older = of().filter(|entry| {
                    entry.record.message == message && entry.up_ms < from && !entry.is_own
                });
                chosen.extend(older.max_by_key(|entry| entry.up_ms).map(Entry::copy));
            }
        }
        chosen.sort_by_key(|entry| (entry.time, entry.process, entry.up_ms));
        chosen
    }

    fn entry<'a>(&self, record: &'a Record<'a>) -> Option<Entry<'a>> {
        Some(Entry {
            time: record.get("time")?,
            process: record.get("process")?,
            up_ms: record.get("up_ms")?.parse().ok()?,
            record,
            is_own: record.get("request") == Some(self.request.as_str()),
        })
    }
}

impl<'a> Entry<'a> {
    fn copy(&self) -> Entry<'a> {
        Entry { ..*self }
    }
}

fn held(record: &Record<'_>) -> u64 {
    record.get("held_ms").and_then(|held| held.parse().ok()).unwrap_or_default()
}

fn shown(entry: &Entry<'_>) -> String {
    let mark = if entry.is_own { '*' } else { ' ' };
    let mut line = format!("{mark} {} {} {}", entry.time, entry.process, entry.record.message);
    let rest = entry.record.pairs.iter().filter(|(key, _)| !HEAD_KEYS.contains(key));
    // The writer puts the keys of a message last to first.
    for (key, value) in rest.rev() {
        line.push_str(&format!(" {key}={value}"));
    }
    line
}
