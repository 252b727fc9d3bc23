//! Parts of documents as bytes: splitting, gathering the ones that a host lacks, and joining.

use std::{collections::BTreeMap, fmt};

use bytes::Bytes;
use oleanderspan::{
    document::{
        Hash,
        part::{self, Head, Manifest, TreeNode},
        raw,
    },
    prelude::*,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::codec;

/// The most parts that are asked for at once.
pub const MAX_PARTS_PER_FETCH: usize = 256;

/// All parts of one document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parts {
    root: Hash,
    by_hash: Map<Hash, Bytes>,
}

/// Where parts come from.
pub trait Source: Sync {
    /// Fetches the parts with these hashes, at most [`MAX_BATCH`], in their order.
    fn fetch(&self, hashes: &[Hash]) -> impl Future<Output = Result<Vec<Bytes>, Error>> + Send;
}

/// What a host gathered, and what that took.
#[derive(Clone, Debug)]
pub struct LoadedParts {
    /// The parts.
    pub parts: Parts,
    /// Bytes that were fetched.
    pub fetched_bytes: usize,
    /// Parts that were fetched.
    pub fetched_parts: usize,
}

impl Parts {
    /// Splits a document.
    pub fn split(raw: &raw::Document) -> Result<Parts, Error> {
        let mut by_hash = Map::default();
        let mut builder = Builder { by_hash: &mut by_hash };
        let services = raw.services.iter();
        let services = services.map(|(name, service)| Ok((name.clone(), builder.add(service)?)));
        let services: BTreeMap<String, Hash> = services.collect::<Result<_, Error>>()?;
        let manifest = Manifest {
            head: builder.add(&Head::from(raw))?,
            sites: builder.add(&raw.sites)?,
            services,
            blocks: builder.add_blocks(&raw.blocks)?,
        };
        let root = builder.add(&manifest)?;
        Ok(Parts { root, by_hash })
    }

    /// Gathers the document with the hash `root`; parts that `known` has are not fetched.
    pub async fn load<S: Source>(
        root: Hash,
        known: Option<&Parts>,
        source: &S,
    ) -> Result<LoadedParts, Error> {
        let mut loader = Loader::new(known.map(|known| &known.by_hash), source);
        let manifest: Manifest = loader.load_one(root).await?;
        let services = manifest.services.values().copied();
        let small: Vec<Hash> =
            [manifest.head, manifest.sites].into_iter().chain(services).collect();
        loader.load(&small).await?;
        loader.load_blocks(manifest.blocks).await?;
        Ok(loader.finish(root))
    }

    /// Gathers the blocks below the root node `root` only.
    pub async fn load_blocks<S: Source>(
        root: Hash,
        known: Option<&Parts>,
        source: &S,
    ) -> Result<LoadedParts, Error> {
        let mut loader = Loader::new(known.map(|known| &known.by_hash), source);
        loader.load_blocks(root).await?;
        Ok(loader.finish(root))
    }

    /// The hash that identifies the document.
    pub const fn root(&self) -> Hash {
        self.root
    }

    /// A part.
    pub fn get(&self, hash: &Hash) -> Option<&Bytes> {
        self.by_hash.get(hash)
    }

    /// The parts that `other` lacks.
    pub fn missing_from<'a>(
        &'a self,
        other: Option<&'a Parts>,
    ) -> impl Iterator<Item = (&'a Hash, &'a Bytes)> {
        self.by_hash
            .iter()
            .filter(move |(hash, _)| other.is_none_or(|o| !o.by_hash.contains_key(*hash)))
    }

    /// The root of the parts.
    pub fn manifest(&self) -> Result<Manifest, Error> {
        self.read(&self.root)
    }

    /// The document for `environment`, without its blocks.
    pub fn without_blocks(&self, environment: &str) -> Result<raw::Document, Error> {
        let manifest = self.manifest()?;
        let head: Head = self.read(&manifest.head)?;
        let services = manifest.services.into_iter();
        let services = services.map(|(name, hash)| Ok((name, self.read(&hash)?)));
        let services = services.collect::<Result<_, Error>>()?;
        Ok(head.document(environment, self.read(&manifest.sites)?, services))
    }

    /// The whole document for `environment`.
    pub fn document(&self, environment: &str) -> Result<raw::Document, Error> {
        let mut document = self.without_blocks(environment)?;
        for bucket in self.buckets(self.manifest()?.blocks)? {
            document.blocks.extend(self.read::<BTreeMap<String, String>>(&bucket)?);
        }
        Ok(document)
    }

    /// The buckets below the root node `root`, each once.
    pub fn buckets(&self, root: Hash) -> Result<Set<Hash>, Error> {
        let mut buckets = Set::default();
        for node in self.read::<TreeNode>(&root)?.0 {
            buckets.extend(self.read::<TreeNode>(&node)?.0);
        }
        Ok(buckets)
    }

    /// Reads a part.
    pub fn read<T: DeserializeOwned>(&self, hash: &Hash) -> Result<T, Error> {
        let bytes = self.by_hash.get(hash).ok_or(Error::Missing(*hash))?;
        Ok(codec::from_wire(bytes)?)
    }
}

struct Builder<'a> {
    by_hash: &'a mut Map<Hash, Bytes>,
}

impl Builder<'_> {
    fn add<T: Serialize>(&mut self, part: &T) -> Result<Hash, Error> {
        let bytes = Bytes::from(codec::to_wire(part)?);
        let hash = codec::content_hash(&bytes);
        self.by_hash.insert(hash, bytes);
        Ok(hash)
    }

    /// Adds the tree of blocks; most buckets of a small document are the same empty one.
    fn add_blocks(&mut self, blocks: &BTreeMap<String, String>) -> Result<Hash, Error> {
        let buckets = part::split_into_buckets(blocks);
        let empty = self.add(&part::Bucket::new())?;
        let buckets = buckets.iter();
        let buckets = buckets.map(|b| if b.is_empty() { Ok(empty) } else { self.add(b) });
        let buckets = buckets.collect::<Result<Vec<Hash>, Error>>()?;
        let nodes =
            buckets.chunks(part::FAN_OUT).map(|children| self.add(&TreeNode(children.into())));
        let nodes = nodes.collect::<Result<Vec<Hash>, Error>>()?;
        self.add(&TreeNode(nodes))
    }
}

struct Loader<'a, S> {
    known: Option<&'a Map<Hash, Bytes>>,
    source: &'a S,
    by_hash: Map<Hash, Bytes>,
    fetched_bytes: usize,
    fetched_parts: usize,
}

impl<'a, S: Source> Loader<'a, S> {
    fn new(known: Option<&'a Map<Hash, Bytes>>, source: &'a S) -> Loader<'a, S> {
        Loader { known, source, by_hash: Map::default(), fetched_bytes: 0, fetched_parts: 0 }
    }

    fn finish(self, root: Hash) -> LoadedParts {
        LoadedParts {
            parts: Parts { root, by_hash: self.by_hash },
            fetched_bytes: self.fetched_bytes,
            fetched_parts: self.fetched_parts,
        }
    }

    async fn load_blocks(&mut self, root: Hash) -> Result<(), Error> {
        let nodes = self.load_one::<TreeNode>(root).await?.0;
        self.load(&nodes).await?;
        let mut buckets = Vec::with_capacity(part::BUCKETS);
        for node in &nodes {
            buckets.extend(self.read::<TreeNode>(node)?.0);
        }
        self.load(&buckets).await
    }

    async fn load_one<T: DeserializeOwned>(&mut self, hash: Hash) -> Result<T, Error> {
        self.load(&[hash]).await?;
        self.read(&hash)
    }

    /// Takes parts over from those known and fetches the rest, each against its hash.
    async fn load(&mut self, hashes: &[Hash]) -> Result<(), Error> {
        let mut missing = Vec::new();
        for hash in hashes {
            if let Some(bytes) = self.known.and_then(|known| known.get(hash)) {
                self.by_hash.insert(*hash, bytes.clone());
            } else if !self.by_hash.contains_key(hash) {
                missing.push(*hash);
            }
        }
        missing.sort_unstable();
        missing.dedup();
        for batch in missing.chunks(MAX_PARTS_PER_FETCH) {
            let parts = self.source.fetch(batch).await?;
            if parts.len() != batch.len() {
                return Err(Error::Missing(batch[parts.len().min(batch.len() - 1)]));
            }
            for (hash, bytes) in batch.iter().zip(parts) {
                self.insert_verified(*hash, bytes)?;
            }
        }
        Ok(())
    }

    fn insert_verified(&mut self, hash: Hash, bytes: Bytes) -> Result<(), Error> {
        if codec::content_hash(&bytes) != hash {
            return Err(Error::Mismatch(hash));
        }
        self.fetched_bytes += bytes.len();
        self.fetched_parts += 1;
        self.by_hash.insert(hash, bytes);
        Ok(())
    }

    fn read<T: DeserializeOwned>(&self, hash: &Hash) -> Result<T, Error> {
        let bytes = self.by_hash.get(hash).ok_or(Error::Missing(*hash))?;
        Ok(codec::from_wire(bytes)?)
    }
}

/// Why parts could not be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The source does not have a part.
    Missing(Hash),
    /// The source sent other bytes than those that the hash stands for.
    Mismatch(Hash),
    /// The source did not answer.
    Source(String),
    /// The bytes are no such part.
    Codec(codec::Error),
}

impl From<codec::Error> for Error {
    fn from(error: codec::Error) -> Error {
        Error::Codec(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Missing(hash) => write!(f, "no part {hash}"),
            Error::Mismatch(hash) => write!(f, "part {hash} has other bytes"),
            Error::Source(reason) => f.write_str(reason),
            Error::Codec(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
