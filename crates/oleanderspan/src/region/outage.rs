//! When a region counts as failed for a service.

use crate::prelude::*;

/// How long nothing of a region must be seen before it counts as failed.
pub const CONFIRMATION_PERIOD: Duration = Duration::from_secs(1);

/// What this host has seen lately of one service in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutageDetector {
    failing_since: Option<Instant>,
}

impl OutageDetector {
    /// Takes note of whether the region can serve, and tells whether it counts as failed.
    pub fn observe(&mut self, can_serve: bool, now: Instant) -> bool {
        if can_serve {
            self.failing_since = None;
            return false;
        }
        now.since(*self.failing_since.get_or_insert(now)) >= CONFIRMATION_PERIOD
    }
}
