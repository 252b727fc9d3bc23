//! All shares in force of one service on this host, and the rules by which they move.
//!
//! Every host moves its own shares, so the cap needs no agreement. Three parts of the cap add up
//! to the whole: what one host moves within a window, how far two hosts may lie apart, and what
//! may spill over; see `docs/PROOFS.md`, "A shift and its cap".

use crate::{
    prelude::*,
    region::{self, Headroom},
    service::Service,
    shift::{
        Slew, Target, Vector,
        slew::{Permit, Range},
    },
};

/// The shares of one service in force on this host.
#[derive(Clone, Debug)]
pub struct ServiceShares {
    slews: Vec<Slew>,
}

/// What another host said that it has in force.
#[derive(Clone, Debug)]
pub struct PeerShares {
    /// The region of that host.
    pub region: region::Index,
    /// Its shares by the region of the caller.
    pub vectors: Vec<Vector>,
}

/// What is known of the regions and of the other hosts when shares move.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Regions that failed, by region index.
    pub failed: &'a [bool],
    /// What is known of the headroom of regions, by region index.
    pub headroom: &'a [Headroom],
    /// What other hosts have in force.
    pub peers: &'a [PeerShares],
}

impl ServiceShares {
    /// Starts from shares in force, by the region of the caller.
    pub fn new(shares: Vec<Vector>, now: Instant) -> ServiceShares {
        ServiceShares { slews: shares.into_iter().map(|vector| Slew::new(vector, now)).collect() }
    }

    /// The shares in force, by the region of the caller.
    pub fn shares(&self) -> impl Iterator<Item = &Vector> {
        self.slews.iter().map(Slew::shares)
    }

    /// Moves all shares as far as the caps of `service` allow; true if any moved.
    ///
    /// Shares that have to leave a failed region go first, under the cap of failovers.
    pub fn advance(&mut self, service: &Service, conditions: Conditions<'_>, now: Instant) -> bool {
        let mut has_moved = false;
        for (origin, slew) in (0u16..).map(region::Index).zip(&mut self.slews) {
            let before = slew.shares().clone();
            let target = Target::new(service, origin, &conditions, &before);
            let any = Range::any(before.shares().len());
            match &target.failover {
                Some(away) => slew.advance(away, &service.failover, Permit::Go, &any, now),
                None => {
                    let permit = permit(&before, &target.shares, conditions.headroom);
                    let range = near_peers(any, origin, service.shift.spread(), conditions.peers);
                    slew.advance(&target.shares, &service.shift, permit, &range, now);
                }
            }
            has_moved |= *slew.shares() != before;
        }
        has_moved
    }
}

/// A shift waits while any region whose share would rise lacks headroom or measurements.
fn permit(from: &Vector, to: &Vector, headroom: &[Headroom]) -> Permit {
    let rises = from.shares().iter().zip(to.shares()).map(|(a, b)| b > a);
    let must_wait = rises.zip(headroom).any(|(rises, room)| rises && *room != Headroom::Free);
    if must_wait { Permit::Wait } else { Permit::Go }
}

/// Keeps shares near those of the hosts that serve the callers of `origin`: its own, or all
/// where none of its own is known.
fn near_peers(mut range: Range, origin: region::Index, spread: u32, peers: &[PeerShares]) -> Range {
    let is_near = |report: &&PeerShares| report.region == origin;
    let has_near = peers.iter().any(|report| is_near(&report));
    let serving = peers.iter().filter(|report| !has_near || is_near(report));
    for vector in serving.filter_map(|report| report.vectors.get(usize::from(origin.0))) {
        range.narrow(vector, spread);
    }
    range
}
