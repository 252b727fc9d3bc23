//! How the dispatch of one service in one region passes from one host to another.
//!
//! Two hosts may both believe that they dispatch. A host that takes over admits nothing while
//! the one before says that it still dispatches, and then subtracts what others count in flight.
//! What holds when hosts can't hear each other is written in `docs/PROOFS.md`, "No region
//! overloaded".

use crate::prelude::*;

/// The longest time that a host which takes over waits for the one before to yield.
pub const MAX_HOLD: Duration = Duration::from_secs(3);

/// The least time that a host holds, so that hosts that take over at once hear of each other.
pub const MIN_HOLD: Duration = Duration::from_millis(750);

key! {
    /// What another host last said of the same service and region.
    pub struct DispatchClaim {
        /// Requests in flight by its own count.
        pub in_flight: u32,
        /// Whether it may admit new ones.
        pub dispatches: bool,
    }

    /// How far a takeover has come.
    pub enum Handover {
        /// Another host dispatches.
        Remote,
        /// This host took over and waits for the one before to yield.
        Waiting {
            /// When it took over.
            since: Instant,
        },
        /// This host dispatches.
        Local,
    }
}

impl Handover {
    /// The next state, from whether this host dispatches by its own view and what others say.
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

    /// Places of `ceiling` that this host must leave free.
    ///
    /// Hosts that all say that they dispatch divide what the others leave, until they agree; each
    /// leaves the others their part, as it can't know how far they have used it since.
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
