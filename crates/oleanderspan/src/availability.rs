//! Availability zones, the smallest failure domains of a region.

pub mod evacuation;
pub mod topology;

pub use evacuation::Evacuations;
pub use topology::Topology;

use crate::{prelude::*, region};

checked_name! {
    /// The name of an availability zone, unique among all regions.
    pub struct Name;
}

key! {
    /// The position of a zone in its document, from 0.
    pub struct Index(pub u16);

    /// The zone of a server and the region that contains it.
    pub struct Location {
        /// The availability zone.
        pub zone: Index,
        /// The region of the zone.
        pub region: region::Index,
    }
}

value! {
    /// An availability zone and its region.
    pub struct Zone {
        /// The name, unique in the document.
        pub name: Name,
        /// The region that contains the zone.
        pub region: region::Index,
    }
}

/// Finds the index of a zone by name.
pub fn find(zones: &[Zone], name: &str) -> Option<Index> {
    let position = zones.iter().position(|zone| zone.name.as_str() == name)?;
    u16::try_from(position).ok().map(Index)
}

/// Builds a map from zone names to indices, for many lookups.
pub fn index_by_name(zones: &[Zone]) -> Map<&str, Index> {
    (0u16..).zip(zones).map(|(i, zone)| (zone.name.as_str(), Index(i))).collect()
}
