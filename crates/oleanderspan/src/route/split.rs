//! Weighted distribution of the requests of a route among services.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::service;

/// A smooth weighted round-robin among services.
///
/// Each request adds the weight of every service to its credit; the service with the most credit
/// gets the request and is charged the sum of all weights. The distribution therefore follows the
/// weights for small numbers of requests too.
#[derive(Debug)]
pub struct Split {
    targets: Box<[Target]>,
    total_weight: i64,
}

#[derive(Debug)]
struct Target {
    service: service::Name,
    weight: i64,
    credit: AtomicI64,
}

impl Split {
    /// Creates a split from services and their weights; services of weight 0 get no requests.
    ///
    /// Returns `None` if all weights are 0.
    pub fn new(shares: impl IntoIterator<Item = (service::Name, u32)>) -> Option<Split> {
        let weighted = shares.into_iter().filter(|(_, weight)| *weight > 0);
        let target = |(service, weight)| Target {
            service,
            weight: i64::from(weight),
            credit: AtomicI64::new(0),
        };
        let targets: Box<[Target]> = weighted.map(target).collect();
        let total_weight = targets.iter().map(|target| target.weight).sum();
        (total_weight > 0).then_some(Split { targets, total_weight })
    }

    /// Selects the service of the next request.
    pub fn next(&self) -> &service::Name {
        let mut best = (i64::MIN, &self.targets[0]);
        for target in &self.targets {
            let credit = target.credit.fetch_add(target.weight, Ordering::AcqRel) + target.weight;
            if credit > best.0 {
                best = (credit, target);
            }
        }
        best.1.credit.fetch_sub(self.total_weight, Ordering::AcqRel);
        &best.1.service
    }

    /// The services with a weight above 0.
    pub fn services(&self) -> impl Iterator<Item = &service::Name> {
        self.targets.iter().map(|target| &target.service)
    }
}
