//! Rendezvous ranks: every host finds the same order without asking anyone.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rank of `host` for `subject`; all builds on all machines compute the same one.
pub fn weight(subject: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(subject.as_bytes(), 0))
}

/// The rank of `host` for a subject that is known by its hash.
pub fn weight_for_hash(subject: u64, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), subject)
}

/// Sorts hosts by falling rank; equal ranks fall back to the name.
pub fn sort<T>(hosts: &mut [T], subject: &str, name: impl Fn(&T) -> &str) {
    hosts.sort_by_cached_key(|host| {
        let name = name(host);
        (Reverse(weight(subject, name)), name.to_owned())
    });
}

/// The host of the highest rank.
pub fn highest<'a, T>(
    hosts: impl IntoIterator<Item = &'a T>,
    subject: &str,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    hosts.into_iter().max_by(|a, b| {
        let (a, b) = (name(a), name(b));
        weight(subject, a).cmp(&weight(subject, b)).then_with(|| b.cmp(a))
    })
}
