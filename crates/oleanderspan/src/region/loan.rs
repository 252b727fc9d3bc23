//! Slots that a region lends to others, so that no region starves beside one that has room.
//!
//! The load pattern that this answers: as many requests from each region, but few servers in one
//! of them, and waves of load that reach the regions one after the other. The host that gives
//! out the slots of a service in a region decides alone what it lends; a lent slot is counted by
//! the borrower alone, so that counts stay exact on both sides. See `docs/PLATFORM.md`.

use std::cmp::Reverse;

use crate::{backend, prelude::*, region};

/// How long a loan is used without news from its lender: three missed exchanges.
pub const TERM: Duration = Duration::from_millis(3_500);

/// How often lender and borrower talk.
pub const INTERVAL: Duration = Duration::from_millis(1_000);

/// The part of the slots, in percent, by which loans change in one interval. At most 15 % of a
/// region's requests may change the region that runs them within two seconds.
const STEP_PERCENT: u32 = 5;

/// How much more loaded, in percent, a borrower must be than its lender: a request that crosses
/// regions takes longer, so that small differences are not worth it.
const LEAST_DIFFERENCE_PERCENT: u64 = 10;

/// The load that is assumed before requests have told, in percent of all slots.
const ASSUMED_LOAD_PERCENT: u64 = 80;

value! {
    /// What a region needs and has, for one service.
    #[derive(Copy, Default)]
    pub struct Standing {
        /// Slots that its requests need, in thousandths; none if that isn't known yet.
        pub needed_milli: Option<u64>,
        /// Slots of its servers.
        pub slots: u32,
    }
}

/// The slots that `own` should lend to each region, by region index.
///
/// All slots are shared in proportion to need. A region lends what it has beyond its part, to
/// those that have less than theirs, in proportion to what they lack.
pub fn plan(own: region::Index, standings: &[Option<Standing>]) -> Vec<u32> {
    let mut plan = vec![0; standings.len()];
    let known: Vec<(usize, Standing)> =
        standings.iter().enumerate().filter_map(|(i, one)| Some((i, (*one)?))).collect();
    let slots: u64 = known.iter().map(|(_, one)| u64::from(one.slots)).sum();
    let regions = known.len() as u64;
    if regions < 2 || slots == 0 {
        return plan;
    }
    let assumed = slots * 1_000 * ASSUMED_LOAD_PERCENT / 100 / regions;
    let needed = |one: &Standing| one.needed_milli.unwrap_or(assumed).max(1);
    let all: u64 = known.iter().map(|(_, one)| needed(one)).sum();
    let part = |one: &Standing| slots * needed(one) / all;
    let Some((_, mine)) = known.iter().find(|(i, _)| *i == usize::from(own.0)) else {
        return plan;
    };
    let spare = u64::from(mine.slots).saturating_sub(part(mine));
    let lacks = |one: &Standing| match is_more_loaded(one, mine, needed) {
        true => part(one).saturating_sub(one.slots.into()),
        false => 0,
    };
    let lacked: u64 = known.iter().map(|(_, one)| lacks(one)).sum();
    let spared: u64 =
        known.iter().map(|(_, one)| u64::from(one.slots).saturating_sub(part(one))).sum();
    if spare == 0 || lacked == 0 {
        return plan;
    }
    for (i, one) in &known {
        let lent = lacks(one).min(lacked) * spare / spared.max(1);
        plan[*i] = u32::try_from(lent.min(spare)).unwrap_or(u32::MAX);
    }
    plan
}

fn is_more_loaded(one: &Standing, than: &Standing, needed: impl Fn(&Standing) -> u64) -> bool {
    // needed(one) / slots(one) against needed(than) / slots(than), without a division.
    let left = needed(one) * u64::from(than.slots) * 100;
    let right = needed(than) * u64::from(one.slots) * (100 + LEAST_DIFFERENCE_PERCENT);
    left > right
}

/// How long a host that begins to lend may do so at once: until it has heard of the other regions.
const SETTLING: Duration = Duration::from_millis(3_500);

/// Whether a loan may take its size at once: while no requests come, and where neither lender nor
/// borrower knows of a loan since the lender began, as after a restart of all hosts. Nothing that
/// runs can shift then.
pub fn is_free(is_idle: bool, lent: u32, lends_for: Duration) -> bool {
    is_idle || lent == 0 && lends_for < SETTLING
}

/// The next size of a loan on its way from `now` to `wanted`, for a service with `slots` slots.
pub fn step(now: u32, wanted: u32, slots: u32, is_free: bool) -> u32 {
    if is_free {
        return wanted;
    }
    let most = (slots * STEP_PERCENT / 100).max(1);
    wanted.clamp(now.saturating_sub(most), now.saturating_add(most))
}

/// Slots by server.
pub type Slots = Map<backend::Name, u32>;

/// What a region has lent of its servers, by borrowing region.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    lent: Map<region::Index, Slots>,
}

impl Ledger {
    /// Slots lent to a region.
    pub fn lent_to(&self, region: region::Index) -> u32 {
        self.lent.get(&region).map_or(0, |slots| slots.values().sum())
    }

    /// Slots of a server that are lent to anybody.
    pub fn lent_of(&self, server: &backend::Name) -> u32 {
        self.lent.values().filter_map(|slots| slots.get(server)).sum()
    }

    /// The loans of a region.
    pub fn loans(&self, region: region::Index) -> impl Iterator<Item = (&backend::Name, u32)> {
        let slots = self.lent.get(&region).into_iter().flatten();
        slots.map(|(name, slots)| (name, *slots))
    }

    /// Takes what a borrower holds of an earlier lender, who may have died with its ledger.
    pub fn adopt(&mut self, region: region::Index, holds: Slots) {
        if self.lent_to(region) == 0 && !holds.is_empty() {
            self.lent.insert(region, holds);
        }
    }

    /// Sets the size of a region's loan. `servers` are those that may be lent, with their slots;
    /// loans of others are called back.
    pub fn set(&mut self, region: region::Index, size: u32, servers: &[(backend::Name, u32)]) {
        let slots = self.lent.entry(region).or_default();
        slots.retain(|name, _| servers.iter().any(|(known, _)| known == name));
        let mut lent: u32 = slots.values().sum();
        while lent > size {
            let Some(name) = slots.iter().min_by_key(|(name, n)| (**n, *name)) else { break };
            let name = name.0.clone();
            if let Some(n) = slots.get_mut(&name) {
                *n -= 1;
            }
            slots.retain(|_, n| *n > 0);
            lent -= 1;
        }
        while lent < size {
            let Some(name) = self.next_to_lend(region, servers) else { break };
            *self.lent.entry(region).or_default().entry(name).or_default() += 1;
            lent += 1;
        }
    }

    /// The server whose slot is lent next: one that is lent in part already, so that few servers
    /// have to remember the objects of two regions. The last server is kept.
    fn next_to_lend(
        &self,
        region: region::Index,
        servers: &[(backend::Name, u32)],
    ) -> Option<backend::Name> {
        let kept = servers.iter().filter(|(name, _)| self.lent_of(name) == 0).count();
        let own = |name| self.lent.get(&region).and_then(|slots| slots.get(name)).copied();
        let free = servers.iter().filter(|(name, slots)| {
            let lent = self.lent_of(name);
            lent < *slots && (lent > 0 || kept > 1)
        });
        let best = free.max_by_key(|(name, _)| {
            let others = self.lent_of(name) - own(name).unwrap_or(0);
            (Reverse(others), own(name).unwrap_or(0), Reverse(name))
        });
        best.map(|(name, _)| name.clone())
    }
}

/// Slots that a region has borrowed from another.
#[derive(Clone, Debug)]
pub struct Borrowed {
    /// The slots.
    pub slots: Slots,
    /// When they must no longer be used.
    pub expires: Instant,
}
