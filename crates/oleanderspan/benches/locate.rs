//! The locate lookup at the design size, compared with published trie implementations.
//!
//! `cargo bench -p oleanderspan --bench locate`

#![allow(missing_docs, clippy::unwrap_used, reason = "a benchmark fails by panicking")]

use std::{
    collections::BTreeMap,
    hint::black_box,
    net::{IpAddr, Ipv4Addr},
};

use criterion::{Criterion, criterion_group, criterion_main};
use ip_network_table::IpNetworkTable;
use ipnet::Ipv4Net;
use oleanderspan::{
    caller::{Block, Index, SiteIndex, block::Prefix},
    document::{ValidatedDocument, raw},
    entry::Answer,
};
use prefix_trie::PrefixMap;

const BLOCKS: u32 = 540_000;
const SITES: u16 = 3_300;
const LOOKUPS: usize = 4_096;

/// A fixed hash function, so that every run looks up the same uniformly distributed addresses.
fn hash(n: u32) -> u32 {
    let mut x = n.wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995;
    x ^= x >> 15;
    x = x.wrapping_mul(0x85eb_ca6b);
    x ^ (x >> 13)
}

/// Disjoint blocks, alternately of 4,096 and 2,048 addresses.
fn prefixes() -> Vec<(Ipv4Net, u16)> {
    let net = |i: u32| {
        let length = if i.is_multiple_of(2) { 20 } else { 21 };
        Ipv4Net::new(Ipv4Addr::from_bits(i * 4_096), length).unwrap()
    };
    (0..BLOCKS).map(|i| (net(i), (hash(i) % u32::from(SITES)) as u16)).collect()
}

fn addresses() -> Vec<Ipv4Addr> {
    let spread = u64::from(BLOCKS) * 4_096;
    let address = |n: u32| ((u64::from(hash(n)) * spread) >> 32) as u32;
    (0..LOOKUPS as u32).map(|n| Ipv4Addr::from_bits(address(n))).collect()
}

/// The precomputed responses of all sites, as in a snapshot.
fn answers() -> Vec<Answer> {
    let region = raw::Region { zones: vec!["zone".to_owned()], ceiling_percent: 90 };
    let site = |i| (format!("site-{i:04}"), raw::Site { zone: "zone".to_owned() });
    let document = raw::Document {
        environment: "bench".to_owned(),
        regions: BTreeMap::from([("region".to_owned(), region)]),
        links: Vec::new(),
        sites: (0..SITES).map(site).collect(),
        services: BTreeMap::new(),
        drains: raw::Drains::default(),
        locate: raw::Locate::default(),
        blocks: BTreeMap::new(),
    };
    let document = ValidatedDocument::try_from(&document).unwrap();
    document.sites.iter().map(|site| Answer::new(site, &[], &document.locate)).collect()
}

fn locate(c: &mut Criterion) {
    let prefixes = prefixes();
    let blocks: Vec<Block> = prefixes
        .iter()
        .map(|(net, site)| Block {
            prefix: Prefix::try_from(net.to_string().as_str()).unwrap(),
            site: SiteIndex(*site),
        })
        .collect();
    let index = Index::new(&blocks);
    println!("index: {} bytes for {BLOCKS} blocks", index.memory_bytes());
    let answers = answers();
    let map: PrefixMap<Ipv4Net, u16> = prefixes.iter().copied().collect();
    let mut table = IpNetworkTable::new();
    for (net, site) in &prefixes {
        let network = ip_network::Ipv4Network::new(net.network(), net.prefix_len()).unwrap();
        table.insert(network, *site);
    }
    let starts: Vec<u32> = prefixes.iter().map(|(net, _)| net.network().to_bits()).collect();
    let addresses = addresses();
    for address in &addresses {
        let expected = map.get_lpm(&Ipv4Net::new(*address, 32).unwrap()).map(|(_, site)| *site);
        assert_eq!(index.site(IpAddr::V4(*address)).map(|site| site.0), expected);
    }

    let mut group = c.benchmark_group("locate");
    let mut next = addresses.iter().cycle();
    group.bench_function("decision", |b| {
        b.iter(|| {
            let site = index.site(IpAddr::V4(black_box(*next.next().unwrap())));
            site.map(|site| black_box(&answers[usize::from(site.0)]))
        });
    });
    let mut next = addresses.iter().cycle();
    group.bench_function("plain search over starts", |b| {
        b.iter(|| {
            let address = black_box(*next.next().unwrap()).to_bits();
            starts.partition_point(|start| *start <= address)
        });
    });
    let mut next = addresses.iter().cycle();
    group.bench_function("prefix-trie", |b| {
        b.iter(|| map.get_lpm(&Ipv4Net::from(black_box(*next.next().unwrap()))).map(|(_, s)| *s));
    });
    let mut next = addresses.iter().cycle();
    group.bench_function("ip_network_table", |b| {
        b.iter(|| table.longest_match_ipv4(black_box(*next.next().unwrap())).map(|(_, s)| *s));
    });
    group.finish();
}

criterion_group!(benches, locate);
criterion_main!(benches);
