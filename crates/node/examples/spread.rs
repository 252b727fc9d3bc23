//! Measures the cost of distributing one small change, compared with a full copy of the document,
//! for several numbers of blocks.
//!
//! `cargo run --release --locked -p oleanderspan-node --example spread`

#![allow(clippy::unwrap_used, reason = "a measurement fails by panicking")]

use std::time::Instant;

use bytes::Bytes;
use oleanderspan::{
    document::{Hash, raw},
    prelude::*,
};
use oleanderspan_node::control::{
    parts::{Error, LoadedParts, Parts, Source},
    state::Accepted,
};

/// Sizes of documents, in blocks.
const SIZES: [u32; 5] = [540, 5_400, 54_000, 270_000, 540_000];

/// Number of sites of the largest document; smaller ones have proportionally fewer.
const SITES: u32 = 3_300;

/// Number of changes; the median of their times is printed.
const CHANGES: u32 = 9;

struct LocalSource(Parts);

impl Source for LocalSource {
    async fn fetch(&self, hashes: &[Hash]) -> Result<Vec<Bytes>, Error> {
        let part = |hash: &Hash| self.0.get(hash).cloned().ok_or(Error::Missing(*hash));
        hashes.iter().map(part).collect()
    }
}

fn document(blocks: u32) -> raw::Document {
    let text = r#"{
        "environment": "trial",
        "regions": { "r": { "zones": ["r-a"], "ceiling_percent": 90 } },
        "sites": {}, "services": {}
    }"#;
    let mut document: raw::Document = serde_json::from_str(text).unwrap();
    let sites = (u64::from(SITES) * u64::from(blocks) / 540_000).max(1);
    let site = |i: u64| format!("site-{:04}", i % sites);
    document.sites = (0..sites).map(|i| (site(i), raw::Site { zone: "r-a".to_owned() })).collect();
    let prefix = |i: u32| format!("{}.{}.{}.0/24", 11 + (i >> 16), i >> 8 & 255, i & 255);
    document.blocks = (0..blocks).map(|i| (prefix(i), site(u64::from(i)))).collect();
    document
}

async fn load(known: Option<&Parts>, source: &LocalSource) -> (LoadedParts, Duration) {
    let started = Instant::now();
    let loaded = Parts::load(source.0.root(), known, source).await.unwrap();
    let version = oleanderspan::document::Version(1);
    Accepted::new(version, "trial", loaded.parts.clone()).unwrap();
    (loaded, started.elapsed())
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("blocks, split ms, whole bytes, whole ms, change bytes, change parts, change ms");
    for blocks in SIZES {
        let mut document = document(blocks);
        let started = Instant::now();
        let mut previous = LocalSource(Parts::split(&document).unwrap());
        let split = started.elapsed();
        let (full, full_time) = load(None, &previous).await;
        let mut times = Vec::new();
        let mut last = full.clone();
        for i in 0..CHANGES {
            document.blocks.insert(format!("11.0.{}.0/24", 2 * i + 1), "site-0000".to_owned());
            let next = LocalSource(Parts::split(&document).unwrap());
            let (loaded, time) = load(Some(&previous.0), &next).await;
            (last, previous) = (loaded, next);
            times.push(time);
        }
        times.sort();
        println!(
            "{blocks}, {:.1}, {}, {:.1}, {}, {}, {:.2}",
            split.as_secs_f64() * 1e3,
            full.fetched_bytes,
            full_time.as_secs_f64() * 1e3,
            last.fetched_bytes,
            last.fetched_parts,
            times[times.len() / 2].as_secs_f64() * 1e3,
        );
    }
}
