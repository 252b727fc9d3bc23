//! The estimated cache contents of a pool's servers, as transferred to the next host that allocates
//! their slots.
//!
//! Without this transfer, when the allocating host stops (or all hosts do), the servers still have
//! their objects cached, but the next host does not know which. It sends requests to servers that
//! take several times as long, until it has learned the contents again.

use crate::{
    backend::{Object, Pool, Waiter, server::Identity},
    prelude::*,
};

/// Maximum number of objects in a [`CacheState`], so that it fits into a row of the platform's
/// store (64 KB).
pub const MAX_OBJECTS: usize = 4_000;

/// Number of objects whose space a server's name and start take.
const OBJECTS_PER_IDENTITY: usize = 8;

/// Age at which imported objects count as last used, so that recent observations take precedence.
const IMPORTED_AGE: Duration = Duration::from_millis(1_000);

value! {
    /// The estimated cache contents of servers, and the estimates that they rest on.
    #[derive(Default)]
    pub struct CacheState {
        /// The estimated number of objects that a server caches.
        pub depth: usize,
        /// Median latencies on known and on unknown objects; see
        /// [`CacheModel::latencies`](crate::backend::CacheModel::latencies).
        pub latencies: Option<(Duration, Duration)>,
        /// The objects of each server, most recently used first.
        pub servers: Vec<(Identity, Vec<Object>)>,
    }
}

impl<W: Waiter> Pool<W> {
    /// The current estimate, limited to [`MAX_OBJECTS`]; the most recently used servers are kept.
    pub fn cache_state(&self) -> CacheState {
        let depth = self.cache_model().depth();
        let servers = self.servers();
        let mut candidates: Vec<_> = servers
            .iter()
            .map(|server| (server, server.objects(depth)))
            .filter(|(_, objects)| !objects.is_empty())
            .collect();
        candidates
            .sort_by_key(|(_, objects)| std::cmp::Reverse(objects.first().map(|(_, at)| *at)));
        let mut remaining = MAX_OBJECTS;
        let mut exported = Vec::new();
        for (server, objects) in candidates {
            let size = objects.len() + OBJECTS_PER_IDENTITY;
            if size > remaining {
                break;
            }
            remaining -= size;
            let objects = objects.into_iter().map(|(object, _)| object).collect();
            exported.push((server.identity.clone(), objects));
        }
        CacheState { depth, latencies: self.cache_model().latencies(), servers: exported }
    }

    /// Imports the estimate of another host. Returns the number of servers that have not restarted
    /// since, and whose objects were imported.
    pub fn import_cache_state(&self, cache_state: &CacheState, now: Instant) -> usize {
        self.cache_model().import(cache_state.depth, cache_state.latencies);
        let by_name: Map<_, _> = cache_state
            .servers
            .iter()
            .map(|(identity, objects)| (&identity.name, (identity.incarnation, objects)))
            .collect();
        let mut imported = 0;
        for server in self.servers().iter() {
            let Some((incarnation, objects)) = by_name.get(&server.identity.name) else { continue };
            // A restarted server has an empty cache.
            if *incarnation == server.identity.incarnation {
                server.import_objects(objects, now - IMPORTED_AGE);
                imported += 1;
            }
        }
        imported
    }
}
