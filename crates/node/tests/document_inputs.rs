//! Documents, settings and messages from arbitrary input: nothing panics, and accepted values
//! satisfy their invariants.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use oleanderspan::{
    caller::block::Prefix,
    document::{Environment, Hash, ValidatedDocument},
    event::Event,
    name::Label,
    region::Percent,
    shift::{Vector, WHOLE_PPM},
};
use oleanderspan_node::{
    codec,
    schema::{self, read_document},
    settings::{Raw, Settings},
    wire,
};
use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::{Value, json};

const DOCUMENT: &str = include_str!("../../cli/tests/files/valid/full.json");
const SETTINGS: &str = include_str!("files/valid/full.json");

/// The seed is fixed so that every run tests the same cases.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() }
}

/// Values that replace a valid one.
fn replacement_values() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (0..400u32).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9.:/-]{0,70}".prop_map(Value::from),
        ".{0,20}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        "[a-z]{1,5}".prop_map(|key| json!({ key: 1 })),
        Just(json!(["r-a", "r-a"])),
    ]
}

/// Collects the JSON pointers of all values in `value`.
fn pointers(value: &Value, path: &str, paths: &mut Vec<String>) {
    paths.push(path.to_owned());
    let escape = |key: &str| key.replace('~', "~0").replace('/', "~1");
    match value {
        Value::Object(map) => {
            map.iter().for_each(|(k, v)| pointers(v, &format!("{path}/{}", escape(k)), paths));
        }
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(i, v)| pointers(v, &format!("{path}/{i}"), paths));
        }
        _ => {}
    }
}

/// Valid JSON in which one to three values are replaced.
fn mutated(text: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let index = any::<prop::sample::Index>();
    proptest::collection::vec((index, replacement_values()), 1..4).prop_map(move |changes| {
        let mut value: Value = serde_json::from_str(text).unwrap();
        for (index, replacement) in changes {
            let mut paths = Vec::new();
            pointers(&value, "", &mut paths);
            let pointer: &String = index.get(&paths);
            *value.pointer_mut(pointer).unwrap() = replacement;
        }
        serde_json::to_vec(&value).unwrap()
    })
}

fn read_settings(bytes: &[u8]) -> Result<Settings, String> {
    let raw: Raw =
        schema::read(bytes, schema::settings_schema()).map_err(|error| error.to_string())?;
    Settings::try_from(raw).map_err(|error| error.to_string())
}

proptest! {
    #![proptest_config(config(1_024))]

    #[test]
    fn mutated_documents_are_rejected_with_paths_or_valid(bytes in mutated(DOCUMENT)) {
        match read_document(&bytes) {
            Err(error) => {
                prop_assert!(!error.faults.is_empty());
                prop_assert!(error.faults.iter().all(|fault| !fault.path.is_empty()));
            }
            Ok(raw) => {
                let document = ValidatedDocument::try_from(&raw).unwrap();
                for service in &document.services {
                    prop_assert_eq!(service.routes.len(), document.regions.len());
                    prop_assert!(service.shift.rise_ppm <= WHOLE_PPM && !service.shift.window.is_zero());
                }
                prop_assert!(document.blocks.iter().all(|b| usize::from(b.site.0) < document.sites.len()));
            }
        }
    }

    #[test]
    fn mutated_settings_are_rejected_or_valid(bytes in mutated(SETTINGS)) {
        match read_settings(&bytes) {
            Err(faults) => prop_assert!(faults.contains(": "), "{}", faults),
            Ok(settings) => {
                prop_assert!((1..=64).contains(&settings.entry.threads));
                prop_assert!(settings.platform.timeout_ms > 0);
                prop_assert_ne!(settings.entry.caller_address, settings.entry.relay_address);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_are_read_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(read_document(&bytes).is_err());
        prop_assert!(read_settings(&bytes).is_err());
        let _ = codec::from_wire::<wire::Parts>(&bytes);
        let _ = codec::from_wire::<Vec<Hash>>(&bytes);
        let _ = codec::from_wire::<wire::Exchange>(&bytes);
        let _ = codec::from_wire::<wire::Observation>(&bytes);
        let _ = codec::from_wire::<wire::Snapshot>(&bytes);
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn names_round_trip_or_are_rejected(text in "[a-zA-Z0-9-]{0,70}|.{0,5}") {
        let is_valid = (1..=63).contains(&text.len())
            && !text.starts_with('-')
            && text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        prop_assert_eq!(Label::try_from(text.as_str()).is_ok(), is_valid);
        if let Ok(name) = Environment::try_from(text.as_str()) {
            prop_assert_eq!(name.as_str(), text);
        }
    }

    #[test]
    fn prefixes_round_trip(text in "[0-9]{1,3}(\\.[0-9]{1,3}){3}/[0-9]{1,2}|[0-9a-f:]{2,20}/[0-9]{1,3}") {
        if let Ok(prefix) = Prefix::try_from(text.as_str()) {
            prop_assert!(prefix.first() <= prefix.last());
            prop_assert_eq!(Prefix::try_from(prefix.to_string().as_str()), Ok(prefix));
        }
    }

    #[test]
    fn hashes_round_trip(bytes in any::<[u8; 32]>(), text in "[0-9a-fA-F+ ]{62,66}") {
        let hash = Hash::from_bytes(bytes);
        prop_assert_eq!(Hash::try_from(hash.to_string().as_str()), Ok(hash));
        if let Ok(read) = Hash::try_from(text.as_str()) {
            prop_assert_eq!(read.to_string(), text.to_lowercase());
        }
    }

    #[test]
    fn shares_sum_to_one_or_are_rejected(shares in proptest::collection::vec(0..=WHOLE_PPM, 0..5), percent in any::<u8>()) {
        let is_complete = shares.iter().map(|share| u64::from(*share)).sum::<u64>() == u64::from(WHOLE_PPM);
        prop_assert_eq!(Vector::try_from(shares).is_ok(), is_complete);
        prop_assert_eq!(Percent::try_from(percent).is_ok(), percent <= 100);
    }

    #[test]
    fn events_round_trip_or_are_rejected(stamp in any::<u64>(), kind in "started|in-force|[a-z-]{0,9}") {
        let known = ["started", "in-force"].contains(&kind.as_str())
            || oleanderspan::event::Kind::ALL.iter().any(|k| k.as_str() == kind);
        let text = || "a".to_owned();
        let raw = wire::EventRecord { stamp, process: text(), kind, subject: text(), detail: text() };
        let read = Event::try_from(raw.clone());
        prop_assert_eq!(read.is_ok(), known);
        if let Ok(event) = read {
            prop_assert_eq!(wire::EventRecord::from(&event), raw);
        }
    }
}
