//! Handover of the dispatcher role of one service in one region from one host to another.
//!
//! Two hosts may both consider themselves the dispatcher. A host that takes over admits no request
//! while its predecessor claims the role, up to [`MAX_HOLD`], and then subtracts the requests that
//! other hosts report in flight. `docs/PROOFS.md`, "No region overloaded", states what holds when
//! hosts cannot reach each other.

use crate::prelude::*;

/// The maximum time that a new dispatcher waits for its predecessor to release the role.
pub const MAX_HOLD: Duration = Duration::from_secs(3);

/// The minimum time that a new dispatcher waits, so that hosts that take over at the same time
/// receive each other's claims.
pub const MIN_HOLD: Duration = Duration::from_millis(750);

key! {
    /// The last report of another host about the same service and region.
    pub struct DispatchClaim {
        /// The number of requests in flight that the host counts itself.
        pub in_flight: u32,
        /// Whether the host considers itself the dispatcher and may admit requests.
        pub dispatches: bool,
    }

    /// The state of the dispatcher role on this host.
    pub enum Handover {
        /// Another host is the dispatcher.
        Remote,
        /// This host has taken over and waits for its predecessor to release the role.
        Waiting {
            /// The time of the takeover.
            since: Instant,
        },
        /// This host is the dispatcher.
        Local,
    }
}

impl Handover {
    /// The next state. `dispatches_here` is whether this host is the dispatcher in its own view;
    /// `others` are the claims of the other hosts.
    pub fn next(self, dispatches_here: bool, others: &[DispatchClaim], now: Instant) -> Handover {
        if !dispatches_here {
            return Handover::Remote;
        }
        let since = match self {
            Handover::Local => return Handover::Local,
            Handover::Waiting { since } => since,
            Handover::Remote => now,
        };
        let waited = now.since(since);
        let has_yielded = others.iter().all(|claim| !claim.dispatches);
        if waited >= MAX_HOLD || has_yielded && waited >= MIN_HOLD {
            Handover::Local
        } else {
            Handover::Waiting { since }
        }
    }

    /// The number of slots of `ceiling` that this host must not use; `u32::MAX` while it waits.
    ///
    /// Hosts that claim the role at the same time divide the slots that former dispatchers leave
    /// equally until they agree. Each reserves the full share of the others, since their reported
    /// counts may be out of date.
    pub fn reserved_slots(self, others: &[DispatchClaim], ceiling: u32) -> u32 {
        let active = others.iter().filter(|claim| claim.dispatches);
        let draining = others.iter().filter(|claim| !claim.dispatches);
        let draining = draining.fold(0u32, |sum, claim| sum.saturating_add(claim.in_flight));
        let hosts = u32::try_from(active.clone().count() + 1).unwrap_or(u32::MAX);
        let own_share = ceiling.saturating_sub(draining) / hosts;
        let reserved =
            active.fold(draining, |sum, claim| sum.saturating_add(claim.in_flight.max(own_share)));
        match self {
            Handover::Remote => 0,
            Handover::Waiting { .. } => u32::MAX,
            Handover::Local => reserved.max(ceiling - own_share),
        }
    }
}
