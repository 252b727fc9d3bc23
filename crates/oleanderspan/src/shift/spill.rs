//! Limit on spill-over: requests that one region refused and another may take.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::shift;

/// A token bucket that lets a share of requests spill over, as part of the cap.
///
/// Each request earns its share of a token and each spill-over spends one token. The bucket holds
/// at most one token, so over any period the spilled requests exceed the share by at most one.
#[derive(Debug)]
pub struct Spill {
    share: i64,
    credit: AtomicI64,
}

impl Spill {
    /// Permits the spill-over part of `cap`; the bucket starts empty.
    pub fn new(cap: &shift::Cap) -> Spill {
        Spill { share: i64::from(cap.spill()), credit: AtomicI64::new(0) }
    }

    /// Credits the share for a request that arrived.
    pub fn earn(&self) {
        let earn = |credit: i64| Some((credit + self.share).min(i64::from(shift::WHOLE_PPM)));
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Spends the token for one spill-over; returns `false` if there is none.
    pub fn try_spend(&self) -> bool {
        let cost = i64::from(shift::WHOLE_PPM);
        let spend = |credit: i64| (credit >= cost).then_some(credit - cost);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}
