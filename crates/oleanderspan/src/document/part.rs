//! Parts of a document, each identified by its content hash, so that a change spreads as the
//! few parts that it touches; see `docs/CAPACITY.md`.
//!
//! The environment's name is in no part: the manifest that was tried in one environment is the
//! very manifest that is promoted to another.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::document::{Hash, raw};

/// Children of a node in the tree of blocks, which has two levels above its buckets.
pub const FAN_OUT: usize = 64;

/// Buckets that the blocks are divided into.
pub const BUCKETS: usize = FAN_OUT * FAN_OUT;

/// The root of a document: its hash identifies the whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The hash of the [`Head`].
    pub head: Hash,
    /// The hash of the sites.
    pub sites: Hash,
    /// The hash of each service.
    pub services: BTreeMap<String, Hash>,
    /// The hash of the root [`TreeNode`] of the blocks.
    pub blocks: Hash,
}

/// The small parts of a document that change together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Regions by name.
    pub regions: BTreeMap<String, raw::Region>,
    /// Links between regions.
    pub links: Vec<raw::Link>,
    /// Planned drains.
    pub drains: raw::Drains,
    /// How callers are told which entry host to use.
    pub locate: raw::Locate,
}

/// A node in the tree of blocks: the hashes of its children, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeNode(pub Vec<Hash>);

/// The blocks of one bucket and their sites.
pub type Bucket<'a> = BTreeMap<&'a str, &'a str>;

impl From<&raw::Document> for Head {
    fn from(raw: &raw::Document) -> Head {
        Head {
            regions: raw.regions.clone(),
            links: raw.links.clone(),
            drains: raw.drains.clone(),
            locate: raw.locate.clone(),
        }
    }
}

impl Head {
    /// The document of `environment` with these parts and without blocks.
    pub fn document(
        self,
        environment: &str,
        sites: BTreeMap<String, raw::Site>,
        services: BTreeMap<String, raw::Service>,
    ) -> raw::Document {
        raw::Document {
            environment: environment.to_owned(),
            regions: self.regions,
            links: self.links,
            sites,
            services,
            drains: self.drains,
            locate: self.locate,
            blocks: BTreeMap::new(),
        }
    }
}

/// Divides blocks into [`BUCKETS`] buckets; a block stays in its bucket whatever else changes.
pub fn split_into_buckets(blocks: &BTreeMap<String, String>) -> Vec<Bucket<'_>> {
    let mut buckets = vec![Bucket::new(); BUCKETS];
    for (prefix, site) in blocks {
        buckets[bucket_index(prefix)].insert(prefix, site);
    }
    buckets
}

fn bucket_index(prefix: &str) -> usize {
    (xxh3_64(prefix.as_bytes()) % BUCKETS as u64) as usize
}
