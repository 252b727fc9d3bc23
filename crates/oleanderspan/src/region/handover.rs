//! How the dispatch of one service in one region passes from one host to another.
//!
//! Two hosts may both believe that they dispatch. A host that takes over admits nothing while
//! the one before says that it still dispatches, and then subtracts what others count in flight.
//! What holds when hosts can't hear each other is written in `docs/PROOFS.md`, "No region
//! overloaded".

use crate::prelude::*;

/// The longest time that a host which takes over waits for the one before to yield.
pub const LONGEST_HOLD: Duration = Duration::from_secs(3);

key! {
    /// What another host last said of the same service and region.
    pub struct Claim {
        /// Requests in flight by its own count.
        pub in_flight: u32,
        /// Whether it admits new ones.
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
        let has_yielded = others.iter().all(|claim| !claim.dispatches);
        if has_yielded || now.since(since) >= LONGEST_HOLD {
            Handover::Own
        } else {
            Handover::Holding { since }
        }
    }

    /// Places that this host must leave free.
    pub fn withheld(self, others: &[Claim]) -> u32 {
        match self {
            Handover::Holding { .. } => u32::MAX,
            _ => others.iter().fold(0, |sum, claim| sum.saturating_add(claim.in_flight)),
        }
    }
}
