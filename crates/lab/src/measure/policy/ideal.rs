//! Ideal policy: one queue with perfect knowledge, without network latency or connection set-up.

use std::collections::VecDeque;

use oleanderspan::prelude::*;

use crate::measure::policy::{Decision, Grant, Policy, View};

/// One queue that reads the true state of every server and respects the ceiling.
#[derive(Debug)]
pub struct Ideal {
    servers: Vec<usize>,
    in_flight: Vec<u32>,
    queue: VecDeque<(usize, usize)>,
    dispatcher: Option<usize>,
}

impl Ideal {
    /// Creates a queue for `servers`, out of `all` servers in the topology.
    pub fn new(servers: &[usize], all: usize) -> Ideal {
        Ideal {
            servers: servers.to_vec(),
            in_flight: vec![0; all],
            queue: VecDeque::new(),
            dispatcher: None,
        }
    }

    /// Places the queue on a host, so that network latency and connection set-up apply.
    pub fn on_host(self, dispatcher: Option<usize>) -> Ideal {
        Ideal { dispatcher, ..self }
    }

    fn take(&mut self, view: View<'_>) -> Option<usize> {
        let usable = |i: &&usize| !view.servers[**i].is_leaving && !view.servers[**i].is_gone;
        let live: Vec<usize> = self.servers.iter().filter(usable).copied().collect();
        let used: u32 = live.iter().map(|i| self.in_flight[*i]).sum();
        if used >= view.topology.ceiling(live.len() as u32) {
            return None;
        }
        let speed = |i: &usize| view.servers[*i].slowdown_factor(view.now);
        let fastest = live.iter().map(speed).min()?;
        let free = |i: &&usize| self.in_flight[**i] < view.topology.slots;
        let best = live.iter().filter(free).filter(|i| speed(i) == fastest);
        let server = *best.min_by_key(|i| self.in_flight[**i])?;
        self.in_flight[server] += 1;
        Some(server)
    }
}

impl Policy for Ideal {
    fn dispatcher(&self, host: usize) -> usize {
        self.dispatcher.unwrap_or(host)
    }

    fn offer(&mut self, request: usize, dispatcher: usize, view: View<'_>) -> Decision {
        if let Some(server) = self.queue.is_empty().then(|| self.take(view)).flatten() {
            return Decision::Start(server);
        }
        self.queue.push_back((request, dispatcher));
        Decision::Wait
    }

    fn next_granted(&mut self, view: View<'_>) -> Option<Grant> {
        if self.queue.is_empty() {
            return None;
        }
        let server = self.take(view)?;
        let (request, dispatcher) = self.queue.pop_front()?;
        Some(Grant { request, dispatcher, server })
    }

    fn abandon(&mut self, request: usize) {
        self.queue.retain(|(waiting, _)| *waiting != request);
    }

    fn record_answer(
        &mut self,
        _dispatcher: usize,
        server: usize,
        _latency: Option<Duration>,
        _view: View<'_>,
    ) {
        self.in_flight[server] -= 1;
    }

    fn record_leaving(&mut self, _dispatcher: usize, _server: usize, _view: View<'_>) {}

    fn has_network_costs(&self) -> bool {
        self.dispatcher.is_some()
    }
}
