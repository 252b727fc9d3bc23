//! Shares in motion: from those in force to those wanted, no faster than the cap.

use crate::{prelude::*, shift};

/// The part of a cap that a planned move uses, in percent; the rest covers the spread between
/// hosts that learn of a change at different times, and the rounding of small counts.
const USED_PERCENT: u64 = 80;

/// The shares in force on this host, moving towards a target.
#[derive(Clone, Debug)]
pub struct Slew {
    shares: shift::Vector,
    moved_at: Instant,
}

/// Whether measurements allow a shift to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Measurements are fresh and the target has headroom.
    Go,
    /// Measurements stopped or the target is short of headroom.
    Wait,
}

impl Slew {
    /// Starts from the shares in force, which come from peers or the recorded row.
    pub fn new(shares: shift::Vector, now: Instant) -> Slew {
        Slew { shares, moved_at: now }
    }

    /// The shares in force.
    pub fn shares(&self) -> &shift::Vector {
        &self.shares
    }

    /// Moves towards `target` as far as `cap` allows since the last move.
    ///
    /// Time that passed while the shift had to wait, or while the process was paused, is not
    /// made up for: one step never exceeds what a twentieth of the window allows.
    pub fn advance(
        &mut self,
        target: &shift::Vector,
        cap: &shift::Cap,
        permit: Permit,
        now: Instant,
    ) {
        let elapsed = now.since(self.moved_at).min(cap.window / 20);
        let usable = u128::from(cap.rise_ppm) * u128::from(USED_PERCENT) / 100;
        let step = usable * elapsed.as_nanos() / cap.window.as_nanos();
        let step = u32::try_from(step).unwrap_or(u32::MAX);
        if permit == Permit::Wait {
            self.moved_at = now;
            return;
        }
        if step == 0 {
            return;
        }
        self.moved_at = now;
        self.shares = stepped(&self.shares, target, step);
    }
}

/// Moves each share the same part of its way, so that no share rises by more than `step`.
fn stepped(from: &shift::Vector, to: &shift::Vector, step: u32) -> shift::Vector {
    let rise = from.greatest_rise(to);
    if rise <= step {
        return to.clone();
    }
    let (step, rise) = (i64::from(step), i64::from(rise));
    let moved = from.shares().iter().zip(to.shares()).map(|(a, b)| {
        let way = i64::from(*b) - i64::from(*a);
        // Rounds rises down and falls towards zero; the remainder stays where traffic was.
        i64::from(*a) + way * step / rise
    });
    let mut shares: Vec<u32> = moved.map(|share| share as u32).collect();
    let sum: u32 = shares.iter().sum();
    let origin = largest_fall(from, to);
    shares[origin] =
        (i64::from(shares[origin]) + i64::from(shift::WHOLE_PPM) - i64::from(sum)) as u32;
    shift::Vector::try_from(shares).unwrap_or_else(|_| from.clone())
}

fn largest_fall(from: &shift::Vector, to: &shift::Vector) -> usize {
    let falls = from.shares().iter().zip(to.shares()).map(|(a, b)| a.saturating_sub(*b));
    falls.enumerate().max_by_key(|(_, fall)| *fall).map_or(0, |(i, _)| i)
}
