//! Slopes: how state, time and messages grow with the sizes of a deployment.
//!
//! Each topic runs at four sizes or more and prints a table and straight fits; `docs/CAPACITY.md`
//! is worked out from them.

pub mod document;
pub mod fit;
pub mod hosts;
pub mod membership;

use std::{fs, io};

pub use fit::Fit;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The index of blocks: build time, bytes and look-up time by blocks.
    Blocks,
    /// Locate answers and snapshots: build time and bytes by sites, at 2,600 hosts.
    Sites,
    /// Membership: messages, bytes, processor time, memory and detection by hosts.
    Hosts,
    /// Membership and reads of the store by failures, cuts and zones.
    Events,
    /// The time line: bytes by events.
    Timeline,
}

impl TryFrom<&str> for Topic {
    type Error = String;

    fn try_from(raw: &str) -> Result<Topic, String> {
        match raw {
            "blocks" => Ok(Topic::Blocks),
            "sites" => Ok(Topic::Sites),
            "hosts" => Ok(Topic::Hosts),
            "events" => Ok(Topic::Events),
            "timeline" => Ok(Topic::Timeline),
            _ => Err(format!("{raw:?}: wanted blocks, sites, hosts, events or timeline")),
        }
    }
}

/// Measures a topic and prints what was found.
pub fn run(topic: Topic) -> io::Result<()> {
    match topic {
        Topic::Blocks => document::blocks(),
        Topic::Sites => document::sites(),
        Topic::Hosts => hosts::sizes(),
        Topic::Events => hosts::events(),
        Topic::Timeline => document::timeline(),
    }
}

/// The resident memory of this process.
pub(crate) fn resident_bytes() -> io::Result<u64> {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE_BYTES)
}

/// Prints a table and the straight fit of each column against the first one.
pub(crate) fn print_table(title: &str, columns: &[&str], rows: &[Vec<f64>]) {
    println!("{title}");
    println!("{}", columns.join("\t"));
    for row in rows {
        let cells: Vec<String> = row.iter().map(|cell| format!("{cell:.3}")).collect();
        println!("{}", cells.join("\t"));
    }
    for (i, column) in columns.iter().enumerate().skip(1) {
        let points: Vec<(f64, f64)> = rows.iter().map(|row| (row[0], row[i])).collect();
        println!("fit\t{column}\t{}", Fit::new(&points));
    }
}
