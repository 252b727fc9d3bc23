//! Target shares: the routes of the document, without failed regions.

use crate::{
    region::{self, Headroom},
    service::Service,
    shift,
};

/// The target shares for callers of one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Final target.
    pub shares: shift::Vector,
    /// Intermediate target with higher priority, if failed regions have shares or some share is
    /// refused.
    pub failover: Option<shift::Vector>,
}

impl Target {
    /// Computes the target for callers of `origin` from their shares in force, `current`.
    ///
    /// If all usable regions have failed, the target is the unchanged routes. Regions short of
    /// headroom receive none of the failed regions' shares; if all are short, the shares stay.
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
        let needs_failover = current.refused() > 0
            || current.shares().iter().zip(failed).any(|(share, failed)| *failed && *share > 0);
        Target {
            shares: redistributed(routes, failed, &weights),
            failover: needs_failover
                .then(|| evacuated(current, failed, &weights, conditions.headroom)),
        }
    }
}

/// Moves the shares of failed regions to regions that are not short of headroom.
fn evacuated(
    current: &shift::Vector,
    failed: &[bool],
    weights: &[u64],
    headroom: &[Headroom],
) -> shift::Vector {
    let available = weights.iter().zip(headroom);
    let available: Vec<u64> = available
        .map(|(weight, room)| if *room == Headroom::Insufficient { 0 } else { *weight })
        .collect();
    match available.iter().all(|weight| *weight == 0) {
        true => current.clone(),
        false => redistributed(current, failed, &available),
    }
}

/// Weights by which the shares of failed regions are divided over the others: the routes, or the
/// planned instances if the routes name no other live region.
fn failover_weights(service: &Service, routes: &shift::Vector, failed: &[bool]) -> Vec<u64> {
    let live = |weights: &[u32]| -> Vec<u64> {
        let zipped = weights.iter().zip(failed);
        zipped.map(|(weight, failed)| if *failed { 0 } else { u64::from(*weight) }).collect()
    };
    let routed = live(routes.shares());
    if routed.iter().any(|weight| *weight > 0) { routed } else { live(&service.instances) }
}

/// Divides the shares of failed regions and the refused share over the regions by weight.
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
