//! Common imports of the modules of this crate.

pub use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

pub use crate::clock::{Clock, Instant};

/// A hash map with a fast hasher, seeded at random per process.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the same hasher as [`Map`].
pub type Set<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
