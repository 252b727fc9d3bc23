//! Requests that may wait: stored first, run once by whichever host claims them, and always in a
//! state that can be read.
//!
//! A job is claimed like a key: what is queued may be claimed, what runs is held, and what was
//! claimed without an outcome is never run again.

use crate::{
    prelude::*,
    request::claim::{self, Claim},
};

/// The wait after the first attempt that did not run; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// The longest wait between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// How long the host of a running job must have been gone before the job is in doubt.
const RUNNER_GONE_TIMEOUT: Duration = Duration::from_secs(10);

/// How many times its time limit a job may run on a host that is there.
const MAX_RUN_TIME_FACTOR: u32 = 4;

value! {
    /// A request that may wait.
    pub struct Job {
        /// The latest operation that claimed it.
        pub operation: Box<str>,
        /// A digest of the request.
        pub digest: Box<str>,
        /// How far it has come.
        pub state: State,
        /// Attempts that did not run.
        pub attempts: u32,
        /// When it may be tried again, in milliseconds of the wall clock.
        pub due_ms: u64,
    }

    /// How far a job has come.
    pub enum State {
        /// It waits for its first attempt, or for the next one after it provably did not run.
        Queued,
        /// A host has claimed it and perhaps dispatched it.
        Running(Runner),
        /// It ran and was answered.
        Done,
        /// It was claimed and has no outcome; it is never run again.
        InDoubt,
    }

    /// One start of the entry daemon of a host.
    pub struct Runner {
        /// The host.
        pub host: Box<str>,
        /// A number that no other start has.
        pub incarnation: u64,
    }
}

impl Job {
    /// A job that no host has claimed yet.
    pub fn new(operation: &str, digest: &str) -> Job {
        Job {
            operation: operation.into(),
            digest: digest.into(),
            state: State::Queued,
            attempts: 0,
            due_ms: 0,
        }
    }

    /// Whether the job waits and its time has come.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.state == State::Queued && self.due_ms <= now_ms
    }

    /// The job after an attempt that did not run.
    pub fn requeued(&self, now_ms: u64) -> Job {
        let doublings = self.attempts.min(MAX_BACKOFF.as_secs().ilog2() + 1);
        let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        let due_ms = now_ms.saturating_add(u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX));
        let attempts = self.attempts.saturating_add(1);
        Job { state: State::Queued, attempts, due_ms, ..self.clone() }
    }

    /// The job as a claim, for an [`Attempt`](claim::Attempt) to run it.
    pub fn claim(&self) -> Claim {
        let state = match &self.state {
            State::Queued => claim::State::Released,
            State::Running(_) | State::InDoubt => claim::State::Held,
            State::Done => {
                claim::State::Done(claim::Answer { status: 0, content_type: None, body: None })
            }
        };
        Claim { operation: self.operation.clone(), digest: self.digest.clone(), state }
    }
}

/// What a host knows of the runner of a job.
#[derive(Clone, Copy, Debug)]
pub struct RunnerObservation<'a> {
    /// This start of the own daemon.
    pub own: &'a Runner,
    /// Whether the runner's host is known and not gone.
    pub is_listed: bool,
    /// How long this host has seen the job run, by its own clock.
    pub observed_for: Duration,
    /// The time limit of a request of the service.
    pub request_timeout: Duration,
}

impl Runner {
    /// Whether the outcome of a job that this start runs must be given up. A runner that was
    /// only paused still records its outcome when it wakes.
    pub fn is_lost(&self, observation: RunnerObservation<'_>) -> bool {
        if self.host == observation.own.host {
            return self.incarnation != observation.own.incarnation;
        }
        let limit = observation.request_timeout * MAX_RUN_TIME_FACTOR;
        observation.observed_for > limit
            || !observation.is_listed && observation.observed_for > RUNNER_GONE_TIMEOUT
    }
}
