//! Baselines: each host alone, by nothing but its own counts; the servers queue.

use oleanderspan::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::measure::policy::{Decision, Grant, Policy, View};

/// How a host chooses among its servers.
pub trait Choice {
    /// The position of the next server, by the host's own in-flight counts.
    fn choose(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize;
}

/// Any server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

/// One server after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin(usize);

/// The server with the fewest requests in flight; among equals any.
///
/// This is the idea of the paper "Smart JDBC driver for YSQL", whose driver counts its own
/// connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Least;

/// The better of two servers that are drawn at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Choice for Random {
    fn choose(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize {
        rng.random_range(0..counts.len())
    }
}

impl Choice for RoundRobin {
    fn choose(&mut self, counts: &[u32], _rng: &mut ChaCha8Rng) -> usize {
        self.0 = (self.0 + 1) % counts.len();
        self.0
    }
}

impl Choice for Least {
    fn choose(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize {
        let start = rng.random_range(0..counts.len());
        let turned = (0..counts.len()).map(|i| (start + i) % counts.len());
        turned.min_by_key(|i| counts[*i]).unwrap_or(start)
    }
}

impl Choice for TwoChoices {
    fn choose(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize {
        let a = rng.random_range(0..counts.len());
        let b = rng.random_range(0..counts.len());
        if counts[b] < counts[a] { b } else { a }
    }
}

/// What one host knows.
#[derive(Debug)]
struct Host<C> {
    choice: C,
    servers: Vec<usize>,
    counts: Vec<u32>,
}

/// Hosts that decide alone.
#[derive(Debug)]
pub struct Counted<C> {
    hosts: Vec<Host<C>>,
    rng: ChaCha8Rng,
}

impl<C: Choice + Default> Counted<C> {
    /// Hosts that know `servers`.
    pub fn new(hosts: usize, servers: &[usize], seed: u64) -> Counted<C> {
        let host = |_| Host {
            choice: C::default(),
            servers: servers.to_vec(),
            counts: vec![0; servers.len()],
        };
        Counted { hosts: (0..hosts).map(host).collect(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }
}

impl<C: Choice> Policy for Counted<C> {
    fn offer(&mut self, _request: usize, decider: usize, _view: View<'_>) -> Decision {
        let host = &mut self.hosts[decider];
        if host.servers.is_empty() {
            return Decision::Refuse;
        }
        let i = host.choice.choose(&host.counts, &mut self.rng);
        host.counts[i] += 1;
        Decision::Start(host.servers[i])
    }

    fn granted(&mut self, _view: View<'_>) -> Option<Grant> {
        None
    }

    fn give_up(&mut self, _request: usize) {}

    fn answered(
        &mut self,
        decider: usize,
        server: usize,
        _latency: Option<Duration>,
        _view: View<'_>,
    ) {
        let host = &mut self.hosts[decider];
        if let Some(i) = host.servers.iter().position(|known| *known == server) {
            host.counts[i] -= 1;
        }
    }

    fn see_leaving(&mut self, decider: usize, server: usize, _view: View<'_>) {
        let host = &mut self.hosts[decider];
        if let Some(i) = host.servers.iter().position(|known| *known == server) {
            host.servers.remove(i);
            host.counts.remove(i);
        }
    }
}
