//! A small fake of a backend server: slots, its own queue, and times in which it is slow.

use std::collections::VecDeque;

use oleanderspan::prelude::*;

use crate::{deployment::CONNECTIONS, measure::case::Slowdown};

/// What a server does with a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs at once.
    Running,
    /// It waits within the server.
    Queued,
    /// It is refused and was not run.
    Rejected,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    slots: u32,
    running: u32,
    waiting: VecDeque<usize>,
    slowdowns: Vec<Slowdown>,
    /// Whether it has said that it is leaving.
    pub is_leaving: bool,
    /// Whether it is gone.
    pub is_gone: bool,
}

impl Server {
    /// A server with the slow times that concern it.
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

    /// Requests that run or wait.
    pub fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// How many times longer work takes now.
    pub fn slowdown_factor(&self, now: Instant) -> u32 {
        let slowdown =
            self.slowdowns.iter().find(|slowdown| slowdown.from <= now && now < slowdown.until);
        slowdown.map_or(1, |slowdown| slowdown.factor)
    }

    /// Takes an attempt in.
    pub fn admit(&mut self, attempt: usize) -> Admission {
        if self.running < self.slots {
            self.running += 1;
            Admission::Running
        } else if self.load() < CONNECTIONS {
            self.waiting.push_back(attempt);
            Admission::Queued
        } else {
            Admission::Rejected
        }
    }

    /// Ends a run, and returns the attempt that runs next.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        self.running -= u32::from(next.is_none());
        next
    }

    /// Forgets an attempt if it still waits.
    pub fn remove_queued(&mut self, attempt: usize) {
        self.waiting.retain(|waiting| *waiting != attempt);
    }

    /// When a run that starts now ends; a slow time counts only while it lasts.
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
