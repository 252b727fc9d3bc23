//! Digests that show two hosts whether their membership differs, and in which buckets.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::entry::membership::Member;

/// Number of buckets that are compared separately, so that a difference in one host transfers
/// only a small part of the list.
pub const BUCKETS: usize = 64;

/// A per-bucket XOR digest of all members; adding and removing a member is the same operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest([u64; BUCKETS]);

impl Digest {
    /// The digest of an empty membership.
    pub const EMPTY: Digest = Digest([0; BUCKETS]);

    /// Adds a member that is not included, or removes one that is.
    pub fn toggle(&mut self, member: &Member) {
        let name = member.name.as_str().as_bytes();
        let seed = member.incarnation.0.wrapping_mul(8) + member.state as u64;
        self.0[bucket(name)] ^= xxh3_64_with_seed(name, seed);
    }

    /// Combines all buckets into one number.
    pub fn sum(&self) -> u64 {
        self.0.iter().fold(0, |sum, part| sum.rotate_left(1) ^ part)
    }

    /// The bucket digests, of which there are [`BUCKETS`].
    pub fn buckets(&self) -> &[u64] {
        &self.0
    }

    /// Whether `theirs` differs in the bucket of `member`; a bucket missing from `theirs` counts as
    /// different.
    pub fn differs_for(&self, theirs: &[u64], member: &Member) -> bool {
        let bucket = bucket(member.name.as_str().as_bytes());
        theirs.get(bucket) != Some(&self.0[bucket])
    }
}

fn bucket(name: &[u8]) -> usize {
    (xxh3_64(name) % BUCKETS as u64) as usize
}
