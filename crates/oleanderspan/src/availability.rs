//! Availability zones, the smallest part of a region that fails as one.

pub mod topology;

pub use topology::Topology;

use crate::{prelude::*, region};

checked_name! {
    /// The name of an availability zone.
    pub struct Name;
}

key! {
    /// The position of a zone in its document.
    pub struct Index(pub u16);
}

value! {
    /// An availability zone and the region it belongs to.
    pub struct Zone {
        /// Its name, unique in the document.
        pub name: Name,
        /// The region it is part of.
        pub region: region::Index,
    }
}

/// Finds a zone by name.
pub fn find(zones: &[Zone], name: &str) -> Option<Index> {
    let position = zones.iter().position(|zone| zone.name.as_str() == name)?;
    u16::try_from(position).ok().map(Index)
}

/// Zone names by position, for callers that look up many.
pub fn index_by_name(zones: &[Zone]) -> Map<&str, Index> {
    (0u16..).zip(zones).map(|(i, zone)| (zone.name.as_str(), Index(i))).collect()
}
