//! Content-addressed parts of a document, so that only the parts that changed are sent to other
//! hosts; see `docs/CAPACITY.md`.
//!
//! No part contains the name of the environment, so that a manifest tested in one environment can
//! be promoted to another one unchanged.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::document::{Hash, raw};

/// Children per node of the hash tree of blocks, which has two levels above the buckets.
pub const FAN_OUT: usize = 64;

/// Number of buckets of the hash tree of blocks.
pub const BUCKETS: usize = FAN_OUT * FAN_OUT;

/// The root part of a document; its hash identifies the whole document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The hash of the [`Head`].
    pub head: Hash,
    /// The hash of the part with all sites.
    pub sites: Hash,
    /// The hashes of the services, by service name.
    pub services: BTreeMap<String, Hash>,
    /// The hash of the root [`Node`] of the hash tree of blocks.
    pub blocks: Hash,
}

/// The small sections of a document, stored as one part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Regions by name.
    pub regions: BTreeMap<String, raw::Region>,
    /// Network links between regions.
    pub links: Vec<raw::Link>,
    /// What is being drained.
    pub drains: raw::Drains,
    /// Settings of locate answers.
    pub locate: raw::Locate,
}

/// An inner node of the hash tree of blocks: the hashes of its children, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node(pub Vec<Hash>);

/// The blocks of one bucket: from address prefix to site.
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
    /// Assembles the document of `environment`, leaving its blocks empty.
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

/// Splits blocks into [`BUCKETS`] buckets by a hash of their prefix, so that adding or removing a
/// block changes no bucket but its own.
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
