//! Choice of the region, host by host, with the real shares, caps and diffusers.

use oleanderspan::{
    prelude::*,
    region,
    shift::{
        Cap, Diffuser, Slew, Vector,
        slew::{Permit, Range},
    },
};

use crate::measure::case::Topology;

/// What one host does for callers of one region.
#[derive(Debug)]
struct Route {
    slew: Slew,
    target: Vector,
    cap: Cap,
    diffuser: Diffuser,
}

/// Routes by host and by the region of the caller.
#[derive(Debug)]
pub struct Router {
    routes: Vec<Vec<Route>>,
}

impl Router {
    /// Every region serves its own callers.
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

    /// Sets where callers of `origin` go in the end, and how fast.
    pub fn set_target(&mut self, origin: usize, target: &Vector, cap: &Cap) {
        for host in &mut self.routes {
            host[origin].target = target.clone();
            host[origin].cap = cap.clone();
        }
    }

    /// Moves all shares as far as their caps allow.
    pub fn advance(&mut self, now: Instant) {
        for route in self.routes.iter_mut().flatten() {
            // All hosts of a run move alike, so that none has to stay near the others.
            let range = Range::any(route.target.shares().len());
            route.slew.advance(&route.target, &route.cap, Permit::Go, &range, now);
        }
    }

    /// The region of the next request.
    pub fn next_region(&self, host: usize, origin: usize) -> usize {
        let route = &self.routes[host][origin];
        // The shares of a run always add up to the whole, so that some region is next.
        let next = route.diffuser.next(route.slew.shares());
        next.map_or(origin, |region| usize::from(region.0))
    }

    /// The shares in force for callers of `origin`; all hosts move alike.
    pub fn shares(&self, origin: usize) -> &[u32] {
        self.routes[0][origin].slew.shares().shares()
    }
}
