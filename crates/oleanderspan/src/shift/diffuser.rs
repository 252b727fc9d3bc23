//! Choice of a region for each request so that small counts keep to the shares too.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::{region, shift};

/// Spreads requests over regions by error diffusion.
///
/// Every request adds each region's share to its credit, and the region with the most credit
/// pays for the request. What goes to no region has a credit of its own, the last one. Two
/// requests at once may both see the same credit; the error is paid back by the next ones, so
/// that it never grows.
#[derive(Debug)]
pub struct Diffuser {
    credits: Box<[AtomicI64]>,
}

impl Diffuser {
    /// A diffuser over `regions` regions.
    pub fn new(regions: usize) -> Diffuser {
        Diffuser { credits: (0..=regions).map(|_| AtomicI64::new(0)).collect() }
    }

    /// Chooses the region of the next request, or `None` if it goes to no region.
    pub fn next(&self, shares: &shift::Vector) -> Option<region::Index> {
        let all = shares.shares().iter().copied().chain([shares.refused()]);
        let mut best = (i64::MIN, 0);
        for (i, (credit, share)) in self.credits.iter().zip(all).enumerate() {
            if share == 0 && credit.load(Ordering::Relaxed) <= 0 {
                continue;
            }
            let share = i64::from(share);
            let now = credit.fetch_add(share, Ordering::AcqRel) + share;
            if share > 0 && now > best.0 {
                best = (now, i);
            }
        }
        self.credits[best.1].fetch_sub(i64::from(shift::WHOLE_PPM), Ordering::AcqRel);
        let region = u16::try_from(best.1).ok().filter(|_| best.1 < shares.shares().len());
        region.map(region::Index)
    }
}
