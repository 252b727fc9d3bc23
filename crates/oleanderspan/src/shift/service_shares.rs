//! The shares of one service in force on this host, and the rules by which they move.
//!
//! Every host moves its own shares, so the cap needs no coordination. It is divided into three
//! parts: movement of one host within a window, difference between hosts, and spill-over; see
//! `docs/PROOFS.md`, "A shift and its cap".

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

/// The shares of one service in force on another host.
#[derive(Clone, Debug)]
pub struct PeerShares {
    /// Region of that host.
    pub region: region::Index,
    /// Its shares, by the region of the caller.
    pub vectors: Vec<Vector>,
}

/// The state of regions and peers that decides where shares move.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Whether each region has failed, by region index.
    pub failed: &'a [bool],
    /// Headroom of each region, by region index.
    pub headroom: &'a [Headroom],
    /// Shares in force on other hosts.
    pub peers: &'a [PeerShares],
}

impl ServiceShares {
    /// Starts from the given shares, by the region of the caller.
    pub fn new(shares: Vec<Vector>, now: Instant) -> ServiceShares {
        ServiceShares { slews: shares.into_iter().map(|vector| Slew::new(vector, now)).collect() }
    }

    /// The shares in force, by the region of the caller.
    pub fn shares(&self) -> impl Iterator<Item = &Vector> {
        self.slews.iter().map(Slew::shares)
    }

    /// Moves all shares as far as the caps of `service` allow; returns true if any moved.
    ///
    /// Moving shares out of failed regions takes precedence and is limited by the failover cap.
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

/// Pauses a shift while any region whose share would rise lacks headroom or measurements.
fn permit(from: &Vector, to: &Vector, headroom: &[Headroom]) -> Permit {
    let rises = from.shares().iter().zip(to.shares()).map(|(a, b)| b > a);
    let must_wait = rises.zip(headroom).any(|(rises, room)| rises && *room != Headroom::Available);
    if must_wait { Permit::Wait } else { Permit::Go }
}

/// Narrows the range to the shares of peers that serve the callers of `origin`: those in that
/// region, or all peers if none in that region is known.
fn near_peers(mut range: Range, origin: region::Index, spread: u32, peers: &[PeerShares]) -> Range {
    let is_near = |report: &&PeerShares| report.region == origin;
    let has_near = peers.iter().any(|report| is_near(&report));
    let serving = peers.iter().filter(|report| !has_near || is_near(report));
    for vector in serving.filter_map(|report| report.vectors.get(usize::from(origin.0))) {
        range.narrow(vector, spread);
    }
    range
}
