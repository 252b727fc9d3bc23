//! Choice of a region for each request so that small counts keep to the shares too.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::{region, shift};

/// Spreads requests over regions by error diffusion.
///
/// Every request adds each region's share to its credit, and the region with the most credit
/// pays for the request. Two requests at once may both see the same credit; the error is paid
/// back by the next ones, so that it never grows.
#[derive(Debug)]
pub struct Diffuser {
    credits: Box<[AtomicI64]>,
}

impl Diffuser {
    /// A diffuser over `regions` regions.
    pub fn new(regions: usize) -> Diffuser {
        Diffuser { credits: (0..regions).map(|_| AtomicI64::new(0)).collect() }
    }

    /// Chooses the region of the next request.
    pub fn next(&self, shares: &shift::Vector) -> region::Index {
        let mut best = (i64::MIN, 0u16);
        for ((i, credit), share) in (0u16..).zip(&self.credits).zip(shares.shares()) {
            if *share == 0 && credit.load(Ordering::Relaxed) <= 0 {
                continue;
            }
            let share = i64::from(*share);
            let now = credit.fetch_add(share, Ordering::AcqRel) + share;
            if share > 0 && now > best.0 {
                best = (now, i);
            }
        }
        let paid = &self.credits[usize::from(best.1)];
        paid.fetch_sub(i64::from(shift::WHOLE_PPM), Ordering::AcqRel);
        region::Index(best.1)
    }
}
