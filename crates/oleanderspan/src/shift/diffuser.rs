//! Selection of a region for each request, such that even small request counts match the shares.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::{region, shift};

/// Distributes requests over regions by error diffusion.
///
/// Each request adds every region's share to that region's credit; the region with the highest
/// credit is selected and charged one request. The last credit is that of refused requests.
/// Concurrent requests may select by the same credits; later requests compensate for the error,
/// so it does not accumulate.
#[derive(Debug)]
pub struct Diffuser {
    credits: Box<[AtomicI64]>,
}

impl Diffuser {
    /// Creates a diffuser for `regions` regions.
    pub fn new(regions: usize) -> Diffuser {
        Diffuser { credits: (0..=regions).map(|_| AtomicI64::new(0)).collect() }
    }

    /// Selects the region of the next request, or `None` if the request is to be refused.
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
