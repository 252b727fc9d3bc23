//! How near another host is, and the choice of peers: near ones often, far ones seldom.

use crate::prelude::*;

/// A source of random numbers, passed in so that tests can repeat a run.
pub trait Random {
    /// A number from 0 up to and without `bound`, which is over 0.
    fn below(&mut self, bound: usize) -> usize;
}

key! {
    /// How near a host is.
    pub enum Proximity {
        /// In the same availability zone.
        Zone,
        /// In another zone of the same region.
        Region,
        /// In another region, or in one that is not known.
        Remote,
    }
}

impl Proximity {
    /// Every proximity, the nearest first.
    pub const ALL: [Proximity; 3] = [Proximity::Zone, Proximity::Region, Proximity::Remote];
}

/// Candidates by proximity, of which some are taken out at random.
#[derive(Debug)]
pub(super) struct Candidates<T> {
    by_proximity: [Vec<T>; 3],
}

impl<T> Candidates<T> {
    pub(super) fn new() -> Candidates<T> {
        Candidates { by_proximity: [const { Vec::new() }; 3] }
    }

    pub(super) fn add(&mut self, proximity: Proximity, candidate: T) {
        self.by_proximity[proximity as usize].push(candidate);
    }

    /// Takes one candidate of `proximity`, or of the next wider one that has any.
    pub(super) fn take(&mut self, proximity: Proximity, random: &mut impl Random) -> Option<T> {
        let by_proximity = &mut self.by_proximity[proximity as usize..];
        let candidates = by_proximity.iter_mut().find(|candidates| !candidates.is_empty())?;
        let position = random.below(candidates.len());
        Some(candidates.swap_remove(position))
    }
}

/// The mean time `mean`, spread by a quarter to both sides so that hosts do not act in step.
pub fn jitter(mean: Duration, random: &mut impl Random) -> Duration {
    const STEPS: usize = 1_000;
    mean * (3 * STEPS + 2 * random.below(STEPS)) as u32 / (4 * STEPS) as u32
}
