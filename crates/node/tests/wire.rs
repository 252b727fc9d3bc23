//! Codecs of messages and stored rows: values round-trip, and truncated, modified or arbitrary
//! bytes never cause a panic.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::BTreeMap, fmt::Debug, net::SocketAddr};

use oleanderspan::{
    document::{Hash, raw},
    entry::membership::Gossip,
    event::Event,
    request::{
        Job,
        claim::{Answer, Claim, State},
        job,
    },
};
use oleanderspan_node::{
    codec,
    entry::{
        claims::row as claim_row,
        jobs::{row as job_row, status::Status, stored::StoredRequest},
    },
    store, wire,
};
use proptest::{prelude::*, test_runner::RngSeed};
use serde::{Serialize, de::DeserializeOwned};

/// The seed is fixed so that every run tests the same cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![".{0,12}", "[a-z0-9-]{1,12}"]
}

fn address() -> impl Strategy<Value = SocketAddr> {
    any::<([u8; 4], u16)>().prop_map(SocketAddr::from)
}

prop_compose! {
    fn host()(
        name in text(),
        incarnation in any::<u64>(),
        state in prop::sample::select(vec![
            wire::HostState::Starting,
            wire::HostState::Live,
            wire::HostState::Suspect,
            wire::HostState::Leaving,
            wire::HostState::Gone,
        ]),
        zone in text(),
        caller_address in address(),
        relay_address in address(),
        peer_address in address(),
    ) -> wire::Host {
        wire::Host {
            name, incarnation, state, zone, caller_address, relay_address, peer_address,
        }
    }
}

prop_compose! {
    fn server()(
        name in text(),
        incarnation in any::<u64>(),
        service in text(),
        zone in text(),
        address in address(),
        leaving in any::<bool>(),
    ) -> wire::Server {
        wire::Server { name, incarnation, service, zone, address, leaving }
    }
}

fn signs() -> impl Strategy<Value = Vec<wire::Sign>> {
    let sign =
        (text(), any::<u64>()).prop_map(|(server, incarnation)| wire::Sign { server, incarnation });
    prop::collection::vec(sign, 0..4)
}

prop_compose! {
    fn load()(
        names in [text(), text()],
        dispatches in any::<bool>(),
        counts in any::<[u32; 3]>(),
    ) -> wire::Load {
        let [service, region] = names;
        let [in_flight, limit, queued] = counts;
        wire::Load { service, region, dispatches, in_flight, limit, queued }
    }
}

fn loads() -> impl Strategy<Value = Vec<wire::Load>> {
    prop::collection::vec(load(), 0..3)
}

fn shares() -> impl Strategy<Value = wire::Shares> {
    let row = prop::collection::btree_map(text(), any::<u32>(), 0..3);
    let rows = prop::collection::btree_map(text(), row, 0..3);
    (text(), prop::collection::btree_map(text(), rows, 0..3))
        .prop_map(|(region, services)| wire::Shares { region, services })
}

fn hash() -> impl Strategy<Value = Hash> {
    any::<[u8; 32]>().prop_map(Hash::from_bytes)
}

fn parts() -> impl Strategy<Value = wire::Parts> {
    let part = prop::collection::vec(any::<u8>(), 0..40).prop_map(|bytes| wire::Blob(bytes.into()));
    prop::collection::vec(part, 0..4).prop_map(|parts| wire::Parts { parts })
}

prop_compose! {
    fn snapshot()(
        numbers in any::<[u64; 3]>(),
        environment in text(),
        blocks in hash(),
        hosts in prop::collection::vec(host(), 0..3),
        servers in prop::collection::vec(server(), 0..3),
        counts in any::<[[u32; 2]; 3]>(),
        failed in any::<[bool; 3]>(),
    ) -> wire::Snapshot {
        let rows: Vec<Vec<u32>> = counts.iter().map(|row| row.to_vec()).collect();
        wire::Snapshot {
            sequence: numbers[0],
            stamp: numbers[2],
            version: numbers[1],
            document: raw::Document {
                environment: environment.clone(),
                regions: BTreeMap::new(),
                links: Vec::new(),
                sites: BTreeMap::new(),
                services: BTreeMap::new(),
                drains: raw::Drains::default(),
                locate: raw::Locate::default(),
                blocks: BTreeMap::from([("::/0".to_owned(), environment)]),
            },
            blocks,
            hosts,
            servers,
            shares: vec![rows.clone(), rows.clone()],
            failed: vec![failed.to_vec()],
            withheld: rows,
        }
    }
}

prop_compose! {
    fn exchange()(
        from in host(),
        changes in prop::collection::vec(host(), 0..4),
        digests in any::<[u64; 4]>(),
        names in [text(), text()],
        document in prop::option::of(hash()),
        recent in signs(),
        shares in prop::option::of(shares()),
        loads in loads(),
    ) -> wire::Exchange {
        let [environment, hash] = names;
        wire::Exchange {
            members: wire::Gossip { from, changes, digest: digests[0] },
            stamp: digests[1],
            environment,
            document: wire::ActiveDocument { version: digests[2], document },
            signs: wire::Signs { recent, digest: digests[3] },
            listing: wire::ListVersion { stamp: digests[2], hash },
            distribution: wire::Distribution { shares, loads },
        }
    }
}

fn event_record() -> impl Strategy<Value = wire::EventRecord> {
    (any::<u64>(), text(), text(), text(), text()).prop_map(
        |(stamp, process, kind, subject, detail)| wire::EventRecord {
            stamp,
            process,
            kind,
            subject,
            detail,
        },
    )
}

fn expect() -> impl Strategy<Value = store::Expect> {
    prop_oneof![Just(store::Expect::Absent), any::<u64>().prop_map(store::Expect::Version)]
}

fn transaction() -> impl Strategy<Value = store::Transaction> {
    let write = (text(), expect(), text()).prop_map(|(key, expect, value)| store::Write {
        key,
        expect,
        value,
    });
    prop::collection::vec(write, 0..6).prop_map(|writes| store::Transaction { writes })
}

fn rows() -> impl Strategy<Value = store::Rows> {
    let row = (text(), any::<u64>(), text()).prop_map(|(key, version, value)| store::Row {
        key,
        version,
        value,
    });
    prop::collection::vec(row, 0..6).prop_map(|rows| store::Rows { rows })
}

fn stored() -> impl Strategy<Value = StoredRequest> {
    let header = (text(), prop::collection::vec(any::<u8>(), 0..8));
    let headers = prop::collection::vec(header, 0..4);
    let body = prop::collection::vec(any::<u8>(), 0..64);
    (text(), text(), text(), headers, body, any::<[u8; 16]>()).prop_map(
        |(id, method, path, headers, body, caller)| StoredRequest {
            id,
            method,
            path,
            headers,
            body,
            caller: caller.into(),
        },
    )
}

fn claim() -> impl Strategy<Value = Claim> {
    let body = prop::option::of(prop::collection::vec(any::<u8>(), 0..64));
    let answer =
        (any::<u16>(), prop::option::of(text()), body).prop_map(|(status, content_type, body)| {
            Answer { status, content_type: content_type.map(String::into_boxed_str), body }
        });
    let state = prop_oneof![Just(State::Held), Just(State::Released), answer.prop_map(State::Done)];
    (text(), text(), state).prop_map(|(operation, digest, state)| Claim {
        operation: operation.into(),
        digest: digest.into(),
        state,
    })
}

prop_compose! {
    fn job()(
        operation in text(),
        digest in text(),
        state in prop_oneof![
            Just(job::State::Queued),
            Just(job::State::Done),
            Just(job::State::InDoubt),
            (text(), any::<u64>()).prop_map(|(host, incarnation)| {
                job::State::Running(job::Runner { host: host.into(), incarnation })
            }),
        ],
        attempts in any::<u32>(),
        due_ms in any::<u64>(),
        names in [text(), text(), text(), text()],
        claim_version in any::<u64>(),
    ) -> job_row::Row {
        let [service, object, claim_key, claim_operation] = names;
        let (operation, digest) = (operation.into(), digest.into());
        let job = Job { operation, digest, state, attempts, due_ms };
        job_row::Row { job, service, object, claim_key, claim_version, claim_operation }
    }
}

/// A corruption of encoded bytes.
#[derive(Clone, Debug)]
enum Corruption {
    Truncate(prop::sample::Index),
    Replace(prop::sample::Index, u8),
    Insert(prop::sample::Index, Vec<u8>),
}

fn corruptions() -> impl Strategy<Value = Vec<Corruption>> {
    let at = any::<prop::sample::Index>;
    let corruption = prop_oneof![
        at().prop_map(Corruption::Truncate),
        (at(), any::<u8>()).prop_map(|(at, byte)| Corruption::Replace(at, byte)),
        (at(), prop::collection::vec(any::<u8>(), 1..6))
            .prop_map(|(at, bytes)| Corruption::Insert(at, bytes)),
    ];
    prop::collection::vec(corruption, 1..4)
}

fn corrupt(mut bytes: Vec<u8>, corruptions: &[Corruption]) -> Vec<u8> {
    for corruption in corruptions {
        let length = bytes.len().max(1);
        match corruption {
            Corruption::Truncate(at) => bytes.truncate(at.index(length)),
            Corruption::Replace(at, byte) => {
                if let Some(replaced) = bytes.get_mut(at.index(length)) {
                    *replaced = *byte;
                }
            }
            Corruption::Insert(at, inserted) => {
                let at = at.index(length).min(bytes.len());
                bytes.splice(at..at, inserted.iter().copied());
            }
        }
    }
    bytes
}

/// The value round-trips in both formats, and decoding a corrupted copy does not panic.
fn check_round_trip<T>(value: &T, corruptions: &[Corruption])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let bytes = codec::to_wire(value).unwrap();
    assert_eq!(&codec::from_wire::<T>(&bytes).unwrap(), value);
    let _ = codec::from_wire::<T>(&corrupt(bytes, corruptions));
    let text = codec::to_json(value).unwrap();
    assert_eq!(&codec::from_json::<T>(&text).unwrap(), value);
    let _ = codec::from_json::<T>(&corrupt(text, corruptions));
}

/// Round trip for types without `PartialEq`: compares the encoded bytes.
fn check_reencoded<T: Serialize + DeserializeOwned>(value: &T, corruptions: &[Corruption]) {
    let bytes = codec::to_wire(value).unwrap();
    let read: T = codec::from_wire(&bytes).unwrap();
    assert_eq!(codec::to_wire(&read).unwrap(), bytes);
    let _ = codec::from_wire::<T>(&corrupt(bytes, corruptions));
}

fn decode_as_every_type(bytes: &[u8]) {
    let _ = codec::from_wire::<wire::Snapshot>(bytes);
    let _ = codec::from_wire::<wire::Parts>(bytes);
    let _ = codec::from_wire::<Vec<Hash>>(bytes);
    let _ = codec::from_wire::<wire::Observation>(bytes);
    let _ = codec::from_wire::<wire::Exchange>(bytes);
    let _ = codec::from_wire::<wire::EventRecord>(bytes);
    let _ = codec::from_wire::<StoredRequest>(bytes);
    let _ = codec::from_json::<store::Transaction>(bytes);
    let _ = codec::from_json::<store::Conflict>(bytes);
    let _ = codec::from_json::<store::Keys>(bytes);
    let _ = codec::from_json::<store::Rows>(bytes);
    let _ = codec::from_json::<store::ServerList>(bytes);
    let _ = codec::from_json::<Status>(bytes);
    let text = String::from_utf8_lossy(bytes);
    let _ = claim_row::decode(&text);
    let _ = job_row::decode(&text);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn messages_between_hosts_round_trip(
        exchange in exchange(),
        servers in prop::collection::vec(server(), 0..3),
        record in event_record(),
        leaving in signs(),
        stopping in any::<bool>(),
        loads in prop::option::of(loads()),
        snapshot in snapshot(),
        parts in parts(),
        hashes in prop::collection::vec(hash(), 0..4),
        corruptions in corruptions(),
    ) {
        check_reencoded(&exchange, &corruptions);
        check_round_trip(&servers, &corruptions);
        check_round_trip(&record, &corruptions);
        let events = vec![record.clone()];
        check_reencoded(&wire::Observation { leaving, stopping, loads, events }, &corruptions);
        check_reencoded(&parts, &corruptions);
        check_reencoded(&hashes, &corruptions);
        check_reencoded(&snapshot, &corruptions);
        // The random names may be invalid; their conversion must not panic.
        let _ = Gossip::try_from(&exchange.members);
        let _ = Event::try_from(record);
    }

    #[test]
    fn messages_of_the_store_round_trip(
        transaction in transaction(),
        rows in rows(),
        keys in prop::collection::vec(text(), 0..6),
        stored in stored(),
        corruptions in corruptions(),
    ) {
        check_round_trip(&transaction, &corruptions);
        check_round_trip(&rows, &corruptions);
        check_round_trip(&store::Keys { keys: keys.clone() }, &corruptions);
        check_round_trip(&store::Conflict { keys }, &corruptions);
        check_round_trip(&stored, &corruptions);
        // The random request may be malformed; its conversion must not panic.
        let _ = stored.into_outbound();
    }

    #[test]
    fn rows_of_claims_and_jobs_round_trip(
        claim in claim(),
        job in job(),
        corruptions in corruptions(),
    ) {
        let value = claim_row::encode(&claim);
        prop_assert_eq!(&claim_row::decode(&value).unwrap(), &claim);
        let corrupted = corrupt(value.into_bytes(), &corruptions);
        let _ = claim_row::decode(&String::from_utf8_lossy(&corrupted));
        let value = job_row::encode(&job);
        prop_assert_eq!(&job_row::decode(&value).unwrap(), &job);
        let corrupted = corrupt(value.into_bytes(), &corruptions);
        let _ = job_row::decode(&String::from_utf8_lossy(&corrupted));
    }

    #[test]
    fn arbitrary_bytes_decode_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        decode_as_every_type(&bytes);
    }
}

/// A corrupted length prefix must not cause a large allocation: the decoder allocates only for data
/// that is present.
#[test]
fn false_length_prefix_allocates_no_memory() {
    for marker in [0xc6, 0xdb, 0xdd, 0xdf] {
        decode_as_every_type(&[marker, 0xff, 0xff, 0xff, 0xff]);
        decode_as_every_type(&[0x81, 0xa4, b'b', b'o', b'd', b'y', marker, 0xff, 0xff, 0xff, 0xff]);
    }
    // Deep nesting must not overflow the stack.
    decode_as_every_type(&[0x91; 100_000]);
    decode_as_every_type("[".repeat(100_000).as_bytes());
}
