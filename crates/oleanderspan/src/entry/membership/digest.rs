//! Digests by which two hosts find out that they know different things, and which.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::entry::membership::Member;

/// Parts of the membership that are compared one by one, so that a difference of one host moves
/// a small part of the list.
pub const BUCKETS: usize = 64;

/// A digest of all members by bucket; a member is added and taken out by the same operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest([u64; BUCKETS]);

impl Digest {
    /// The digest of no members.
    pub const EMPTY: Digest = Digest([0; BUCKETS]);

    /// Adds a member that was not in, or takes out one that was.
    pub fn toggle(&mut self, member: &Member) {
        let name = member.name.as_str().as_bytes();
        let seed = member.incarnation.0.wrapping_mul(8) + member.state as u64;
        self.0[bucket(name)] ^= xxh3_64_with_seed(name, seed);
    }

    /// All buckets as one number.
    pub fn sum(&self) -> u64 {
        self.0.iter().fold(0, |sum, part| sum.rotate_left(1) ^ part)
    }

    /// The digest of each bucket.
    pub fn buckets(&self) -> &[u64] {
        &self.0
    }

    /// Whether `theirs` differs in the bucket of a member; a list of another length differs.
    pub fn differs_for(&self, theirs: &[u64], member: &Member) -> bool {
        let bucket = bucket(member.name.as_str().as_bytes());
        theirs.get(bucket) != Some(&self.0[bucket])
    }
}

fn bucket(name: &[u8]) -> usize {
    (xxh3_64(name) % BUCKETS as u64) as usize
}
