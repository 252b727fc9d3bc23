//! Load-balancing policies, each for the servers of one region.

pub mod ideal;
pub mod per_host;
pub mod pooled;

use oleanderspan::prelude::*;

use crate::measure::{case::Topology, server::Server};

/// State visible to a policy; only the ideal policy reads `servers`.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Current simulated time.
    pub now: Instant,
    /// Maximum time that a request waits for a slot.
    pub queue_timeout: Duration,
    /// Hosts, servers and the latency between them.
    pub topology: &'a Topology,
    /// True state of the servers of all regions, by server index.
    pub servers: &'a [Server],
}

/// Result of offering a request to a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to the server with this index.
    Start(usize),
    /// The request waits until [`Policy::next_granted`] returns it.
    Wait,
    /// The request is refused without having run.
    Refuse,
}

/// A slot granted to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Index of the request.
    pub request: usize,
    /// Index of the host that granted the slot and sends the request.
    pub dispatcher: usize,
    /// Index of the server that holds the slot.
    pub server: usize,
}

/// A load-balancing policy for the servers of one region.
pub trait Policy {
    /// Returns the host that dispatches requests entering at `host`; by default `host` itself.
    fn dispatcher(&self, host: usize) -> usize {
        host
    }

    /// Starts, queues or refuses a request that reached `dispatcher`.
    fn offer(&mut self, request: usize, dispatcher: usize, view: View<'_>) -> Decision;

    /// Returns the next waiting request that got a slot.
    fn next_granted(&mut self, view: View<'_>) -> Option<Grant>;

    /// Returns the next waiting request that is refused before its queue timeout.
    fn next_refused(&mut self) -> Option<usize> {
        None
    }

    /// Removes a waiting request whose queue timeout has passed.
    fn abandon(&mut self, request: usize);

    /// Records the end of an attempt; `latency` is `None` if it failed or was cancelled.
    fn record_answer(
        &mut self,
        dispatcher: usize,
        server: usize,
        latency: Option<Duration>,
        view: View<'_>,
    );

    /// Chooses and occupies another server for hedging a read that runs on `server`. Returns
    /// `None` if no slot is available or it is too early to hedge.
    fn hedge(&mut self, _dispatcher: usize, _server: usize, _view: View<'_>) -> Option<usize> {
        None
    }

    /// Delay after which a read may be hedged; `None` disables hedging.
    fn hedge_delay(&self, _dispatcher: usize) -> Option<Duration> {
        None
    }

    /// Records that `dispatcher` learned that `server` is leaving.
    fn record_leaving(&mut self, dispatcher: usize, server: usize, view: View<'_>);

    /// Records that a host is draining and must not be elected as dispatching host.
    fn remove_host(&mut self, _host: usize, _view: View<'_>) {}

    /// Whether network latency and connection set-up take simulated time.
    fn has_network_costs(&self) -> bool {
        true
    }
}
