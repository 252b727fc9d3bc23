//! What a backend server remembers: the objects that it was sent requests for last.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// Objects that are kept track of. Services differ in how many their servers remember, see
/// [`CacheModel`](crate::backend::Warmth); more than this many are not told apart.
pub const CAPACITY: usize = 32;

key! {
    /// The thing that a request is about, as a hash; a server is faster on one that it knows.
    pub struct Object(u64);

    /// How many other objects a server was sent requests for since the last one for an object.
    pub struct ReuseDistance(u8);
}

impl Object {
    /// The object of a hash.
    pub const fn from_hash(hash: u64) -> Object {
        // Zero marks a free place in a server's memory.
        Object(if hash == 0 { 1 } else { hash })
    }

    /// The hash.
    pub const fn hash(self) -> u64 {
        self.0
    }
}

impl ReuseDistance {
    /// The object is not among the last [`CAPACITY`] ones.
    pub const UNKNOWN: ReuseDistance = ReuseDistance(u8::MAX);

    /// A recall from a count of other objects.
    pub fn from_count(others: usize) -> ReuseDistance {
        if others < CAPACITY { ReuseDistance(others as u8) } else { ReuseDistance::UNKNOWN }
    }

    /// A recall as hosts tell each other.
    pub const fn from_number(number: u8) -> ReuseDistance {
        ReuseDistance(number)
    }

    /// The recall as a number.
    pub const fn number(self) -> u8 {
        self.0
    }

    /// The number of other objects, or `None` if the object is unknown.
    pub fn count(self) -> Option<usize> {
        Some(usize::from(self.0)).filter(|others| *others < CAPACITY)
    }
}

/// The objects of one server, least recently used ones first to go.
///
/// Requests at once may both take the place of the oldest one; what is lost is a guess.
#[derive(Debug)]
pub struct RecentObjects {
    objects: [AtomicU64; CAPACITY],
    /// When each was used last, in nanoseconds of the clock and different for each use.
    used: [AtomicU64; CAPACITY],
    latest: AtomicU64,
}

impl RecentObjects {
    /// The memory of a server that has just started.
    pub const fn new() -> RecentObjects {
        RecentObjects {
            objects: [const { AtomicU64::new(0) }; CAPACITY],
            used: [const { AtomicU64::new(0) }; CAPACITY],
            latest: AtomicU64::new(0),
        }
    }

    /// How long ago, in other objects, the server was sent a request for this one.
    pub fn reuse_distance(&self, object: Object) -> ReuseDistance {
        let Some(index) = self.position(object) else { return ReuseDistance::UNKNOWN };
        let used = self.used[index].load(Ordering::Relaxed);
        ReuseDistance::from_count(
            self.used.iter().filter(|other| other.load(Ordering::Relaxed) > used).count(),
        )
    }

    /// Takes note of a request for an object.
    pub fn record(&self, object: Object, now: Instant) {
        let next = |latest: u64| Some(now.as_nanos().max(latest + 1));
        let stamp = self.latest.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        let stamp = stamp.unwrap_or_default().saturating_add(1).max(now.as_nanos());
        let least_recent = || (0..CAPACITY).min_by_key(|i| self.used[*i].load(Ordering::Relaxed));
        let Some(index) = self.position(object).or_else(least_recent) else { return };
        self.objects[index].store(object.0, Ordering::Relaxed);
        self.used[index].store(stamp, Ordering::Relaxed);
    }

    /// The objects and when each was used last, the latest `depth` ones from the latest on.
    pub fn latest(&self, depth: usize) -> Vec<(Object, Instant)> {
        let entries = self.objects.iter().zip(&self.used);
        let mut latest: Vec<(Object, Instant)> = entries
            .map(|(object, used)| (object.load(Ordering::Relaxed), used.load(Ordering::Relaxed)))
            .filter(|(object, _)| *object != 0)
            .map(|(object, used)| (Object(object), Instant::from_nanos(used)))
            .collect();
        latest.sort_by_key(|(_, used)| std::cmp::Reverse(*used));
        latest.truncate(depth);
        latest
    }

    /// Adds objects, the one used last first, as if they had been used shortly before `at`; those
    /// that were used since keep their place.
    pub fn add(&self, objects: &[Object], at: Instant) {
        for (i, object) in (0..).zip(objects) {
            let stamp = at.as_nanos().saturating_sub(i);
            let least_recent =
                || (0..CAPACITY).min_by_key(|i| self.used[*i].load(Ordering::Relaxed));
            let Some(index) = self.position(*object).or_else(least_recent) else { return };
            if self.used[index].load(Ordering::Relaxed) < stamp {
                self.objects[index].store(object.0, Ordering::Relaxed);
                self.used[index].store(stamp, Ordering::Relaxed);
            }
        }
    }

    /// When the object was last used that a server with room for `depth` objects would forget
    /// for another one; none while it has room.
    pub fn last_use_of_next_evicted(&self, depth: usize) -> Option<Instant> {
        let mut used: [u64; CAPACITY] =
            std::array::from_fn(|i| self.used[i].load(Ordering::Relaxed));
        let index = depth.clamp(1, CAPACITY) - 1;
        let (_, used, _) = used.select_nth_unstable_by(index, |a, b| b.cmp(a));
        (*used > 0).then(|| Instant::from_nanos(*used))
    }

    fn position(&self, object: Object) -> Option<usize> {
        self.objects.iter().position(|known| known.load(Ordering::Relaxed) == object.0)
    }
}

impl Default for RecentObjects {
    fn default() -> RecentObjects {
        RecentObjects::new()
    }
}
