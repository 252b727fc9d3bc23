//! The budget of retries and hedges, so that a failure is not multiplied by them.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::{prelude::*, region::Percent};

/// Credit of one extra attempt.
const CREDIT_PER_ATTEMPT: i64 = 100;

/// The most extra attempts that may be saved up.
const MAX_CREDIT: i64 = 10 * CREDIT_PER_ATTEMPT;

/// Allows extra attempts as a share of first attempts.
#[derive(Debug)]
pub struct Budget {
    share: Percent,
    max_credit: i64,
    credit: AtomicI64,
}

impl Budget {
    /// A budget of `share` extra attempts for each first attempt.
    pub fn new(share: Percent) -> Budget {
        Budget { share, max_credit: MAX_CREDIT, credit: AtomicI64::new(CREDIT_PER_ATTEMPT) }
    }

    /// A budget with as many extra attempts saved up as it may hold, for faults that come at once.
    pub fn full(share: Percent) -> Budget {
        let credit = if share.get() == 0 { 0 } else { MAX_CREDIT };
        Budget { share, max_credit: MAX_CREDIT, credit: AtomicI64::new(credit) }
    }

    /// A budget that starts with `capacity` extra attempts saved up and never holds more, as
    /// the host's part of a budget that all hosts share.
    pub fn with_capacity(share: Percent, capacity: u32) -> Budget {
        let max_credit = i64::from(capacity) * CREDIT_PER_ATTEMPT;
        Budget { share, max_credit, credit: AtomicI64::new(max_credit) }
    }

    /// Extra attempts as a share of first ones.
    pub fn share(&self) -> Percent {
        self.share
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&self) {
        let share = i64::from(self.share.get());
        let deposit = |credit: i64| Some((credit + share).min(self.max_credit));
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit);
    }

    /// Takes one extra attempt, or returns `false` if the budget is spent.
    pub fn try_spend(&self) -> bool {
        let withdraw =
            |credit: i64| (credit >= CREDIT_PER_ATTEMPT).then_some(credit - CREDIT_PER_ATTEMPT);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }
}

/// The point after which an attempt must not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// The time left, or `None` if the deadline has passed.
    pub fn remaining(self, now: Instant) -> Option<Duration> {
        (now < self.0).then(|| self.0.since(now))
    }
}
