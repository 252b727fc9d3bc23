//! Scaling benchmarks: growth of memory, time and message counts with the size of a deployment.
//!
//! Topics that vary a size measure it at four or more values and print a table with linear fits,
//! on which `docs/CAPACITY.md` is based.

pub mod document;
pub mod fit;
pub mod hosts;
pub mod membership;

use std::{fs, io};

pub use fit::Fit;

/// A scaling benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Address block index: build time, memory and lookup time by number of blocks.
    Blocks,
    /// Snapshots and locate answers: build time and size by number of sites, at 2,600 hosts.
    Sites,
    /// Membership: messages, bytes, processor time, memory and detection time by number of hosts.
    Hosts,
    /// Membership traffic and store readers after the loss of a zone and a network partition.
    Events,
    /// Timeline: memory and encoded size by number of events.
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
            _ => Err(format!(
                "unknown topic {raw:?}; expected blocks, sites, hosts, events or timeline"
            )),
        }
    }
}

/// Runs the benchmark of a topic and prints its results.
pub fn run(topic: Topic) -> io::Result<()> {
    match topic {
        Topic::Blocks => document::blocks(),
        Topic::Sites => document::sites(),
        Topic::Hosts => hosts::sizes(),
        Topic::Events => hosts::events(),
        Topic::Timeline => document::timeline(),
    }
}

/// Resident memory of this process; 0 if `/proc` has an unknown format.
pub(crate) fn resident_bytes() -> io::Result<u64> {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE_BYTES)
}

/// Prints a table and the linear fit of each column against the first one.
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
