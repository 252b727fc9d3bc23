//! Admission control: whether a request waits for a slot or is refused immediately.
//!
//! Under sustained overload, an unbounded queue makes every request miss its latency objective.
//! Admission control queues only requests that can still be served in time and refuses the others
//! with a retry time.

use crate::{
    backend::pool::{LessUrgent, Rank},
    entry::membership::Random,
    prelude::*,
};

/// The longest queue time of a late request, in percent of its time left until the deadline.
///
/// An answer after the objective is worth little; an early refusal lets the caller try another
/// host with free slots.
const MAX_LATE_WAIT_PERCENT: u32 = 8;

/// The ratio of typical latency to objective above which the objective counts as unattainable.
///
/// A lower ratio may be caused by overload, in which late requests must still be ranked as late.
const UNATTAINABLE_RATIO: u32 = 2;

/// The objective that replaces an unattainable one, in percent of the typical latency. The margin
/// lets a request that gets a slot quickly count as in time.
const EFFECTIVE_OBJECTIVE_PERCENT: u32 = 115;

/// The latency assumed until the first answer of a service has been measured.
const DEFAULT_LATENCY: Duration = Duration::from_millis(250);

/// The lower bound of `retry_after`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The upper bound of `retry_after`, in percent of the time left until the deadline. Clients of
/// the platform honour a retry time of up to a third of theirs.
const MAX_RETRY_AFTER_PERCENT: u32 = 30;

/// The time that a request has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLeft {
    /// The time left until its latency objective.
    pub objective: Duration,
    /// The time left until its client stops waiting.
    pub deadline: Duration,
}

impl TimeLeft {
    /// The time left after `elapsed` more.
    pub fn after(self, elapsed: Duration) -> TimeLeft {
        TimeLeft {
            objective: self.objective.saturating_sub(elapsed),
            deadline: self.deadline.saturating_sub(elapsed),
        }
    }
}

/// The load of a pool's servers, as seen by a request that finds no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Queued requests that would be served first.
    pub ahead: usize,
    /// The slots of all usable servers together; zero if no server is usable.
    pub slots: u32,
    /// The mean time for which a request holds a slot; zero if not yet measured.
    pub mean_latency: Duration,
    /// The median time for which a request holds a slot; zero if not yet measured.
    pub typical_latency: Duration,
}

impl Load {
    /// The expected queue time while all slots are in use; [`Duration::MAX`] without slots.
    pub fn expected_wait(&self) -> Duration {
        if self.slots == 0 {
            return Duration::MAX;
        }
        let ahead = u32::try_from(self.ahead).unwrap_or(u32::MAX).saturating_add(1);
        latency_or_default(self.mean_latency).saturating_mul(ahead) / self.slots
    }
}

/// The decision on a request that finds no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is queued.
    Wait {
        /// The longest time that it may stay in the queue.
        limit: Duration,
    },
    /// The request is refused immediately.
    Refuse {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
}

/// The latency objective to apply to a request whose route states `objective`.
///
/// Requests with an objective shorter than any server's latency would always rank as late, behind
/// all other routes. Such an objective is replaced by one derived from the typical latency.
pub fn effective_objective(objective: Duration, typical_latency: Duration) -> Duration {
    match objective * UNATTAINABLE_RATIO < typical_latency {
        true => typical_latency * EFFECTIVE_OBJECTIVE_PERCENT / 100,
        false => objective,
    }
}

/// The longest time that a request should wait for a server that holds its object.
///
/// `known` is the latency on a server that holds the object, `unknown` that on any other server.
/// The wait never exceeds the difference, so the request is answered no later than it would be
/// elsewhere. This applies to late requests too: a run on a server without the object holds a slot
/// several times as long, and after a burst such runs would keep all slots busy.
pub fn max_affinity_wait(time: TimeLeft, known: Duration, unknown: Duration) -> Duration {
    time.deadline.saturating_sub(known).min(unknown.saturating_sub(known))
}

/// Whether a request would miss its objective even if it got a slot now.
pub fn is_late(time: TimeLeft, load: &Load) -> bool {
    time.objective < latency_or_default(load.typical_latency)
}

/// The queue rank of a request: requests in time come before late ones.
pub fn rank(priority: u8, time: TimeLeft, load: &Load) -> Rank {
    Rank::new(priority, is_late(time, load))
}

/// The queue rank of a request while less urgent ones are admitted to the queue: a late request
/// goes behind them as if it were one of them, but not behind all of them.
pub fn rank_among(
    priority: u8,
    time: TimeLeft,
    load: &Load,
    less_urgent: Option<LessUrgent>,
) -> Rank {
    match less_urgent {
        Some(less_urgent) if is_late(time, load) => Rank::new(less_urgent.priority, false),
        _ => rank(priority, time, load),
    }
}

/// Decides whether a request is queued or refused, by comparing its expected queue time with the
/// time that it can spare.
pub fn decide(time: TimeLeft, load: &Load) -> Decision {
    decide_among(time, load, None)
}

/// Decides like [`decide`], but never refuses a request for a wait for which less urgent ones are
/// admitted, as long as it can be answered before its deadline.
pub fn decide_among(time: TimeLeft, load: &Load, less_urgent: Option<LessUrgent>) -> Decision {
    let service_time = latency_or_default(load.typical_latency);
    let is_late = is_late(time, load);
    let limit = match is_late {
        true => time.deadline.saturating_sub(service_time) * MAX_LATE_WAIT_PERCENT / 100,
        false => time.objective.min(time.deadline).saturating_sub(service_time),
    };
    let spare = time.deadline.saturating_sub(service_time);
    let limit = less_urgent.map_or(limit, |other| limit.max(other.limit.min(spare)));
    let wait = load.expected_wait();
    if wait <= limit {
        return Decision::Wait { limit };
    }
    Decision::Refuse { retry_after: retry_after(time, load) }
}

/// How long a refused client should wait before it retries: the expected queue time, but not so
/// long that it has no time left, nor so short that nothing can have changed.
pub fn retry_after(time: TimeLeft, load: &Load) -> Duration {
    let max = time.deadline * MAX_RETRY_AFTER_PERCENT / 100;
    load.expected_wait().min(max).max(MIN_RETRY_AFTER)
}

/// How long a client should wait if all servers of its request have asked for a backoff of at least
/// `shortest`: no less than that, and up to a quarter more, so that clients do not all come back at
/// once.
pub fn spread_return(shortest: Duration, random: &mut impl Random) -> Duration {
    const STEPS: usize = 1_000;
    let part = u32::try_from(random.below(STEPS)).unwrap_or(0);
    shortest.max(MIN_RETRY_AFTER) + shortest * part / (4 * STEPS as u32)
}

fn latency_or_default(latency: Duration) -> Duration {
    if latency.is_zero() { DEFAULT_LATENCY } else { latency }
}
