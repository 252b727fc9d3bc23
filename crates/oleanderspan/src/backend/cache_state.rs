//! What the servers of a pool remember, as one host hands it to the next that gives out their slots.
//!
//! The fault that this answers: the host that gives out slots stops, or all hosts do. The servers
//! still know their objects, but the next host does not know which, and sends requests to others
//! that take several times as long, until all have learned again.

use crate::{
    backend::{Object, Pool, Waiter, server::Identity},
    prelude::*,
};

/// The most objects that are handed on, so that they fit into a row of the platform's store: 64 KB.
pub const MAX_OBJECTS: usize = 4_000;

/// The objects that a server's name and start take the place of.
const OBJECTS_PER_IDENTITY: usize = 8;

/// How long ago handed-on objects count as used: whatever was seen since counts for more.
const IMPORTED_AGE: Duration = Duration::from_millis(1_000);

value! {
    /// What servers remember, and how that was learned to matter.
    #[derive(Default)]
    pub struct CacheState {
        /// The number of objects that a server remembers.
        pub depth: usize,
        /// The usual latencies on known and on unknown objects, if they differ.
        pub latencies: Option<(Duration, Duration)>,
        /// The objects of each server, the one used last first.
        pub servers: Vec<(Identity, Vec<Object>)>,
    }
}

impl<W: Waiter> Pool<W> {
    /// What the servers remember now; those used last if it is too much.
    pub fn cache_state(&self) -> CacheState {
        let depth = self.cache_model().depth();
        let servers = self.servers();
        let mut known: Vec<_> = servers
            .iter()
            .map(|server| (server, server.objects(depth)))
            .filter(|(_, objects)| !objects.is_empty())
            .collect();
        known.sort_by_key(|(_, objects)| std::cmp::Reverse(objects.first().map(|(_, at)| *at)));
        let mut remaining = MAX_OBJECTS;
        let mut kept = Vec::new();
        for (server, objects) in known {
            let size = objects.len() + OBJECTS_PER_IDENTITY;
            if size > remaining {
                break;
            }
            remaining -= size;
            let objects = objects.into_iter().map(|(object, _)| object).collect();
            kept.push((server.identity.clone(), objects));
        }
        CacheState { depth, latencies: self.cache_model().latencies(), servers: kept }
    }

    /// Takes over what another host knew. Returns how many servers were still the same ones.
    pub fn import_cache_state(&self, cache_state: &CacheState, now: Instant) -> usize {
        self.cache_model().import(cache_state.depth, cache_state.latencies);
        let known: Map<_, _> = cache_state
            .servers
            .iter()
            .map(|(identity, objects)| (&identity.name, (identity.incarnation, objects)))
            .collect();
        let mut same = 0;
        for server in self.servers().iter() {
            let Some((incarnation, objects)) = known.get(&server.identity.name) else { continue };
            // A server that has started anew knows nothing.
            if *incarnation == server.identity.incarnation {
                server.import_objects(objects, now - IMPORTED_AGE);
                same += 1;
            }
        }
        same
    }
}
