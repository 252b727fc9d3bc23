//! How the dispatch of one service in one region passes from one host to another.
//!
//! Two hosts may both believe that they dispatch. A host that takes over admits nothing while
//! the one before says that it still dispatches, and then subtracts what others count in flight.
//! What holds when hosts can't hear each other is written in `docs/PROOFS.md`, "No region
//! overloaded".

use crate::prelude::*;

/// The longest time that a host which takes over waits for the one before to yield.
pub const LONGEST_HOLD: Duration = Duration::from_secs(3);

/// The least time that a host holds, so that hosts that take over at once hear of each other.
pub const LEAST_HOLD: Duration = Duration::from_millis(750);

key! {
    /// What another host last said of the same service and region.
    pub struct Claim {
        /// Requests in flight by its own count.
        pub in_flight: u32,
        /// Whether it may admit new ones.
        pub dispatches: bool,
    }

    /// How far a takeover has come.
    pub enum Handover {
        /// Another host dispatches.
        Elsewhere,
        /// This host took over and waits for the one before to yield.
        Holding {
            /// When it took over.
            since: Instant,
        },
        /// This host dispatches.
        Own,
    }
}

impl Handover {
    /// The next state, from whether this host dispatches by its own view and what others say.
    pub fn next(self, is_own: bool, others: &[Claim], now: Instant) -> Handover {
        if !is_own {
            return Handover::Elsewhere;
        }
        let since = match self {
            Handover::Own => return Handover::Own,
            Handover::Holding { since } => since,
            Handover::Elsewhere => now,
        };
        let held = now.since(since);
        let has_yielded = others.iter().all(|claim| !claim.dispatches);
        if held >= LONGEST_HOLD || has_yielded && held >= LEAST_HOLD {
            Handover::Own
        } else {
            Handover::Holding { since }
        }
    }

    /// Places of `ceiling` that this host must leave free.
    ///
    /// Hosts that all say that they dispatch divide what the others leave, until they agree; each
    /// leaves the others their part, as it can't know how far they have used it since.
    pub fn withheld(self, others: &[Claim], ceiling: u32) -> u32 {
        let rivals = others.iter().filter(|claim| claim.dispatches);
        let ending = others.iter().filter(|claim| !claim.dispatches);
        let ending = ending.fold(0u32, |sum, claim| sum.saturating_add(claim.in_flight));
        let hosts = u32::try_from(rivals.clone().count() + 1).unwrap_or(u32::MAX);
        let part = ceiling.saturating_sub(ending) / hosts;
        let reserved =
            rivals.fold(ending, |sum, rival| sum.saturating_add(rival.in_flight.max(part)));
        match self {
            Handover::Elsewhere => 0,
            Handover::Holding { .. } => u32::MAX,
            Handover::Own => reserved.max(ceiling - part),
        }
    }
}
