//! Documents as encoded parts: splitting, fetching the parts that a host lacks, and joining.

use std::{collections::BTreeMap, fmt};

use bytes::Bytes;
use oleanderspan::{
    document::{
        Hash,
        part::{self, Head, Manifest, Node},
        raw,
    },
    prelude::*,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::codec;

/// Maximum number of parts in one request.
pub const MAX_PARTS_PER_FETCH: usize = 256;

/// Encoded parts of one document, or of its blocks only, by content hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parts {
    root: Hash,
    by_hash: Map<Hash, Bytes>,
}

/// Source from which missing parts are fetched.
pub trait Source: Sync {
    /// Fetches the parts with these hashes, in the same order. There are 1 to
    /// [`MAX_PARTS_PER_FETCH`] hashes.
    fn fetch(&self, hashes: &[Hash]) -> impl Future<Output = Result<Vec<Bytes>, Error>> + Send;
}

/// Parts that were loaded, and the amount fetched for it.
#[derive(Clone, Debug)]
pub struct LoadedParts {
    /// The parts, including those that were already known.
    pub parts: Parts,
    /// Number of bytes fetched.
    pub fetched_bytes: usize,
    /// Number of parts fetched.
    pub fetched_parts: usize,
}

impl Parts {
    /// Splits a document into parts. Fails if a part cannot be encoded.
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

    /// Loads the document with the hash `root`; parts that are in `known` are not fetched.
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

    /// Loads only the blocks below the root node `root`; parts that are in `known` are not fetched.
    pub async fn load_blocks<S: Source>(
        root: Hash,
        known: Option<&Parts>,
        source: &S,
    ) -> Result<LoadedParts, Error> {
        let mut loader = Loader::new(known.map(|known| &known.by_hash), source);
        loader.load_blocks(root).await?;
        Ok(loader.finish(root))
    }

    /// The hash that identifies the document, or the root node if only blocks were loaded.
    pub const fn root(&self) -> Hash {
        self.root
    }

    /// The encoded part with this hash, if present.
    pub fn get(&self, hash: &Hash) -> Option<&Bytes> {
        self.by_hash.get(hash)
    }

    /// The parts that are missing from `other`.
    pub fn missing_from<'a>(
        &'a self,
        other: Option<&'a Parts>,
    ) -> impl Iterator<Item = (&'a Hash, &'a Bytes)> {
        self.by_hash
            .iter()
            .filter(move |(hash, _)| other.is_none_or(|o| !o.by_hash.contains_key(*hash)))
    }

    /// The manifest, which lists the hashes of the other parts. Fails if only blocks were loaded.
    pub fn manifest(&self) -> Result<Manifest, Error> {
        self.read(&self.root)
    }

    /// Joins the document for `environment`, without its blocks.
    pub fn without_blocks(&self, environment: &str) -> Result<raw::Document, Error> {
        let manifest = self.manifest()?;
        let head: Head = self.read(&manifest.head)?;
        let services = manifest.services.into_iter();
        let services = services.map(|(name, hash)| Ok((name, self.read(&hash)?)));
        let services = services.collect::<Result<_, Error>>()?;
        Ok(head.document(environment, self.read(&manifest.sites)?, services))
    }

    /// Joins the complete document for `environment`.
    pub fn document(&self, environment: &str) -> Result<raw::Document, Error> {
        let mut document = self.without_blocks(environment)?;
        for bucket in self.buckets(self.manifest()?.blocks)? {
            document.blocks.extend(self.read::<BTreeMap<String, String>>(&bucket)?);
        }
        Ok(document)
    }

    /// The hashes of the buckets below the root node `root`, without duplicates.
    pub fn buckets(&self, root: Hash) -> Result<Set<Hash>, Error> {
        let mut buckets = Set::default();
        for node in self.read::<Node>(&root)?.0 {
            buckets.extend(self.read::<Node>(&node)?.0);
        }
        Ok(buckets)
    }

    /// Decodes the part with this hash. Fails if it is missing or of another type.
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

    /// Adds the tree of blocks. Most buckets of a small document are empty and share one part,
    /// which is encoded once.
    fn add_blocks(&mut self, blocks: &BTreeMap<String, String>) -> Result<Hash, Error> {
        let buckets = part::split_into_buckets(blocks);
        let empty = self.add(&part::Bucket::new())?;
        let buckets = buckets.iter();
        let buckets = buckets.map(|b| if b.is_empty() { Ok(empty) } else { self.add(b) });
        let buckets = buckets.collect::<Result<Vec<Hash>, Error>>()?;
        let nodes = buckets.chunks(part::FAN_OUT).map(|children| self.add(&Node(children.into())));
        let nodes = nodes.collect::<Result<Vec<Hash>, Error>>()?;
        self.add(&Node(nodes))
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
        let nodes = self.load_one::<Node>(root).await?.0;
        self.load(&nodes).await?;
        let mut buckets = Vec::with_capacity(part::BUCKETS);
        for node in &nodes {
            buckets.extend(self.read::<Node>(node)?.0);
        }
        self.load(&buckets).await
    }

    async fn load_one<T: DeserializeOwned>(&mut self, hash: Hash) -> Result<T, Error> {
        self.load(&[hash]).await?;
        self.read(&hash)
    }

    /// Copies parts from the known ones, fetches the rest and verifies each against its hash.
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

/// Reason why parts could not be loaded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The part is not available from the source, or is not among the loaded parts.
    Missing(Hash),
    /// The bytes from the source do not match the hash of the part.
    Mismatch(Hash),
    /// The source failed or did not answer.
    Source(String),
    /// The part could not be encoded or decoded.
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
            Error::Missing(hash) => write!(f, "document part {hash} is missing"),
            Error::Mismatch(hash) => write!(f, "document part {hash} does not match its hash"),
            Error::Source(reason) => f.write_str(reason),
            Error::Codec(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
