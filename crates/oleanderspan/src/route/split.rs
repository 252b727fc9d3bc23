//! The services that share the requests of a route.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::service;

/// Shares requests among services by their weights.
///
/// Error diffusion keeps small counts to the weights too: each request adds every weight to its
/// service's credit, and the service with the most credit pays for the request.
#[derive(Debug)]
pub struct Split {
    parts: Box<[Part]>,
    whole: i64,
}

#[derive(Debug)]
struct Part {
    service: service::Name,
    weight: i64,
    credit: AtomicI64,
}

impl Split {
    /// A split among services with weights; those that weigh nothing get no requests.
    ///
    /// Returns `None` if nothing weighs anything.
    pub fn new(shares: impl IntoIterator<Item = (service::Name, u32)>) -> Option<Split> {
        let weighty = shares.into_iter().filter(|(_, weight)| *weight > 0);
        let part = |(service, weight)| Part {
            service,
            weight: i64::from(weight),
            credit: AtomicI64::new(0),
        };
        let parts: Box<[Part]> = weighty.map(part).collect();
        let whole = parts.iter().map(|part| part.weight).sum();
        (whole > 0).then_some(Split { parts, whole })
    }

    /// The service of the next request.
    pub fn next(&self) -> &service::Name {
        let mut best = (i64::MIN, &self.parts[0]);
        for part in &self.parts {
            let credit = part.credit.fetch_add(part.weight, Ordering::AcqRel) + part.weight;
            if credit > best.0 {
                best = (credit, part);
            }
        }
        best.1.credit.fetch_sub(self.whole, Ordering::AcqRel);
        &best.1.service
    }

    /// The services that get requests.
    pub fn services(&self) -> impl Iterator<Item = &service::Name> {
        self.parts.iter().map(|part| &part.service)
    }
}
