//! What one document would move against another, told before it is proposed.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::{document::raw, prelude::*};

/// The share of callers that a region serves for itself where no route is written, in percent.
const DEFAULT_LOCAL_PERCENT: u8 = 100;

value! {
    /// What a document would move.
    pub struct DocumentDiff {
        /// Shifts of traffic, by service and by region of the caller.
        pub shifts: Vec<TrafficShift>,
        /// Blocks of clients.
        pub blocks: BlockChanges,
    }

    /// One vector of shares that changes.
    pub struct TrafficShift {
        /// The service.
        pub service: String,
        /// The region of the callers.
        pub origin: String,
        /// The regions whose share changes.
        pub changes: Vec<ShareChange>,
        /// The least time that the cap allows for it.
        pub min_duration: Duration,
    }

    /// One share that changes.
    pub struct ShareChange {
        /// The region that serves.
        pub region: String,
        /// The share before, in percent.
        pub before: u8,
        /// The share after, in percent.
        pub after: u8,
    }

    /// Counts of blocks that change.
    pub struct BlockChanges {
        /// Blocks that are new.
        pub added: usize,
        /// Blocks that are gone.
        pub removed: usize,
        /// Blocks that belong to another site.
        pub moved: usize,
    }
}

impl DocumentDiff {
    /// Compares two documents.
    pub fn between(before: &raw::Document, after: &raw::Document) -> DocumentDiff {
        let kept = after.services.iter().filter_map(|(name, service)| {
            before.services.get(name).map(|earlier| (name, earlier, service))
        });
        let shifts = kept.flat_map(|(name, earlier, later)| {
            after
                .regions
                .keys()
                .filter_map(move |origin| TrafficShift::of(name, origin, earlier, later))
        });
        DocumentDiff {
            shifts: shifts.collect(),
            blocks: BlockChanges::between(&before.blocks, &after.blocks),
        }
    }
}

impl TrafficShift {
    fn of(
        service: &str,
        origin: &str,
        before: &raw::Service,
        after: &raw::Service,
    ) -> Option<TrafficShift> {
        let (from, to) = (shares(before, origin), shares(after, origin));
        let regions: BTreeSet<&str> = from.keys().chain(to.keys()).copied().collect();
        let share = |shares: &BTreeMap<&str, u8>, region| shares.get(region).copied().unwrap_or(0);
        let changes = regions.into_iter().map(|region| ShareChange {
            region: region.to_owned(),
            before: share(&from, region),
            after: share(&to, region),
        });
        let changes: Vec<ShareChange> =
            changes.filter(|change| change.before != change.after).collect();
        let rise = changes.iter().map(|change| change.after.saturating_sub(change.before)).max()?;
        let window = Duration::from_secs(after.shift.window_s.into());
        let min_duration = window * rise.into() / u32::from(after.shift.cap_percent.max(1));
        Some(TrafficShift {
            service: service.to_owned(),
            origin: origin.to_owned(),
            changes,
            min_duration,
        })
    }
}

fn shares<'a>(service: &'a raw::Service, origin: &'a str) -> BTreeMap<&'a str, u8> {
    match service.routes.get(origin) {
        Some(shares) => shares.iter().map(|(region, share)| (region.as_str(), *share)).collect(),
        None => BTreeMap::from([(origin, DEFAULT_LOCAL_PERCENT)]),
    }
}

impl BlockChanges {
    fn between(
        before: &BTreeMap<String, String>,
        after: &BTreeMap<String, String>,
    ) -> BlockChanges {
        let is_moved = |(prefix, site): &(&String, &String)| {
            before.get(*prefix).is_some_and(|earlier| earlier != *site)
        };
        BlockChanges {
            added: after.keys().filter(|prefix| !before.contains_key(*prefix)).count(),
            removed: before.keys().filter(|prefix| !after.contains_key(*prefix)).count(),
            moved: after.iter().filter(is_moved).count(),
        }
    }

    /// Whether no block changes.
    pub const fn is_empty(&self) -> bool {
        self.added == 0 && self.removed == 0 && self.moved == 0
    }
}

impl fmt::Display for TrafficShift {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "services.{}: callers of {}:", self.service, self.origin)?;
        for change in &self.changes {
            write!(f, " {} {}% -> {}%,", change.region, change.before, change.after)?;
        }
        write!(f, " in no less than {} s", self.min_duration.as_secs_f64())
    }
}

impl fmt::Display for BlockChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "blocks: {} added, {} removed, {} moved", self.added, self.removed, self.moved)
    }
}
