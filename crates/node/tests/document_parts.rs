//! Parts of documents: transfer size of a change, and rejection of parts whose hash does not match.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use bytes::Bytes;
use oleanderspan::document::{Hash, raw};
use oleanderspan_node::control::parts::{Error, Parts, Source};
use proptest::{prelude::*, test_runner::RngSeed};

/// A source with the parts of a document; returns wrong bytes for the part `corrupted`.
struct LocalSource {
    parts: Parts,
    corrupted: Option<Hash>,
}

impl Source for LocalSource {
    async fn fetch(&self, hashes: &[Hash]) -> Result<Vec<Bytes>, Error> {
        let part = |hash: &Hash| {
            if self.corrupted == Some(*hash) {
                return Ok(Bytes::from_static(b"other"));
            }
            self.parts.get(hash).cloned().ok_or(Error::Missing(*hash))
        };
        hashes.iter().map(part).collect()
    }
}

fn document(blocks: u32) -> raw::Document {
    let text = r#"{
        "environment": "trial",
        "regions": { "r": { "zones": ["r-a"], "ceiling_percent": 90 } },
        "sites": { "s": { "zone": "r-a" }, "t": { "zone": "r-a" } },
        "services": {}
    }"#;
    let mut document: raw::Document = serde_json::from_str(text).unwrap();
    let prefix = |i: u32| format!("10.{}.{}.0/24", i >> 8 & 255, i & 255);
    document.blocks = (0..blocks).map(|i| (prefix(i), "s".to_owned())).collect();
    document
}

fn source_of(document: &raw::Document) -> LocalSource {
    LocalSource { parts: Parts::split(document).unwrap(), corrupted: None }
}

#[tokio::test]
async fn moving_one_block_transfers_four_parts() {
    let mut document = document(20_000);
    let before = Parts::split(&document).unwrap();
    document.blocks.insert("10.7.7.0/24".to_owned(), "t".to_owned());
    let source = source_of(&document);
    let root = source.parts.root();

    let loaded = Parts::load(root, Some(&before), &source).await.unwrap();
    assert_eq!(loaded.fetched_parts, 4, "manifest, root, node and bucket");
    assert!(loaded.fetched_bytes < 6_000, "{} bytes", loaded.fetched_bytes);
    assert_eq!(loaded.parts.document("trial").unwrap(), document);

    let full = Parts::load(root, None, &source).await.unwrap();
    assert!(full.fetched_bytes > 100_000, "{} bytes", full.fetched_bytes);
    assert_eq!(full.parts, source.parts);
}

#[tokio::test]
async fn part_with_wrong_hash_is_rejected() {
    let mut source = source_of(&document(100));
    let root = source.parts.root();
    let bucket = source.parts.buckets(source.parts.manifest().unwrap().blocks).unwrap();
    let bucket = bucket.into_iter().min().unwrap();
    source.corrupted = Some(bucket);
    let result = Parts::load(root, None, &source).await.map(|loaded| loaded.parts.root());
    assert_eq!(result, Err(Error::Mismatch(bucket)));
}

#[test]
fn parts_do_not_contain_the_environment() {
    let trial = document(10);
    let production = raw::Document { environment: "production".to_owned(), ..trial.clone() };
    assert_eq!(Parts::split(&trial).unwrap(), Parts::split(&production).unwrap());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 8,
        rng_seed: RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    #[test]
    fn split_documents_reassemble_equal(
        blocks in proptest::collection::btree_map("[0-9a-f:.]{1,12}/[0-9]{1,2}", "[a-z]{1,4}", 0..200)
    ) {
        let document = raw::Document { blocks, ..document(0) };
        let parts = Parts::split(&document).unwrap();
        prop_assert_eq!(parts.document("trial").unwrap(), document);
        let services: BTreeMap<String, Hash> = parts.manifest().unwrap().services;
        prop_assert!(services.is_empty());
    }
}
