//! Whether a request waits for a slot or is refused at once.
//!
//! The load pattern that this answers: more requests than slots for many seconds. Without it
//! every request waits until it is late, so that all are served late or not at all; with it those
//! who wait are served in time, and the others learn at once when to come back.

use crate::{backend::pool::Rank, prelude::*};

/// The share of its remaining time, in percent, for which a late request may wait.
///
/// A late answer is worth little, so that holding it longer costs the caller more than an early
/// refusal, after which it may find another host with room.
const MAX_LATE_WAIT_PERCENT: u32 = 8;

/// How many times the typical latency exceeds an objective that no server reaches; less than that
/// is overload, in which being late has to count.
const UNATTAINABLE_RATIO: u32 = 2;

/// The objective instead of one that no server reaches, in percent of the typical latency: enough that a request which finds a
/// slot soon counts as in time.
const EFFECTIVE_OBJECTIVE_PERCENT: u32 = 115;

/// The time for which slots are held before the first answer has told, as a guess.
const DEFAULT_LATENCY: Duration = Duration::from_millis(250);

/// The shortest time after which a refused client is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The share of its remaining time, in percent, that a client is asked to wait at most; clients
/// of the platform honour up to a third.
const MAX_RETRY_AFTER_PERCENT: u32 = 30;

/// What a request still has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLeft {
    /// The time left until its latency objective.
    pub objective: Duration,
    /// The time left until nobody waits for its answer any more.
    pub deadline: Duration,
}

/// How busy the servers of a pool are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that would be served before.
    pub ahead: usize,
    /// Slots of all servers that may be used.
    pub slots: u32,
    /// How long requests hold a slot on average; zero if that isn't known.
    pub mean_latency: Duration,
    /// How long half of the requests hold a slot at most; zero if that isn't known.
    pub typical_latency: Duration,
}

impl Load {
    /// How long a request will wait for a slot, once all are taken.
    pub fn expected_wait(&self) -> Duration {
        if self.slots == 0 {
            return Duration::MAX;
        }
        let ahead = u32::try_from(self.ahead).unwrap_or(u32::MAX).saturating_add(1);
        latency_or_default(self.mean_latency).saturating_mul(ahead) / self.slots
    }
}

/// What to do with a request that finds no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It waits in a rank for at most so long.
    Wait {
        /// The longest time in the queue.
        limit: Duration,
    },
    /// It is refused at once.
    Refuse {
        /// When the client may come back.
        retry_after: Duration,
    },
}

/// The objective by which a request is judged whose route states `stated`.
///
/// An objective that no server reaches must not push a route behind all others for ever: its
/// requests are judged by what servers do.
pub fn effective_objective(stated: Duration, typical_latency: Duration) -> Duration {
    match stated * UNATTAINABLE_RATIO < typical_latency {
        true => typical_latency * EFFECTIVE_OBJECTIVE_PERCENT / 100,
        false => stated,
    }
}

/// How long a request may wait for a server that knows its object, where it takes `known`, instead
/// of going to any other, where it takes `unknown`: no longer than it gains.
///
/// That holds for a late request too: it is answered no later than elsewhere, and spares the others
/// a slot that is taken several times as long. Otherwise one wave of load leaves all slots with
/// slow runs for long after.
pub fn max_affinity_wait(time: TimeLeft, known: Duration, unknown: Duration) -> Duration {
    time.deadline.saturating_sub(known).min(unknown.saturating_sub(known))
}

/// Whether a request can still be answered within its objective if it is started now.
pub fn is_late(time: TimeLeft, load: &Load) -> bool {
    time.objective < latency_or_default(load.typical_latency)
}

/// The rank of a request.
pub fn rank(priority: u8, time: TimeLeft, load: &Load) -> Rank {
    Rank::new(priority, is_late(time, load))
}

/// Decides whether a request waits.
pub fn decide(time: TimeLeft, load: &Load) -> Decision {
    let service_time = latency_or_default(load.typical_latency);
    let is_late = is_late(time, load);
    let limit = match is_late {
        true => time.deadline.saturating_sub(service_time) * MAX_LATE_WAIT_PERCENT / 100,
        false => time.objective.min(time.deadline).saturating_sub(service_time),
    };
    let wait = load.expected_wait();
    if wait <= limit {
        return Decision::Wait { limit };
    }
    let max_retry_after = time.deadline * MAX_RETRY_AFTER_PERCENT / 100;
    Decision::Refuse { retry_after: wait.min(max_retry_after).max(MIN_RETRY_AFTER) }
}

fn latency_or_default(latency: Duration) -> Duration {
    if latency.is_zero() { DEFAULT_LATENCY } else { latency }
}
