//! The objects most recently requested of a backend server, as an estimate of what it has cached.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// Number of objects tracked for each server. Services differ in how many objects their servers
/// cache, see [`CacheModel`](crate::backend::CacheModel); depths beyond this number are not
/// distinguished.
pub const CAPACITY: usize = 32;

key! {
    /// The object that a request is about, as a hash; a server answers faster if it has cached it.
    pub struct Object(u64);

    /// Reuse distance: the number of other objects requested of a server since the last request for
    /// an object.
    pub struct ReuseDistance(u8);
}

impl Object {
    /// The object with this hash; 0 is mapped to 1.
    pub const fn from_hash(hash: u64) -> Object {
        // Zero marks an empty entry in `RecentObjects`.
        Object(if hash == 0 { 1 } else { hash })
    }

    /// The hash, never 0.
    pub const fn hash(self) -> u64 {
        self.0
    }
}

impl ReuseDistance {
    /// The object is not among the last [`CAPACITY`] objects.
    pub const UNKNOWN: ReuseDistance = ReuseDistance(u8::MAX);

    /// The distance for a count of other objects; [`ReuseDistance::UNKNOWN`] from [`CAPACITY`] on.
    pub fn from_count(others: usize) -> ReuseDistance {
        if others < CAPACITY { ReuseDistance(others as u8) } else { ReuseDistance::UNKNOWN }
    }

    /// Decodes a distance received from another host.
    pub const fn from_number(number: u8) -> ReuseDistance {
        ReuseDistance(number)
    }

    /// Encodes the distance for another host.
    pub const fn number(self) -> u8 {
        self.0
    }

    /// The number of other objects, or `None` if the object is unknown.
    pub fn count(self) -> Option<usize> {
        Some(usize::from(self.0)).filter(|others| *others < CAPACITY)
    }
}

/// The most recently requested objects of one server; the least recently used is evicted first.
///
/// Concurrent requests may both replace the same entry. The lost entry only makes the estimate less
/// accurate.
#[derive(Debug)]
pub struct RecentObjects {
    objects: [AtomicU64; CAPACITY],
    /// Time of the last use of each object, in nanoseconds of the clock; unique for each use.
    used: [AtomicU64; CAPACITY],
    latest: AtomicU64,
}

impl RecentObjects {
    /// No objects, as for a server that has just started.
    pub const fn new() -> RecentObjects {
        RecentObjects {
            objects: [const { AtomicU64::new(0) }; CAPACITY],
            used: [const { AtomicU64::new(0) }; CAPACITY],
            latest: AtomicU64::new(0),
        }
    }

    /// The number of other objects used since the last use of `object`.
    pub fn reuse_distance(&self, object: Object) -> ReuseDistance {
        let Some(index) = self.position(object) else { return ReuseDistance::UNKNOWN };
        let used = self.used[index].load(Ordering::Relaxed);
        ReuseDistance::from_count(
            self.used.iter().filter(|other| other.load(Ordering::Relaxed) > used).count(),
        )
    }

    /// Records a request for an object.
    pub fn record(&self, object: Object, now: Instant) {
        let next = |latest: u64| Some(now.as_nanos().max(latest + 1));
        let stamp = self.latest.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        let stamp = stamp.unwrap_or_default().saturating_add(1).max(now.as_nanos());
        let least_recent = || (0..CAPACITY).min_by_key(|i| self.used[*i].load(Ordering::Relaxed));
        let Some(index) = self.position(object).or_else(least_recent) else { return };
        self.objects[index].store(object.0, Ordering::Relaxed);
        self.used[index].store(stamp, Ordering::Relaxed);
    }

    /// Time of the last use of any object; the origin of the clock before the first.
    pub fn last_use(&self) -> Instant {
        Instant::from_nanos(self.latest.load(Ordering::Relaxed))
    }

    /// The `depth` most recently used objects with the time of their last use, latest first.
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

    /// Adds objects, most recently used first, as if used shortly before `at`; entries used since
    /// then are kept.
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

    /// Last use of the object that a server caching `depth` objects would evict for a new one;
    /// `None` while it has room.
    pub fn last_use_of_next_evicted(&self, depth: usize) -> Option<Instant> {
        let mut used: [u64; CAPACITY] =
            std::array::from_fn(|i| self.used[i].load(Ordering::Relaxed));
        let index = depth.clamp(1, CAPACITY) - 1;
        let (_, used, _) = used.select_nth_unstable_by(index, |a, b| b.cmp(a));
        (*used > 0).then(|| Instant::from_nanos(*used))
    }

    fn position(&self, object: Object) -> Option<usize> {
        self.objects.iter().position(|tracked| tracked.load(Ordering::Relaxed) == object.0)
    }
}

impl Default for RecentObjects {
    fn default() -> RecentObjects {
        RecentObjects::new()
    }
}
