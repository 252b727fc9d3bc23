//! Rendezvous hashing: all hosts compute the same order without coordination.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rendezvous weight of `host` for `subject`; it is the same for all builds and machines.
pub fn weight(subject: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), xxh3_64_with_seed(subject.as_bytes(), 0))
}

/// The rendezvous weight of `host` for a subject given by its hash.
pub fn weight_for_hash(subject: u64, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), subject)
}

/// Sorts hosts by descending weight; ties are broken by name.
pub fn sort<T>(hosts: &mut [T], subject: &str, name: impl Fn(&T) -> &str) {
    hosts.sort_by_cached_key(|host| {
        let name = name(host);
        (Reverse(weight(subject, name)), name.to_owned())
    });
}

/// The host with the highest weight, or `None` if there are no hosts; ties go to the lowest name.
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
