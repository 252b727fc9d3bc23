//! The grace period of a planned stop: which requests a host still takes and sends, and when it
//! answers those that are not done.
//!
//! Answers the load of a host that clients go on using while it stops, with requests that wait for
//! a slot or whose heads arrive in parts: those that are sent late are cut off when the process
//! ends, and nobody hears whether they ran. See `docs/PLATFORM.md`.

use crate::prelude::*;

/// How long connections are accepted after the stop begins. Clients cache directory responses for
/// 2 s, and other hosts learn of the stop within 0.5 s.
const PROPAGATION_DELAY: Duration = Duration::from_millis(1_800);

/// The longest time to accept connections, in percent of the grace period, so that requests in
/// flight can still finish within it.
const ACCEPT_PERCENT: u32 = 30;

/// The end of the grace period, in which the last answers reach their clients and the process ends.
const FINAL_ANSWERS: Duration = Duration::from_millis(300);

/// The largest part of the grace period that is kept for the last answers, in percent.
const MAX_FINAL_PERCENT: u32 = 10;

/// The time that a request is expected to take at most, in typical latencies.
const LATENCY_RATIO: u32 = 2;

/// The latency assumed until the first answer of a service has been measured.
const DEFAULT_LATENCY: Duration = Duration::from_millis(250);

value! {
    /// The points in time of a planned stop.
    #[derive(Copy)]
    pub struct Grace {
        /// When the client port is closed. Requests whose heads are complete only later are refused.
        pub closes: Instant,
        /// When servers have to be done, and the remaining requests are answered.
        pub ends: Instant,
        /// When the process ends, whatever clients still read.
        pub exits: Instant,
    }
}

impl Grace {
    /// The grace period of a stop that begins now and is forced after `period`.
    pub fn begin(now: Instant, period: Duration) -> Grace {
        let last_answers = FINAL_ANSWERS.min(period * MAX_FINAL_PERCENT / 100);
        Grace {
            closes: now + PROPAGATION_DELAY.min(period * ACCEPT_PERCENT / 100),
            ends: now + (period - last_answers),
            exits: now + (period - last_answers / 3),
        }
    }

    /// Whether requests are still taken.
    pub fn is_open(&self, now: Instant) -> bool {
        now < self.closes
    }

    /// Until when a request may be sent to a server: so that it ends in time if it takes as long as
    /// usual, or at any time if its own deadline is not later than the end. `typical_latency` is
    /// zero if it has not been measured.
    pub fn last_send(&self, deadline: Instant, typical_latency: Duration) -> Instant {
        if deadline <= self.ends {
            return self.ends;
        }
        let typical_latency = match typical_latency {
            Duration::ZERO => DEFAULT_LATENCY,
            latency => latency,
        };
        let reserve = typical_latency.saturating_mul(LATENCY_RATIO);
        Instant::ZERO + self.ends.since(Instant::ZERO + reserve)
    }
}
