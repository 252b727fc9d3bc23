//! Slots that a region lends to others, so that no region starves beside one that has room.
//!
//! The load pattern that this answers: as many requests from each region, but few servers in one
//! of them, and waves of load that reach the regions one after the other. The host that gives
//! out the slots of a service in a region decides alone what it lends; a lent slot is counted by
//! the borrower alone, so that counts stay exact on both sides. See `docs/PLATFORM.md`.

use std::cmp::Reverse;

use crate::{backend, prelude::*, region};

/// How long a loan is used without news from its lender: three missed exchanges.
pub const TTL: Duration = Duration::from_millis(3_500);

/// How often lender and borrower talk.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The part of the slots, in percent, by which loans change in one interval. At most 15 % of a
/// region's requests may change the region that runs them within two seconds.
const MAX_STEP_PERCENT: u32 = 5;

/// How much more loaded, in percent, a borrower must be than its lender: a request that crosses
/// regions takes longer, so that small differences are not worth it.
const MIN_DIFFERENCE_PERCENT: u64 = 10;

/// The load that is assumed before requests have told, in percent of all slots.
const ASSUMED_LOAD_PERCENT: u64 = 80;

value! {
    /// What a region needs and has, for one service.
    #[derive(Copy, Default)]
    pub struct CapacityReport {
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
pub fn plan(own: region::Index, reports: &[Option<CapacityReport>]) -> Vec<u32> {
    let mut plan = vec![0; reports.len()];
    let known: Vec<(usize, CapacityReport)> =
        reports.iter().enumerate().filter_map(|(i, report)| Some((i, (*report)?))).collect();
    let total_slots: u64 = known.iter().map(|(_, report)| u64::from(report.slots)).sum();
    let regions = known.len() as u64;
    if regions < 2 || total_slots == 0 {
        return plan;
    }
    let assumed = total_slots * 1_000 * ASSUMED_LOAD_PERCENT / 100 / regions;
    let required = |report: &CapacityReport| report.needed_milli.unwrap_or(assumed).max(1);
    let total_required: u64 = known.iter().map(|(_, report)| required(report)).sum();
    let fair_share = |report: &CapacityReport| total_slots * required(report) / total_required;
    let Some((_, own_report)) = known.iter().find(|(i, _)| *i == usize::from(own.0)) else {
        return plan;
    };
    let surplus = u64::from(own_report.slots).saturating_sub(fair_share(own_report));
    let shortage = |report: &CapacityReport| match is_more_loaded(report, own_report, required) {
        true => fair_share(report).saturating_sub(report.slots.into()),
        false => 0,
    };
    let total_shortage: u64 = known.iter().map(|(_, report)| shortage(report)).sum();
    let total_surplus: u64 = known
        .iter()
        .map(|(_, report)| u64::from(report.slots).saturating_sub(fair_share(report)))
        .sum();
    if surplus == 0 || total_shortage == 0 {
        return plan;
    }
    for (i, report) in &known {
        let lent = shortage(report).min(total_shortage) * surplus / total_surplus.max(1);
        plan[*i] = u32::try_from(lent.min(surplus)).unwrap_or(u32::MAX);
    }
    plan
}

fn is_more_loaded(
    report: &CapacityReport,
    lender: &CapacityReport,
    required: impl Fn(&CapacityReport) -> u64,
) -> bool {
    // Compares required / slots of both regions without a division.
    let left = required(report) * u64::from(lender.slots) * 100;
    let right = required(lender) * u64::from(report.slots) * (100 + MIN_DIFFERENCE_PERCENT);
    left > right
}

/// How long a host that begins to lend may do so at once: until it has heard of the other regions.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(3_500);

/// Whether a loan may take its size at once: while no requests come, and where neither lender nor
/// borrower knows of a loan since the lender began, as after a restart of all hosts. Nothing that
/// runs can shift then.
pub fn may_resize_at_once(is_idle: bool, lent: u32, lending_for: Duration) -> bool {
    is_idle || lent == 0 && lending_for < DISCOVERY_PERIOD
}

/// The next size of a loan on its way from `now` to `wanted`, for a service with `slots` slots.
pub fn next_size(current: u32, wanted: u32, slots: u32, resize_at_once: bool) -> u32 {
    if resize_at_once {
        return wanted;
    }
    let max_change = (slots * MAX_STEP_PERCENT / 100).max(1);
    wanted.clamp(current.saturating_sub(max_change), current.saturating_add(max_change))
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
    pub fn lent_from(&self, server: &backend::Name) -> u32 {
        self.lent.values().filter_map(|slots| slots.get(server)).sum()
    }

    /// The loans of a region.
    pub fn loans(&self, region: region::Index) -> impl Iterator<Item = (&backend::Name, u32)> {
        let slots = self.lent.get(&region).into_iter().flatten();
        slots.map(|(name, slots)| (name, *slots))
    }

    /// Takes what a borrower holds of an earlier lender, who may have died with its ledger.
    pub fn adopt(&mut self, region: region::Index, held: Slots) {
        if self.lent_to(region) == 0 && !held.is_empty() {
            self.lent.insert(region, held);
        }
    }

    /// Sets the size of a region's loan. `servers` are those that may be lent, with their slots;
    /// loans of others are called back.
    pub fn resize(&mut self, region: region::Index, size: u32, servers: &[(backend::Name, u32)]) {
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
        let unlent = servers.iter().filter(|(name, _)| self.lent_from(name) == 0).count();
        let own = |name| self.lent.get(&region).and_then(|slots| slots.get(name)).copied();
        let free = servers.iter().filter(|(name, slots)| {
            let lent = self.lent_from(name);
            lent < *slots && (lent > 0 || unlent > 1)
        });
        let best = free.max_by_key(|(name, _)| {
            let lent_to_others = self.lent_from(name) - own(name).unwrap_or(0);
            (Reverse(lent_to_others), own(name).unwrap_or(0), Reverse(name))
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
