//! Detection of regions that cannot serve a service.

use crate::prelude::*;

/// The time for which a region must be unable to serve before it counts as failed.
pub const CONFIRMATION_PERIOD: Duration = Duration::from_secs(1);

/// The failure detector of one service in one region, as seen by this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutageDetector {
    failing_since: Option<Instant>,
}

impl OutageDetector {
    /// Records whether the region can serve, and returns whether it counts as failed.
    pub fn observe(&mut self, can_serve: bool, now: Instant) -> bool {
        if can_serve {
            self.failing_since = None;
            return false;
        }
        now.since(*self.failing_since.get_or_insert(now)) >= CONFIRMATION_PERIOD
    }
}
