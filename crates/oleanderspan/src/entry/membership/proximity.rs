//! Proximity of other hosts, and random selection of peers by proximity.

use crate::prelude::*;

/// A source of random numbers, injected so that tests are reproducible.
pub trait Random {
    /// A number in `0..bound`; `bound` is greater than 0.
    fn below(&mut self, bound: usize) -> usize;
}

key! {
    /// The distance class of a host.
    pub enum Proximity {
        /// Same availability zone.
        Zone,
        /// Another zone of the same region.
        Region,
        /// Another region, or an unknown one.
        Remote,
    }
}

impl Proximity {
    /// Every proximity, the nearest first.
    pub const ALL: [Proximity; 3] = [Proximity::Zone, Proximity::Region, Proximity::Remote];
}

/// Candidates by proximity, drawn at random without replacement.
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

    /// Draws one candidate of `proximity`, or of the next more distant class that has any.
    pub(super) fn take(&mut self, proximity: Proximity, random: &mut impl Random) -> Option<T> {
        let by_proximity = &mut self.by_proximity[proximity as usize..];
        let candidates = by_proximity.iter_mut().find(|candidates| !candidates.is_empty())?;
        let position = random.below(candidates.len());
        Some(candidates.swap_remove(position))
    }
}

/// Spreads `mean` by up to a quarter in both directions, so that hosts do not act in lockstep.
pub fn jitter(mean: Duration, random: &mut impl Random) -> Duration {
    const STEPS: usize = 1_000;
    mean * (3 * STEPS + 2 * random.below(STEPS)) as u32 / (4 * STEPS) as u32
}
