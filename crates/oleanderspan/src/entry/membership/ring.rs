//! How near another host is, and the choice of peers: near ones often, far ones seldom.

use crate::prelude::*;

/// A source of random numbers, passed in so that tests can repeat a run.
pub trait Random {
    /// A number from 0 up to and without `bound`, which is over 0.
    fn below(&mut self, bound: usize) -> usize;
}

key! {
    /// How near a host is.
    pub enum Ring {
        /// In the same availability zone.
        Zone,
        /// In another zone of the same region.
        Region,
        /// In another region, or in one that is not known.
        World,
    }
}

impl Ring {
    /// Every ring, the nearest first.
    pub const ALL: [Ring; 3] = [Ring::Zone, Ring::Region, Ring::World];
}

/// Candidates by ring, of which some are taken out at random.
#[derive(Debug)]
pub(super) struct Candidates<T> {
    rings: [Vec<T>; 3],
}

impl<T> Candidates<T> {
    pub(super) fn new() -> Candidates<T> {
        Candidates { rings: [const { Vec::new() }; 3] }
    }

    pub(super) fn add(&mut self, ring: Ring, candidate: T) {
        self.rings[ring as usize].push(candidate);
    }

    /// Takes one candidate of `ring`, or of the next wider one that has any.
    pub(super) fn take(&mut self, ring: Ring, random: &mut impl Random) -> Option<T> {
        let rings = &mut self.rings[ring as usize..];
        let candidates = rings.iter_mut().find(|candidates| !candidates.is_empty())?;
        let position = random.below(candidates.len());
        Some(candidates.swap_remove(position))
    }
}

/// The mean time `mean`, spread by a quarter to both sides so that hosts do not act in step.
pub fn jitter(mean: Duration, random: &mut impl Random) -> Duration {
    const STEPS: usize = 1_000;
    mean * (3 * STEPS + 2 * random.below(STEPS)) as u32 / (4 * STEPS) as u32
}
