//! Whether calls to the platform's store may have been lost while it was silent.
//!
//! A call that reaches a silent store is never answered, also after the store has come back, and a
//! long poll that was lost looks like one without changes. A host that has met silence therefore
//! tells the other hosts of its region; see `docs/PLATFORM.md`.

use crate::prelude::*;

/// For how long a host tells others of a silence: enough rounds of probes to reach all of them.
const REPORT_PERIOD: Duration = Duration::from_millis(5_000);

/// Reports of one silence differ by the time that they take. One that ends this much later is
/// another silence.
const REPORT_TOLERANCE: Duration = Duration::from_millis(250);

/// The latest silence of the store that this host knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// The end of the latest silence that this host has met itself.
    met: Option<Instant>,
    /// The end of the latest silence, met by this host or another.
    ended_at: Option<Instant>,
}

impl Silence {
    /// Records that the store answered a call sent at `ended_at` after it had been silent.
    pub fn record_end(&mut self, ended_at: Instant) {
        self.met = self.met.max(Some(ended_at));
        self.ended_at = self.ended_at.max(Some(ended_at));
    }

    /// Records another host's report of a silence that ended `age` ago; returns whether it is news.
    pub fn record_report(&mut self, age: Duration, now: Instant) -> bool {
        let ended_at = now - age;
        let is_known = self.ended_at.is_some_and(|known| ended_at <= known + REPORT_TOLERANCE);
        if is_known || age > REPORT_PERIOD {
            return false;
        }
        self.ended_at = Some(ended_at);
        true
    }

    /// How long ago the silence that this host has met ended, for other hosts; `None` if there was
    /// none, or all of them have been told.
    pub fn report(&self, now: Instant) -> Option<Duration> {
        let age = now.since(self.met?);
        (age <= REPORT_PERIOD).then_some(age)
    }

    /// Whether a call that was sent at `sent_at` and is still open may have been lost.
    pub fn may_have_lost(&self, sent_at: Instant) -> bool {
        Some(sent_at) < self.ended_at
    }
}
