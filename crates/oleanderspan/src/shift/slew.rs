//! Slew-rate limiting: moves the shares in force towards a target no faster than the cap.

use crate::{prelude::*, shift};

/// The shares for the callers of one region, with the time of the last move.
#[derive(Clone, Debug)]
pub struct Slew {
    shares: shift::Vector,
    moved_at: Instant,
}

/// Whether measurements allow a shift to continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Measurements are current and the target regions have headroom.
    Go,
    /// Measurements are missing or a target region is short of headroom.
    Wait,
}

/// Permitted range of each region's share, which limits the difference between hosts.
#[derive(Clone, Debug)]
pub struct Range {
    least: Box<[u32]>,
    most: Box<[u32]>,
}

impl Range {
    /// Permits any share, for `regions` regions.
    pub fn any(regions: usize) -> Range {
        Range { least: vec![0; regions].into(), most: vec![shift::WHOLE_PPM; regions].into() }
    }

    /// Narrows the range to shares within `spread` (parts per million) of those of a peer.
    pub fn narrow(&mut self, peer: &shift::Vector, spread: u32) {
        for (least, share) in self.least.iter_mut().zip(peer.shares()) {
            *least = (*least).max(share.saturating_sub(spread));
        }
        for (most, share) in self.most.iter_mut().zip(peer.shares()) {
            *most = (*most).min(share.saturating_add(spread));
        }
    }
}

impl Slew {
    /// Starts from the shares in force, as last moved at `now`.
    pub fn new(shares: shift::Vector, now: Instant) -> Slew {
        Slew { shares, moved_at: now }
    }

    /// Shares in force after the last move.
    pub fn shares(&self) -> &shift::Vector {
        &self.shares
    }

    /// Moves towards `target` as far as `cap` allows since the last move, within `range`.
    ///
    /// Time during which the shift had to wait or the process was paused is not caught up: see
    /// [`shift::Cap::step`].
    pub fn advance(
        &mut self,
        target: &shift::Vector,
        cap: &shift::Cap,
        permit: Permit,
        range: &Range,
        now: Instant,
    ) {
        let step = cap.step(now.since(self.moved_at));
        if permit == Permit::Wait || self.shares == *target {
            self.moved_at = now;
            return;
        }
        if step == 0 {
            return;
        }
        self.moved_at = now;
        self.shares = step_towards(&self.shares, target, step, range);
    }
}

/// Moves shares from regions that may fall to regions that may rise, within `range` and with no
/// rise above `step`.
///
/// A region that may not move does not block the others; otherwise hosts that are each ahead in
/// a different region would wait for each other forever. The refused share falls like the share
/// of a region.
fn step_towards(
    from: &shift::Vector,
    to: &shift::Vector,
    step: u32,
    range: &Range,
) -> shift::Vector {
    let ends = || from.shares().iter().zip(to.shares());
    let rises = ends().zip(&range.most);
    let rises: Vec<u32> =
        rises.map(|((a, b), most)| b.min(most).saturating_sub(*a).min(step)).collect();
    let falls = ends().zip(&range.least);
    let mut falls: Vec<u32> =
        falls.map(|((a, b), least)| a.saturating_sub(*b.max(least))).collect();
    falls.push(from.refused().saturating_sub(to.refused()));
    let moved = rises.iter().sum::<u32>().min(falls.iter().sum());
    let rises = divide_in_proportion(moved, &rises);
    let falls = divide_in_proportion(moved, &falls);
    let shares = from.shares().iter().zip(rises).zip(falls);
    let shares = shares.map(|((share, rise), fall)| share + rise - fall).collect();
    shift::Vector::partial(shares).unwrap_or_else(|_| from.clone())
}

/// Divides `whole` in proportion to `parts` without exceeding any of them. `whole` must not exceed
/// the sum of `parts`.
fn divide_in_proportion(whole: u32, parts: &[u32]) -> Vec<u32> {
    let sum: u64 = parts.iter().copied().map(u64::from).sum::<u64>().max(1);
    let floor = |part: &u32| (u64::from(*part) * u64::from(whole) / sum) as u32;
    let mut divided: Vec<u32> = parts.iter().map(floor).collect();
    let mut rest = whole - divided.iter().sum::<u32>();
    for (share, part) in divided.iter_mut().zip(parts) {
        let more = rest.min(part - *share);
        *share += more;
        rest -= more;
    }
    divided
}
