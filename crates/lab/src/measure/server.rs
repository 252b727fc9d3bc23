//! Simulated backend server with slots, a local queue and slowdowns.

use std::collections::VecDeque;

use oleanderspan::prelude::*;

use crate::{deployment::CONNECTIONS_PER_INSTANCE, measure::case::Slowdown};

/// What a server does with an arriving attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot was free and the attempt runs.
    Running,
    /// All slots are busy and the attempt waits in the server's queue.
    Queued,
    /// The connection limit is reached; the attempt is rejected without having run.
    Rejected,
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub struct Server {
    slots: u32,
    running: u32,
    waiting: VecDeque<usize>,
    slowdowns: Vec<Slowdown>,
    /// Whether the server has announced that it is leaving.
    pub is_leaving: bool,
    /// Whether the server has failed and rejects every attempt.
    pub is_gone: bool,
}

impl Server {
    /// Creates an idle server; `slowdowns` are its own, sorted by start and not overlapping.
    pub fn new(slots: u32, slowdowns: Vec<Slowdown>) -> Server {
        Server {
            slots,
            running: 0,
            waiting: VecDeque::new(),
            slowdowns,
            is_leaving: false,
            is_gone: false,
        }
    }

    /// Number of attempts that run or wait.
    pub fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// Factor by which service times are longer at `now`; 1 at full speed.
    pub fn slowdown_factor(&self, now: Instant) -> u32 {
        let slowdown =
            self.slowdowns.iter().find(|slowdown| slowdown.from <= now && now < slowdown.until);
        slowdown.map_or(1, |slowdown| slowdown.factor)
    }

    /// Runs, queues or rejects an arriving attempt.
    pub fn admit(&mut self, attempt: usize) -> Admission {
        if self.running < self.slots {
            self.running += 1;
            Admission::Running
        } else if self.load() < CONNECTIONS_PER_INSTANCE {
            self.waiting.push_back(attempt);
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// Frees a slot and returns the queued attempt that takes it, if any.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        self.running -= u32::from(next.is_none());
        next
    }

    /// Removes an attempt from the queue, if it is there.
    pub fn remove_queued(&mut self, attempt: usize) {
        self.waiting.retain(|waiting| *waiting != attempt);
    }

    /// Completion time of work that starts at `now`; a slowdown affects only the part of the work
    /// within it.
    pub fn completion_time(&self, now: Instant, service_time: Duration) -> Instant {
        let mut at = now;
        let mut remaining = service_time;
        for slowdown in self.slowdowns.iter().filter(|slowdown| slowdown.until > now) {
            let before = slowdown.from.since(at);
            if remaining <= before {
                return at + remaining;
            }
            remaining -= before;
            at = at.max(slowdown.from);
            let within = slowdown.until.since(at) / slowdown.factor;
            if remaining <= within {
                return at + remaining * slowdown.factor;
            }
            remaining -= within;
            at = slowdown.until;
        }
        at + remaining
    }
}
