//! The budget of retries and hedges, so that a failure is not multiplied by them.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::{prelude::*, region::Percent};

/// Credit of one extra attempt.
const ATTEMPT: i64 = 100;

/// The most extra attempts that may be saved up.
const MAX_SAVED: i64 = 10 * ATTEMPT;

/// Allows extra attempts as a share of first attempts.
#[derive(Debug)]
pub struct Budget {
    share: Percent,
    most: i64,
    credit: AtomicI64,
}

impl Budget {
    /// A budget of `share` extra attempts for each first attempt.
    pub fn new(share: Percent) -> Budget {
        Budget { share, most: MAX_SAVED, credit: AtomicI64::new(ATTEMPT) }
    }

    /// A budget with as many extra attempts saved up as it may hold, for faults that come at once.
    pub fn saved(share: Percent) -> Budget {
        let credit = if share.get() == 0 { 0 } else { MAX_SAVED };
        Budget { share, most: MAX_SAVED, credit: AtomicI64::new(credit) }
    }

    /// A budget that starts with `reserve` extra attempts saved up and never holds more, as
    /// the host's part of a budget that all hosts share.
    pub fn with_reserve(share: Percent, reserve: u32) -> Budget {
        let most = i64::from(reserve) * ATTEMPT;
        Budget { share, most, credit: AtomicI64::new(most) }
    }

    /// Extra attempts as a share of first ones.
    pub fn share(&self) -> Percent {
        self.share
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        let share = i64::from(self.share.get());
        let earn = |credit: i64| Some((credit + share).min(self.most));
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one extra attempt, or returns `false` if the budget is spent.
    pub fn try_spend(&self) -> bool {
        let spend = |credit: i64| (credit >= ATTEMPT).then_some(credit - ATTEMPT);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }
}

/// The point after which an attempt must not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// The time left, or `None` if the deadline has passed.
    pub fn left(self, now: Instant) -> Option<Duration> {
        (now < self.0).then(|| self.0.since(now))
    }
}
