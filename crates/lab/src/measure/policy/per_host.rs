//! Baseline policies: each host decides by its own in-flight counts, and requests queue at the
//! servers.

use oleanderspan::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::measure::policy::{Decision, Grant, Policy, View};

/// Server selection on one host.
pub trait Selection {
    /// Returns the index into `counts`, the host's in-flight requests by server, of the next
    /// server.
    fn select(&mut self, counts: &[u32], rng: &mut ChaCha8Rng) -> usize;
}

/// Selects a uniformly random server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

/// Selects the servers in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin(usize);

/// Selects the server with the fewest requests in flight; a random start position breaks ties.
///
/// This follows the paper "Smart JDBC driver for YSQL", whose driver counts its own
/// connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

/// Selects the less loaded of two random servers.
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

/// Servers known to one host, and its in-flight requests on each.
#[derive(Debug)]
struct Host<C> {
    selection: C,
    servers: Vec<usize>,
    counts: Vec<u32>,
}

/// Hosts that select servers independently of each other.
#[derive(Debug)]
pub struct PerHost<C> {
    hosts: Vec<Host<C>>,
    rng: ChaCha8Rng,
}

impl<C: Selection + Default> PerHost<C> {
    /// Creates `hosts` hosts that all know `servers`.
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
