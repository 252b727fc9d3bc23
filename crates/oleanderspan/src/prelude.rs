//! The types that nearly every module needs.

pub use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

pub use crate::clock::{Clock, Instant};

/// A hash map with a fast hasher that is seeded at random for each process.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the hasher of [`Map`].
pub type Set<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
