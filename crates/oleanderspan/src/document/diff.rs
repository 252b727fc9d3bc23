//! Effect of a document on traffic compared with another one, shown before it is proposed.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use crate::{document::raw, prelude::*};

/// Share of a region's callers that it serves itself if the document has no route for it.
const DEFAULT_LOCAL_PERCENT: u8 = 100;

value! {
    /// The traffic shares and address blocks that a document would change.
    pub struct Diff {
        /// Traffic shifts of services that are in both documents, by service and caller region.
        pub shifts: Vec<Shift>,
        /// Changes to the blocks of client addresses.
        pub blocks: BlockChanges,
    }

    /// A change to the traffic shares of one service for the callers of one region.
    pub struct Shift {
        /// The name of the service.
        pub service: String,
        /// The region that the callers are in.
        pub origin: String,
        /// The shares that change; regions whose share stays are left out.
        pub changes: Vec<Change>,
        /// The shortest time the shift can take under the service's cap.
        pub min_duration: Duration,
    }

    /// A change to the share of one serving region.
    pub struct Change {
        /// The region that serves the requests.
        pub region: String,
        /// The share before, in percent.
        pub before: u8,
        /// The share after, in percent.
        pub after: u8,
    }

    /// Numbers of changed blocks of client addresses.
    pub struct BlockChanges {
        /// Blocks that only the new document has.
        pub added: usize,
        /// Blocks that only the old document has.
        pub removed: usize,
        /// Blocks that are assigned to a different site.
        pub moved: usize,
    }
}

impl Diff {
    /// Compares `before` with `after`; services that only one of them has are ignored.
    pub fn between(before: &raw::Document, after: &raw::Document) -> Diff {
        let kept = after.services.iter().filter_map(|(name, service)| {
            before.services.get(name).map(|earlier| (name, earlier, service))
        });
        let shifts = kept.flat_map(|(name, earlier, later)| {
            after.regions.keys().filter_map(move |origin| Shift::of(name, origin, earlier, later))
        });
        Diff {
            shifts: shifts.collect(),
            blocks: BlockChanges::between(&before.blocks, &after.blocks),
        }
    }
}

impl Shift {
    fn of(
        service: &str,
        origin: &str,
        before: &raw::Service,
        after: &raw::Service,
    ) -> Option<Shift> {
        let (from, to) = (shares(before, origin), shares(after, origin));
        let regions: BTreeSet<&str> = from.keys().chain(to.keys()).copied().collect();
        let share = |shares: &BTreeMap<&str, u8>, region| shares.get(region).copied().unwrap_or(0);
        let changes = regions.into_iter().map(|region| Change {
            region: region.to_owned(),
            before: share(&from, region),
            after: share(&to, region),
        });
        let changes: Vec<Change> = changes.filter(|change| change.before != change.after).collect();
        let rise = changes.iter().map(|change| change.after.saturating_sub(change.before)).max()?;
        let window = Duration::from_secs(after.shift.window_s.into());
        let min_duration = window * rise.into() / u32::from(after.shift.cap_percent.max(1));
        Some(Shift {
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

    /// Whether both documents have the same blocks.
    pub const fn is_empty(&self) -> bool {
        self.added == 0 && self.removed == 0 && self.moved == 0
    }
}

impl fmt::Display for Shift {
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
