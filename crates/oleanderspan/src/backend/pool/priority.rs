//! What the pool knows of less urgent requests that are admitted to its queue.
//!
//! Addresses sustained overload by kinds of requests with different objectives. The limit of a wait
//! follows from the objective, so that an urgent request with a short one is refused, or counts as
//! late, while a less urgent one with a long objective is queued. In a replay of 64 slots at 1.5
//! times their capacity the urgent kind got no slot from the queue (`tests/share.rs`).

use std::sync::atomic::{AtomicU64, Ordering};

use crate::{
    backend::{Pool, Waiter, pool::waiting::PRIORITIES},
    prelude::*,
};

/// How long an admission to the queue counts as recent.
const RECENT: Duration = Duration::from_secs(5);

/// Less urgent requests that were recently admitted to the queue in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LessUrgent {
    /// The most urgent of their priorities.
    pub priority: u8,
    /// The longest time for which one of them may be queued.
    pub limit: Duration,
}

/// The longest recent wait for which requests of each priority were admitted in time.
///
/// Limit and time are two atomics: a reader that sees the limit of one admission with the time of
/// another decides by a limit that was in force a moment ago.
#[derive(Debug, Default)]
pub(super) struct AdmittedWaits([AdmittedWait; PRIORITIES]);

#[derive(Debug, Default)]
struct AdmittedWait {
    limit_nanos: AtomicU64,
    /// Zero before the first admission.
    at_nanos: AtomicU64,
}

impl AdmittedWait {
    fn is_recent(&self, now: Instant) -> bool {
        let at = self.at_nanos.load(Ordering::Relaxed);
        at > 0 && now.since(Instant::from_nanos(at)) <= RECENT
    }

    /// Keeps the longest limit until it is no longer recent, as limits differ by the age of a
    /// request.
    fn record(&self, limit: Duration, now: Instant) {
        let limit = u64::try_from(limit.as_nanos()).unwrap_or(u64::MAX);
        if limit >= self.limit_nanos.load(Ordering::Relaxed) || !self.is_recent(now) {
            self.limit_nanos.store(limit, Ordering::Relaxed);
            self.at_nanos.store(now.as_nanos(), Ordering::Relaxed);
        }
    }
}

impl<W: Waiter> Pool<W> {
    /// Records that a request in time is queued for at most `limit`.
    pub fn record_admission(&self, priority: u8, limit: Duration, now: Instant) {
        let priority = usize::from(priority).min(PRIORITIES - 1);
        self.admitted_waits.0[priority].record(limit, now);
    }

    /// The requests of lower priority that were recently admitted to the queue in time; `None` if
    /// there were none.
    pub fn less_urgent(&self, priority: u8, now: Instant) -> Option<LessUrgent> {
        let waits = self.admitted_waits.0.iter().zip(0_u8..);
        let mut recent = waits
            .skip(usize::from(priority).saturating_add(1))
            .filter(|(wait, _)| wait.is_recent(now))
            .map(|(wait, priority)| (priority, wait.limit_nanos.load(Ordering::Relaxed)));
        let (priority, first) = recent.next()?;
        let limit = recent.map(|(_, limit)| limit).fold(first, u64::max);
        Some(LessUrgent { priority, limit: Duration::from_nanos(limit) })
    }
}
