//! The zones and regions in the settings of a host.

use crate::{
    availability::{self, Location},
    region,
};

/// All zones and regions, with the region of each zone.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    regions: Vec<region::Name>,
    zones: Vec<(availability::Name, region::Index)>,
}

impl Topology {
    /// Adds a zone, and its region if that is new. Indices follow the order of the calls.
    pub fn add_zone(&mut self, zone: availability::Name, region: region::Name) {
        let known = self.regions.iter().position(|known| *known == region);
        let position = known.unwrap_or(self.regions.len());
        if position == self.regions.len() {
            self.regions.push(region);
        }
        let position = u16::try_from(position).unwrap_or(u16::MAX);
        self.zones.push((zone, region::Index(position)));
    }

    /// Finds the indices of a zone and its region by the name of the zone.
    pub fn find_zone(&self, zone: &str) -> Option<(availability::Index, region::Index)> {
        let position = self.zones.iter().position(|(known, _)| known.as_str() == zone)?;
        let index = availability::Index(u16::try_from(position).ok()?);
        Some((index, self.zones[position].1))
    }

    /// Finds the location of a server in a zone by the name of the zone.
    pub fn find_location(&self, zone: &str) -> Option<Location> {
        self.find_zone(zone).map(|(zone, region)| Location { zone, region })
    }

    /// The name of a zone, or `None` if the index is unknown.
    pub fn zone_name(&self, zone: availability::Index) -> Option<&availability::Name> {
        self.zones.get(usize::from(zone.0)).map(|(name, _)| name)
    }

    /// Finds the index of a region by name.
    pub fn find_region(&self, name: &str) -> Option<region::Index> {
        let position = self.regions.iter().position(|known| known.as_str() == name)?;
        u16::try_from(position).ok().map(region::Index)
    }

    /// The name of a region, or `None` if the index is unknown.
    pub fn region_name(&self, region: region::Index) -> Option<&region::Name> {
        self.regions.get(usize::from(region.0))
    }

    /// All regions in the order of their indices.
    pub fn regions(&self) -> impl Iterator<Item = (region::Index, &region::Name)> {
        (0u16..).map(region::Index).zip(&self.regions)
    }
}
