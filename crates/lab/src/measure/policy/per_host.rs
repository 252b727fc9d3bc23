//! Baselines: each host alone, by nothing but its own counts; the servers queue.

use oleanderspan::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::measure::policy::{Decision, Grant, Policy, View};

/// How a host chooses among its servers.
pub trait Selection {
    /// The position of the next server, by the host's own in-flight counts.
    fn select(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize;
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
pub struct LeastInFlight;

/// The better of two servers that are drawn at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Selection for Random {
    fn select(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize {
        rng.random_range(0..counts.len())
    }
}

impl Selection for RoundRobin {
    fn select(&mut self, counts: &[u32], _rng: &mut ChaCha8Rng) -> usize {
        self.0 = (self.0 + 1) % counts.len();
        self.0
    }
}

impl Selection for LeastInFlight {
    fn select(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize {
        let start = rng.random_range(0..counts.len());
        let turned = (0..counts.len()).map(|i| (start + i) % counts.len());
        turned.min_by_key(|i| counts[*i]).unwrap_or(start)
    }
}

impl Selection for TwoChoices {
    fn select(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize {
        let a = rng.random_range(0..counts.len());
        let b = rng.random_range(0..counts.len());
        if counts[b] < counts[a] { b } else { a }
    }
}

/// What one host knows.
#[derive(Debug)]
struct Host<C> {
    selection: C,
    servers: Vec<usize>,
    counts: Vec<u32>,
}

/// Hosts that decide alone.
#[derive(Debug)]
pub struct PerHost<C> {
    hosts: Vec<Host<C>>,
    rng: ChaCha8Rng,
}

impl<C: Selection + Default> PerHost<C> {
    /// Hosts that know `servers`.
    pub fn new(hosts: usize, servers: &[usize], seed: u64) -> PerHost<C> {
        let host = |_| Host {
            selection: C::default(),
            servers: servers.to_vec(),
            counts: vec![0; servers.len()],
        };
        PerHost { hosts: (0..hosts).map(host).collect(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }
}

impl<C: Selection> Policy for PerHost<C> {
    fn offer(&mut self, _request: usize, dispatcher: usize, _view: View<'_>) -> Decision {
        let host = &mut self.hosts[dispatcher];
        if host.servers.is_empty() {
            return Decision::Refuse;
        }
        let i = host.selection.select(&host.counts, &mut self.rng);
        host.counts[i] += 1;
        Decision::Start(host.servers[i])
    }

    fn next_granted(&mut self, _view: View<'_>) -> Option<Grant> {
        None
    }

    fn abandon(&mut self, _request: usize) {}

    fn record_answer(
        &mut self,
        dispatcher: usize,
        server: usize,
        _latency: Option<Duration>,
        _view: View<'_>,
    ) {
        let host = &mut self.hosts[dispatcher];
        if let Some(i) = host.servers.iter().position(|known| *known == server) {
            host.counts[i] -= 1;
        }
    }

    fn record_leaving(&mut self, dispatcher: usize, server: usize, _view: View<'_>) {
        let host = &mut self.hosts[dispatcher];
        if let Some(i) = host.servers.iter().position(|known| *known == server) {
            host.servers.remove(i);
            host.counts.remove(i);
        }
    }
}
