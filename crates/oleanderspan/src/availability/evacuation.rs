//! Which zones are evacuated, also while the platform's store has lost the evacuation.

use crate::{availability::Index, prelude::*};

/// How long an evacuation that a restored store does not list stays in effect: the operator writes
/// again what the store has lost.
const RESTORE_GRACE: Duration = Duration::from_millis(2_000);

/// The evacuated zones, which must not receive requests.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// With the time at which an evacuation ends unless it is listed again.
    zones: Map<Index, Option<Instant>>,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: Index) -> bool {
        self.zones.contains_key(&zone)
    }

    /// Begins or confirms the evacuation of a zone; returns whether it has begun.
    pub fn begin(&mut self, zone: Index) -> bool {
        self.zones.insert(zone, None).is_none()
    }

    /// Ends the evacuation of a zone; returns whether it was in effect.
    pub fn end(&mut self, zone: Index) -> bool {
        self.zones.remove(&zone).is_some()
    }

    /// The zones whose evacuation has ended according to a complete list of the store.
    pub fn missing_from(&self, listed: &Set<Index>) -> Vec<Index> {
        let ends = |(zone, ends): (&Index, &Option<Instant>)| {
            (ends.is_none() && !listed.contains(zone)).then_some(*zone)
        };
        self.zones.iter().filter_map(ends).collect()
    }

    /// Lets the evacuations end later that are missing from the list of a store that has come back
    /// from an older copy.
    pub fn keep_missing_from(&mut self, listed: &Set<Index>, now: Instant) {
        let missing = self.zones.iter_mut().filter(|(zone, _)| !listed.contains(*zone));
        missing.for_each(|(_, ends)| *ends = Some(now + RESTORE_GRACE));
    }

    /// The zones whose evacuation nobody has listed again in time.
    pub fn expired(&self, now: Instant) -> Vec<Index> {
        let is_expired = |ends: &Option<Instant>| ends.is_some_and(|ends| ends <= now);
        let expired = self.zones.iter().filter(|(_, ends)| is_expired(ends));
        expired.map(|(zone, _)| *zone).collect()
    }
}
