//! Scaling of documents, snapshots and the timeline with their sizes.

use std::{
    collections::BTreeMap,
    hint::black_box,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Instant,
};

use oleanderspan::{
    availability,
    caller::{self, Index},
    document::{ValidatedDocument, raw},
    entry::{Host, Name, host},
    region,
    snapshot::{Input, Snapshot},
};
use oleanderspan_node::{codec, entry::slot::QueuedRequest, wire};

use crate::scale::{print_table, resident_bytes};

const BLOCKS: [u32; 4] = [5_400, 54_000, 180_000, 540_000];

const SITES: [u16; 4] = [33, 330, 1_000, 3_300];

const HOSTS: usize = 2_600;

const ZONES: usize = 91;

const REGIONS: usize = 34;

const LOOKUPS: u32 = 1_000_000;

const EVENTS: [usize; 4] = [100, 1_000, 10_000, 100_000];

const MIB: f64 = 1_048_576.0;

/// Measures checking and indexing a document by its number of address blocks.
pub fn blocks() -> io::Result<()> {
    let rows: io::Result<Vec<Vec<f64>>> = BLOCKS.into_iter().map(measure_blocks).collect();
    let columns = [
        "blocks",
        "raw_mib",
        "checked_mib",
        "wire_mib",
        "check_ms",
        "index_mib",
        "index_ms",
        "look_up_ns",
    ];
    print_table("one document with 3,300 sites", &columns, &rows?);
    Ok(())
}

fn measure_blocks(count: u32) -> io::Result<Vec<f64>> {
    let before = resident_bytes()?;
    let document = document(3_300, count);
    let after = resident_bytes()?;
    let bytes = codec::to_wire(&document).map_err(|error| io::Error::other(error.to_string()))?;
    let start = Instant::now();
    let validated = ValidatedDocument::try_from(&document)
        .map_err(|error| io::Error::other(error.to_string()))?;
    let check = start.elapsed();
    let blocks_bytes = validated.blocks.len() * size_of::<caller::Block>();
    let start = Instant::now();
    let index = Index::new(&validated.blocks);
    let build = start.elapsed();
    let start = Instant::now();
    for i in 0..LOOKUPS {
        let address = Ipv4Addr::from_bits(i.wrapping_mul(0x9e37_79b9) % (count * 4_096));
        black_box(index.site(IpAddr::V4(black_box(address))));
    }
    let lookup = start.elapsed();
    Ok(vec![
        f64::from(count),
        (after - before) as f64 / MIB,
        blocks_bytes as f64 / MIB,
        bytes.len() as f64 / MIB,
        check.as_secs_f64() * 1e3,
        index.memory_bytes() as f64 / MIB,
        build.as_secs_f64() * 1e3,
        lookup.as_secs_f64() * 1e9 / f64::from(LOOKUPS),
    ])
}

/// Measures snapshots by number of sites, at 2,600 hosts; `snapshot_kib` and `wire_kib` leave out
/// the address blocks.
pub fn sites() -> io::Result<()> {
    let rows: io::Result<Vec<Vec<f64>>> = SITES.into_iter().map(measure_sites).collect();
    let columns = ["sites", "check_ms", "build_ms", "snapshot_kib", "locate_ns", "wire_kib"];
    print_table("one snapshot with 2,600 hosts", &columns, &rows?);
    Ok(())
}

fn measure_sites(count: u16) -> io::Result<Vec<f64>> {
    let document = document(count, u32::from(count));
    let start = Instant::now();
    let validated = ValidatedDocument::try_from(&document)
        .map_err(|error| io::Error::other(error.to_string()))?;
    let check = start.elapsed();
    let blocks = Index::new(&validated.blocks).into();
    let hosts = hosts();
    let own = hosts[0].name.clone();
    let wire_snapshot = wire::Snapshot {
        sequence: 1,
        stamp: 1,
        version: 1,
        blocks: codec::content_hash(&[]),
        hosts: hosts.iter().map(|host| wire_host(host, &validated)).collect(),
        servers: Vec::new(),
        shares: Vec::new(),
        failed: Vec::new(),
        withheld: Vec::new(),
        document: raw::Document { blocks: BTreeMap::new(), ..document },
    };
    let bytes =
        codec::to_wire(&wire_snapshot).map_err(|error| io::Error::other(error.to_string()))?;
    let input = Input {
        version: oleanderspan::document::Version(1),
        document: validated.into(),
        blocks,
        hosts,
        servers: Vec::new(),
        routing: Vec::new(),
        is_stale: false,
        own,
    };
    let before = resident_bytes()?;
    let start = Instant::now();
    let snapshot: Snapshot<QueuedRequest> = Snapshot::new(input, None);
    let build = start.elapsed();
    let memory = resident_bytes()?.saturating_sub(before);
    let start = Instant::now();
    for i in 0..LOOKUPS {
        let address = Ipv4Addr::from_bits(i % u32::from(count) * 4_096);
        black_box(snapshot.locate(IpAddr::V4(black_box(address))));
    }
    let locate = start.elapsed();
    Ok(vec![
        f64::from(count),
        check.as_secs_f64() * 1e3,
        build.as_secs_f64() * 1e3,
        memory as f64 / 1_024.0,
        locate.as_secs_f64() * 1e9 / f64::from(LOOKUPS),
        bytes.len() as f64 / 1_024.0,
    ])
}

/// Measures the size of a timeline by its number of events.
pub fn timeline() -> io::Result<()> {
    let rows: io::Result<Vec<Vec<f64>>> = EVENTS.into_iter().map(measure_timeline).collect();
    print_table("events of one process", &["events", "memory_kib", "wire_kib"], &rows?);
    Ok(())
}

fn measure_timeline(count: usize) -> io::Result<Vec<f64>> {
    let event = |i: usize| wire::EventRecord {
        stamp: 112_000_000_000_000_000 + i as u64,
        process: "host-1234/control".to_owned(),
        kind: "host-changed".to_owned(),
        subject: format!("host-{}", i % HOSTS),
        detail: "suspect".to_owned(),
    };
    let before = resident_bytes()?;
    let events: Vec<wire::EventRecord> = (0..count).map(event).collect();
    let memory = resident_bytes()?.saturating_sub(before);
    let bytes = codec::to_wire(&events).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(vec![count as f64, memory as f64 / 1_024.0, bytes.len() as f64 / 1_024.0])
}

fn document(sites: u16, blocks: u32) -> raw::Document {
    let zone = |i: usize| format!("zone-{i:02}");
    let regions = (0..REGIONS).map(|i| {
        let zones = (0..ZONES).filter(|zone| zone % REGIONS == i).map(zone).collect();
        (format!("region-{i:02}"), raw::Region { zones, ceiling_percent: 90 })
    });
    let site = |i: u16| format!("site-{i:04}");
    let site_entries =
        (0..sites).map(|i| (site(i), raw::Site { zone: zone(usize::from(i) % ZONES) }));
    let block = |i: u32| {
        let prefix = format!("{}/20", Ipv4Addr::from_bits(i * 4_096));
        (prefix, site((i % u32::from(sites)) as u16))
    };
    raw::Document {
        environment: "scale".to_owned(),
        regions: regions.collect(),
        links: Vec::new(),
        sites: site_entries.collect(),
        services: BTreeMap::new(),
        drains: raw::Drains::default(),
        locate: raw::Locate::default(),
        blocks: (0..blocks).map(block).collect(),
    }
}

fn hosts() -> Vec<Host> {
    // Indexes of zones and regions follow the order of their names.
    let at = |host: usize, port| SocketAddr::new(Ipv4Addr::from(host as u32).into(), port);
    let host = |i: usize| {
        let name = Name::try_from(format!("host-{i}").as_str()).ok()?;
        Some(Host {
            name,
            incarnation: host::Incarnation(1),
            state: host::State::Live,
            zone: availability::Index((i % ZONES) as u16),
            region: region::Index((i % ZONES % REGIONS) as u16),
            caller_address: at(i, 7100),
            relay_address: at(i, 7200),
        })
    };
    (0..HOSTS).filter_map(host).collect()
}

fn wire_host(host: &Host, validated: &ValidatedDocument) -> wire::Host {
    wire::Host {
        name: host.name.to_string(),
        incarnation: host.incarnation.0,
        state: host.state.into(),
        zone: validated.zones[usize::from(host.zone.0)].name.to_string(),
        caller_address: host.caller_address,
        relay_address: host.relay_address,
        peer_address: host.relay_address,
    }
}
