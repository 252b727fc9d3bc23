//! The count of requests that one region refused and another may take.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::shift;

/// Allows a share of requests to spill over, as part of the cap.
///
/// Every request earns the share and a spill-over pays a whole request. No more than one is
/// saved up, so that over any time the requests spilled exceed the share by at most one.
#[derive(Debug)]
pub struct Spill {
    share: i64,
    credit: AtomicI64,
}

impl Spill {
    /// Allows what `cap` leaves for spill-over.
    pub fn new(cap: &shift::Cap) -> Spill {
        Spill { share: i64::from(cap.spill()), credit: AtomicI64::new(0) }
    }

    /// Counts a request that arrived.
    pub fn earn(&self) {
        let earn = |credit: i64| Some((credit + self.share).min(i64::from(shift::WHOLE_PPM)));
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes the place of one request, or returns `false` if the share is used up.
    pub fn try_spend(&self) -> bool {
        let cost = i64::from(shift::WHOLE_PPM);
        let spend = |credit: i64| (credit >= cost).then_some(credit - cost);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}
