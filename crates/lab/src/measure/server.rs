//! A small fake of a backend server: slots, its own queue, and times in which it is slow.

use std::collections::VecDeque;

use oleanderspan::prelude::*;

use crate::{deployment::CONNECTIONS_PER_INSTANCE, measure::case::Spell};

/// What a server does with a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// It runs at once.
    Runs,
    /// It waits within the server.
    Waits,
    /// It is refused and was not run.
    Sheds,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    slots: u32,
    running: u32,
    waiting: VecDeque<usize>,
    spells: Vec<Spell>,
    /// Whether it has said that it is leaving.
    pub is_leaving: bool,
    /// Whether it is gone.
    pub is_gone: bool,
}

impl Server {
    /// A server with the slow times that concern it.
    pub fn new(slots: u32, spells: Vec<Spell>) -> Server {
        Server {
            slots,
            running: 0,
            waiting: VecDeque::new(),
            spells,
            is_leaving: false,
            is_gone: false,
        }
    }

    /// Requests that run or wait.
    pub fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// How many times longer work takes now.
    pub fn slowdown(&self, now: Instant) -> u32 {
        let spell = self.spells.iter().find(|spell| spell.from <= now && now < spell.until);
        spell.map_or(1, |spell| spell.slowdown)
    }

    /// Takes an attempt in.
    pub fn receive(&mut self, attempt: usize) -> Reception {
        if self.running < self.slots {
            self.running += 1;
            Reception::Runs
        } else if self.load() < CONNECTIONS_PER_INSTANCE {
            self.waiting.push_back(attempt);
            Reception::Waits
        } else {
            Reception::Sheds
        }
    }

    /// Ends a run, and returns the attempt that runs next.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        self.running -= u32::from(next.is_none());
        next
    }

    /// Forgets an attempt if it still waits.
    pub fn forget(&mut self, attempt: usize) {
        self.waiting.retain(|waiting| *waiting != attempt);
    }

    /// When a run that starts now ends; a slow time counts only while it lasts.
    pub fn end(&self, now: Instant, run: Duration) -> Instant {
        let mut at = now;
        let mut left = run;
        for spell in self.spells.iter().filter(|spell| spell.until > now) {
            let before = spell.from.since(at);
            if left <= before {
                return at + left;
            }
            left -= before;
            at = at.max(spell.from);
            let within = spell.until.since(at) / spell.slowdown;
            if left <= within {
                return at + left * spell.slowdown;
            }
            left -= within;
            at = spell.until;
        }
        at + left
    }
}
