//! Fails if the locate decision exceeds its target; also prints the time of a plain binary search
//! from the same run.
//!
//! `cargo bench -p oleanderspan --bench ratio`

#![allow(missing_docs, clippy::unwrap_used, reason = "a benchmark fails by panicking")]

use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
    process::ExitCode,
    time::Instant,
};

use oleanderspan::caller::{Block, Index, SiteIndex, block::Prefix};

const BLOCKS: u32 = 540_000;
const SITES: u32 = 3_300;
const LOOKUPS_PER_ROUND: u32 = 50_000;

/// Number of rounds. The two measurements alternate, so that other load on the machine slows both.
const ROUNDS: usize = 41;

/// The target for the median time of one decision, in nanoseconds.
const TARGET_NANOS: f64 = 150.0;

/// A fixed pseudorandom sequence, so that every run looks up the same addresses.
fn mix_bits(n: u32) -> u32 {
    let x = n.wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995;
    let x = (x ^ (x >> 15)).wrapping_mul(0x85eb_ca6b);
    x ^ (x >> 13)
}

fn address(n: u32) -> u32 {
    let spread = u64::from(BLOCKS) * 4_096;
    ((u64::from(mix_bits(n)) * spread) >> 32) as u32
}

fn nanos_per_call(mut call: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    (0..LOOKUPS_PER_ROUND).for_each(|n| call(address(n)));
    began.elapsed().as_nanos() as f64 / f64::from(LOOKUPS_PER_ROUND)
}

fn main() -> ExitCode {
    let block = |i: u32| {
        let length = if i.is_multiple_of(2) { 20 } else { 21 };
        let text = format!("{}/{length}", Ipv4Addr::from_bits(i * 4_096));
        let site = SiteIndex((mix_bits(i) % SITES) as u16);
        Block { prefix: Prefix::try_from(text.as_str()).unwrap(), site }
    };
    let index = Index::new(&(0..BLOCKS).map(block).collect::<Vec<_>>());
    let starts: Vec<u32> = (0..BLOCKS).map(|i| i * 4_096).collect();
    let mut rounds: Vec<(f64, f64)> = (0..ROUNDS)
        .map(|_| {
            let decision = nanos_per_call(|bits| {
                black_box(index.site(IpAddr::V4(Ipv4Addr::from_bits(black_box(bits)))));
            });
            let plain = nanos_per_call(|bits| {
                black_box(starts.partition_point(|start| *start <= black_box(bits)));
            });
            (decision, plain)
        })
        .collect();
    rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (decision, plain) = rounds[ROUNDS / 2];
    println!(
        "locate decision: median {decision:.0} ns, target {TARGET_NANOS:.0} ns; binary search {plain:.0} ns"
    );
    if decision <= TARGET_NANOS { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
