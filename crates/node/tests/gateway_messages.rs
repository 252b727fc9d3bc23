//! Gateways of neighbouring versions understand each other's messages, and no bytes that arrive
//! from another process end one.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Debug;

use oleanderspan_node::{
    codec,
    gateway::message::{Follow, Host, LoanExchange, Ping, SlotRequest},
};
use proptest::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// How a message is encoded.
#[derive(Clone, Copy, Debug)]
enum Format {
    /// Between hosts.
    Wire,
    /// In the store.
    Json,
}

impl Format {
    /// Decodes a message of another version that has these fields.
    fn decode<T: DeserializeOwned>(self, message: &Value) -> Result<T, codec::Error> {
        match self {
            Format::Wire => codec::from_wire(&codec::to_wire(message).unwrap()),
            Format::Json => codec::from_json(&codec::to_json(message).unwrap()),
        }
    }
}

/// Checks that a message with a field more means the same, and that it can be read without each of
/// the fields that an older version does not send.
fn check<T: Serialize + DeserializeOwned + Debug>(
    format: Format,
    message: &Value,
    older_lack: &[&str],
) {
    let complete: T = format.decode(message).unwrap();
    for later in [json!(7), json!("x"), json!([1, { "a": null }]), json!({ "nested": [true] })] {
        let mut newer = message.clone();
        newer["a_field_of_tomorrow"] = later;
        let newer: T = format.decode(&newer).unwrap();
        assert_eq!(codec::to_wire(&newer).unwrap(), codec::to_wire(&complete).unwrap());
    }
    for field in message.as_object().unwrap().keys() {
        let mut older = message.clone();
        older.as_object_mut().unwrap().remove(field);
        let decoded: Result<T, codec::Error> = format.decode(&older);
        assert_eq!(decoded.is_ok(), older_lack.contains(&field.as_str()), "{field}: {decoded:?}");
    }
}

fn slot_request() -> Value {
    json!({
        "request": "r-1", "service": "shop", "priority": 1, "objective_ms": 600,
        "deadline_ms": 4_000, "object": 7, "not": "i-1", "is_bound": true, "host": "front-1",
        "reports": [{ "service": "shop", "server": "i-2", "incarnation": 3, "latency_us": 900,
            "recall": 2, "is_unusable": false, "is_leaving": false, "backoff_ms": 5 }]
    })
}

fn ping() -> Value {
    json!({
        "host": "front-1", "is_leaving": false,
        "seen": [{ "host": "front-2", "age_ms": 100, "is_leaving": true }],
        "changes": [{ "topic": "servers", "version": 12, "era": 1 }]
    })
}

fn loan_exchange() -> Value {
    json!({ "service": "shop", "region": "a", "needed_milli": 1_500, "slots": 8,
        "loans": [["i-1", 2]] })
}

fn host() -> Value {
    json!({ "callers": "10.0.0.1:1", "peers": "10.0.0.1:2", "zone": "a-1", "millicores": 200 })
}

#[test]
fn messages_of_neighbouring_versions_are_understood() {
    let slot_request_lacks = ["object", "not", "is_bound", "host", "reports"];
    check::<SlotRequest>(Format::Wire, &slot_request(), &slot_request_lacks);
    check::<Ping>(Format::Wire, &ping(), &["seen", "changes"]);
    let follow = json!({ "topic": "servers", "after": 12, "era": 1 });
    check::<Follow>(Format::Wire, &follow, &["era"]);
    check::<LoanExchange>(Format::Wire, &loan_exchange(), &["needed_milli"]);
    check::<Host>(Format::Json, &host(), &["millicores"]);
}

fn decode_all(bytes: &[u8]) {
    let _ = codec::from_wire::<SlotRequest>(bytes);
    let _ = codec::from_wire::<Ping>(bytes);
    let _ = codec::from_wire::<Follow>(bytes);
    let _ = codec::from_wire::<LoanExchange>(bytes);
    let _ = codec::from_json::<Host>(bytes);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(
        bytes in proptest::collection::vec(any::<u8>(), 0..512),
    ) {
        decode_all(&bytes);
    }

    /// Lengths and markers of MessagePack that don't fit what follows.
    #[test]
    fn damaged_messages_are_decoded_or_rejected(
        message in 0..4_usize,
        damages in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let message = [slot_request(), ping(), loan_exchange(), host()][message].clone();
        let mut bytes = codec::to_wire(&message).unwrap();
        for (place, byte) in damages {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        decode_all(&bytes);
        decode_all(&bytes[..cut.index(bytes.len())]);
    }
}
