//! Where shares shall go: the routes of the document, without the regions that failed.

use crate::{
    region::{self, Headroom},
    service::Service,
    shift,
};

/// The shares wanted for the callers of one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The shares wanted in the end.
    pub shares: shift::Vector,
    /// The shares wanted first, if some have to leave a failed region.
    pub failover: Option<shift::Vector>,
}

impl Target {
    /// The target for callers of `origin` whose shares in force are `current`.
    ///
    /// Without any region left the routes stay as they are: there is nowhere to go. Regions
    /// short of headroom get nothing of what leaves a failed one; if all are short, it stays.
    pub fn new(
        service: &Service,
        origin: region::Index,
        conditions: &shift::service_shares::Conditions<'_>,
        current: &shift::Vector,
    ) -> Target {
        let failed = conditions.failed;
        let routes = &service.routes[usize::from(origin.0)];
        let weights = failover_weights(service, routes, failed);
        if weights.iter().all(|weight| *weight == 0) {
            return Target { shares: routes.clone(), failover: None };
        }
        let is_stranded = current.refused() > 0
            || current.shares().iter().zip(failed).any(|(share, failed)| *failed && *share > 0);
        Target {
            shares: redistributed(routes, failed, &weights),
            failover: is_stranded
                .then(|| evacuated(current, failed, &weights, conditions.headroom)),
        }
    }
}

/// The shares in force with those of failed regions moved to regions that are not short.
fn evacuated(
    current: &shift::Vector,
    failed: &[bool],
    weights: &[u64],
    headroom: &[Headroom],
) -> shift::Vector {
    let able = weights.iter().zip(headroom);
    let able: Vec<u64> =
        able.map(|(weight, room)| if *room == Headroom::Short { 0 } else { *weight }).collect();
    match able.iter().all(|weight| *weight == 0) {
        true => current.clone(),
        false => redistributed(current, failed, &able),
    }
}

/// How the shares of failed regions divide over the others: as the routes do, or as the planned
/// instances do where the routes name no other region.
fn failover_weights(service: &Service, routes: &shift::Vector, failed: &[bool]) -> Vec<u64> {
    let live = |weights: &[u32]| -> Vec<u64> {
        let zipped = weights.iter().zip(failed);
        zipped.map(|(weight, failed)| if *failed { 0 } else { u64::from(*weight) }).collect()
    };
    let routed = live(routes.shares());
    if routed.iter().any(|weight| *weight > 0) { routed } else { live(&service.instances) }
}

/// The shares with those of failed regions, and those that go nowhere, divided by weight.
fn redistributed(from: &shift::Vector, failed: &[bool], weights: &[u64]) -> shift::Vector {
    let kept: Vec<u32> = from
        .shares()
        .iter()
        .zip(failed)
        .map(|(share, failed)| if *failed { 0 } else { *share })
        .collect();
    let freed = u64::from(shift::WHOLE_PPM - kept.iter().sum::<u32>());
    let whole: u64 = weights.iter().sum();
    let mut shares: Vec<u32> = kept
        .iter()
        .zip(weights)
        .map(|(kept, weight)| kept + (freed * weight / whole) as u32)
        .collect();
    let rest = shift::WHOLE_PPM - shares.iter().sum::<u32>();
    let heaviest = weights.iter().enumerate().max_by_key(|(_, weight)| **weight);
    shares[heaviest.map_or(0, |(i, _)| i)] += rest;
    shift::Vector::try_from(shares).unwrap_or_else(|_| from.clone())
}
