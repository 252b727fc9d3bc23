//! Budgets for retries and hedged requests, which keep extra attempts from amplifying a failure.

use std::sync::atomic::{AtomicI64, Ordering};

use crate::{prelude::*, region::Percent};

/// The credit that one extra attempt costs. A first attempt earns the budget's share in percent.
const CREDIT_PER_ATTEMPT: i64 = 100;

/// The most credit that may accumulate: ten extra attempts.
const MAX_CREDIT: i64 = 10 * CREDIT_PER_ATTEMPT;

/// A token bucket that limits extra attempts to a share of first attempts.
#[derive(Debug)]
pub struct Budget {
    share: Percent,
    max_credit: AtomicI64,
    credit: AtomicI64,
}

impl Budget {
    /// A budget that starts with credit for one extra attempt.
    pub fn new(share: Percent) -> Budget {
        Budget::with_credit(share, MAX_CREDIT, CREDIT_PER_ATTEMPT)
    }

    /// A budget that starts full, to cover faults right after the start; empty if `share` is zero.
    pub fn full(share: Percent) -> Budget {
        let credit = if share.get() == 0 { 0 } else { MAX_CREDIT };
        Budget::with_credit(share, MAX_CREDIT, credit)
    }

    /// A budget that starts with, and is limited to, `capacity` extra attempts: this host's part
    /// of a budget shared by all hosts.
    pub fn with_capacity(share: Percent, capacity: u32) -> Budget {
        let max_credit = i64::from(capacity) * CREDIT_PER_ATTEMPT;
        Budget::with_credit(share, max_credit, max_credit)
    }

    /// The same for a process that replaces another, which may have spent the part: it starts
    /// empty, so that the credit of all processes of a host never exceeds the part.
    pub fn replacing(share: Percent, capacity: u32) -> Budget {
        Budget::with_credit(share, i64::from(capacity) * CREDIT_PER_ATTEMPT, 0)
    }

    fn with_credit(share: Percent, max_credit: i64, credit: i64) -> Budget {
        Budget { share, max_credit: AtomicI64::new(max_credit), credit: AtomicI64::new(credit) }
    }

    /// Sets the limit of extra attempts after the number of hosts that share the budget has
    /// changed. Credit above it is lost, credit below it is kept.
    pub fn set_capacity(&self, capacity: u32) {
        let max_credit = i64::from(capacity) * CREDIT_PER_ATTEMPT;
        self.max_credit.store(max_credit, Ordering::Relaxed);
        self.credit.fetch_min(max_credit, Ordering::Relaxed);
    }

    /// Extra attempts in percent of first attempts.
    pub fn share(&self) -> Percent {
        self.share
    }

    /// Adds the credit that a first attempt earns, up to the limit.
    pub fn record_first_attempt(&self) {
        let share = i64::from(self.share.get());
        let deposit =
            |credit: i64| Some((credit + share).min(self.max_credit.load(Ordering::Relaxed)));
        let _ = self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit);
    }

    /// Spends the credit of one extra attempt; returns `false` if there is not enough.
    pub fn try_spend(&self) -> bool {
        let withdraw =
            |credit: i64| (credit >= CREDIT_PER_ATTEMPT).then_some(credit - CREDIT_PER_ATTEMPT);
        self.credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }
}

/// The time after which no further attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline(pub Instant);

impl Deadline {
    /// The time left, or `None` if the deadline has passed.
    pub fn remaining(self, now: Instant) -> Option<Duration> {
        (now < self.0).then(|| self.0.since(now))
    }
}
