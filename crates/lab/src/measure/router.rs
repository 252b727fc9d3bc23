//! Region selection on each host, using the production shares, caps and diffusers.

use oleanderspan::{
    prelude::*,
    region,
    shift::{
        Cap, Diffuser, Slew, Vector,
        slew::{Permit, Range},
    },
};

use crate::measure::case::Topology;

/// Routing state of one host for the callers of one region.
#[derive(Debug)]
struct Route {
    slew: Slew,
    target: Vector,
    cap: Cap,
    diffuser: Diffuser,
}

/// Routes, indexed by host and by the caller's region.
#[derive(Debug)]
pub struct Router {
    routes: Vec<Vec<Route>>,
}

impl Router {
    /// Creates a router that sends all callers to their own region.
    pub fn new(topology: &Topology, cap: &Cap) -> Router {
        let regions = topology.regions();
        let route = |region: usize| {
            let shares = Vector::only(region::Index(region as u16), regions);
            Route {
                slew: Slew::new(shares.clone(), Instant::ZERO),
                target: shares,
                cap: cap.clone(),
                diffuser: Diffuser::new(regions),
            }
        };
        let routes = topology.hosts.iter().map(|_| (0..regions).map(route).collect());
        Router { routes: routes.collect() }
    }

    /// Sets the target shares for callers of `origin`, and the cap on how fast shares move towards
    /// them.
    pub fn set_target(&mut self, origin: usize, target: &Vector, cap: &Cap) {
        for host in &mut self.routes {
            host[origin].target = target.clone();
            host[origin].cap = cap.clone();
        }
    }

    /// Moves all shares towards their targets as far as the caps allow at `now`.
    pub fn advance(&mut self, now: Instant) {
        for route in self.routes.iter_mut().flatten() {
            // All hosts of a simulation advance in step, so no range limit is needed to keep them
            // close.
            let range = Range::any(route.target.shares().len());
            route.slew.advance(&route.target, &route.cap, Permit::Go, &range, now);
        }
    }

    /// Returns the region of the next request from callers of `origin` at `host`.
    pub fn next_region(&self, host: usize, origin: usize) -> usize {
        let route = &self.routes[host][origin];
        // Shares always sum to the whole, so a region is always found.
        let next = route.diffuser.next(route.slew.shares());
        next.map_or(origin, |region| usize::from(region.0))
    }

    /// Current shares for callers of `origin`, in parts per million; the same on all hosts.
    pub fn shares(&self, origin: usize) -> &[u32] {
        self.routes[0][origin].slew.shares().shares()
    }
}
