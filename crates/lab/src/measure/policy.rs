//! Ways of deciding which server runs a request, for the servers of one region.

pub mod ideal;
pub mod per_host;
pub mod pooled;

use oleanderspan::prelude::*;

use crate::measure::{case::Topology, server::Server};

/// What a policy may look at; only the ideal looks into the servers.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Instant,
    /// How long a request may wait for a slot.
    pub queue_timeout: Duration,
    /// Where hosts and servers stand.
    pub topology: &'a Topology,
    /// The true state of all servers.
    pub servers: &'a [Server],
}

/// What becomes of a request that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes to this server.
    Start(usize),
    /// It waits until [`Policy::granted`] names it.
    Wait,
    /// It is refused as not run.
    Refuse,
}

/// A waiting request that got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub request: usize,
    /// The host that decided.
    pub dispatcher: usize,
    /// The server.
    pub server: usize,
}

/// A way of deciding.
pub trait Policy {
    /// The host that decides for requests that enter at `host`.
    fn dispatcher(&self, host: usize) -> usize {
        host
    }

    /// Decides about a request.
    fn offer(&mut self, request: usize, dispatcher: usize, view: View<'_>) -> Decision;

    /// A waiting request that may start now.
    fn next_granted(&mut self, view: View<'_>) -> Option<Grant>;

    /// A waiting request that is refused before its time is up.
    fn next_refused(&mut self) -> Option<usize> {
        None
    }

    /// Takes note that a waiting request gave up.
    fn abandon(&mut self, request: usize);

    /// Takes note of an answer; `latency` is `None` for a failed or cancelled attempt.
    fn record_answer(
        &mut self,
        dispatcher: usize,
        server: usize,
        latency: Option<Duration>,
        view: View<'_>,
    );

    /// Chooses another server for a hedge of a read that has run on `server` since `began`, or
    /// `None` if there is none or it is too soon.
    fn hedge(&mut self, _dispatcher: usize, _server: usize, _view: View<'_>) -> Option<usize> {
        None
    }

    /// How long a read runs before it is worth a hedge.
    fn hedge_delay(&self, _dispatcher: usize) -> Option<Duration> {
        None
    }

    /// Takes note that `server` was seen to leave by `decider`.
    fn record_leaving(&mut self, dispatcher: usize, server: usize, view: View<'_>);

    /// Takes note that a host takes no more requests.
    fn remove_host(&mut self, _host: usize, _view: View<'_>) {}

    /// Whether connections and the way to a server cost time.
    fn has_network_costs(&self) -> bool {
        true
    }
}
