//! Asynchronous requests (jobs): stored first, then run at most once by the host that claims them.
//!
//! A job is claimed like an idempotency key: a queued job can be claimed, a running job is held,
//! and a job that was claimed but whose outcome is unknown is never run again. The state of a job
//! can be read at any time.

use crate::{
    prelude::*,
    request::claim::{self, Claim},
};

/// The back-off after the first attempt that did not run; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// The longest back-off between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// How long a running job must have been observed before an unlisted host counts as lost.
const RUNNER_GONE_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest run time of a job on a listed host, as a multiple of the request time limit.
const MAX_RUN_TIME_FACTOR: u32 = 4;

value! {
    /// A stored request and the state of its run.
    pub struct Job {
        /// The ID of the latest operation that claimed the job.
        pub operation: Box<str>,
        /// A digest of the request.
        pub digest: Box<str>,
        /// The state of the run.
        pub state: State,
        /// The number of attempts that are known not to have run.
        pub attempts: u32,
        /// The earliest time of the next attempt, in wall-clock milliseconds; zero for
        /// immediately.
        pub due_ms: u64,
    }

    /// The state of a job.
    pub enum State {
        /// Waiting for its first attempt, or for the next one after attempts that did not run.
        Queued,
        /// Claimed by a host and possibly dispatched.
        Running(Runner),
        /// The job ran and was answered.
        Done,
        /// Claimed, but the outcome is unknown; the job is never run again.
        InDoubt,
    }

    /// One process lifetime of the entry daemon on a host.
    pub struct Runner {
        /// The name of the host.
        pub host: Box<str>,
        /// The number of this process lifetime, unique among restarts.
        pub incarnation: u64,
    }
}

impl Job {
    /// A queued job that no host has claimed, due immediately.
    pub fn new(operation: &str, digest: &str) -> Job {
        Job {
            operation: operation.into(),
            digest: digest.into(),
            state: State::Queued,
            attempts: 0,
            due_ms: 0,
        }
    }

    /// Whether the job is queued and its back-off has elapsed.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.state == State::Queued && self.due_ms <= now_ms
    }

    /// The job after an attempt that did not run: queued again with an exponential back-off.
    pub fn requeued(&self, now_ms: u64) -> Job {
        let doublings = self.attempts.min(MAX_BACKOFF.as_secs().ilog2() + 1);
        let backoff = (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        let due_ms = now_ms.saturating_add(u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX));
        let attempts = self.attempts.saturating_add(1);
        Job { state: State::Queued, attempts, due_ms, ..self.clone() }
    }

    /// The job as a claim, for an [`Attempt`](claim::Attempt) to evaluate.
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

/// What this host has observed of the runner of a job.
#[derive(Clone, Copy, Debug)]
pub struct RunnerObservation<'a> {
    /// The current process lifetime of this host's entry daemon.
    pub own: &'a Runner,
    /// Whether the runner's host is in the list of live hosts.
    pub is_listed: bool,
    /// How long this host has observed the job as running, by its own clock.
    pub observed_for: Duration,
    /// The request time limit of the service.
    pub request_timeout: Duration,
}

impl Runner {
    /// Whether the job of this runner must be marked as in doubt: the daemon restarted, its host
    /// has been unlisted for too long, or the job exceeded its run time. A runner that was only
    /// paused still records the outcome when it resumes.
    pub fn is_lost(&self, observation: RunnerObservation<'_>) -> bool {
        if self.host == observation.own.host {
            return self.incarnation != observation.own.incarnation;
        }
        let limit = observation.request_timeout * MAX_RUN_TIME_FACTOR;
        observation.observed_for > limit
            || !observation.is_listed && observation.observed_for > RUNNER_GONE_TIMEOUT
    }
}
