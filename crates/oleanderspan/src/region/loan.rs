//! Lending of slots between regions, so that no region refuses requests while another has free
//! slots.
//!
//! This serves equal request rates in all regions with few servers in one of them, and load peaks
//! that reach the regions one after the other. The host that assigns the slots of a service in a
//! region alone decides what it lends, and a lent slot is counted by the borrower alone, so that
//! the counts of both sides are exact. See `docs/PLATFORM.md`.

use std::cmp::Reverse;

use crate::{backend, prelude::*, region};

/// The time for which a loan is valid after the last message from its lender. It outlasts three
/// missed exchanges.
pub const TTL: Duration = Duration::from_millis(3_500);

/// The interval between exchanges of a lender and a borrower.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The maximum change of a loan in one interval, in percent of the region's slots. At most 15 % of
/// a region's requests may move to another region within two seconds.
const MAX_STEP_PERCENT: u32 = 5;

/// The minimum by which the load of a borrower must exceed that of its lender, in percent. Requests
/// that cross regions have a higher latency, so that a loan does not pay for small differences.
const MIN_DIFFERENCE_PERCENT: u64 = 10;

/// The load that is assumed while the request rate is unknown, in percent of all slots.
const ASSUMED_LOAD_PERCENT: u64 = 80;

value! {
    /// The demand and the capacity of a region, for one service.
    #[derive(Copy, Default)]
    pub struct CapacityReport {
        /// The number of slots that its requests need, in thousandths; `None` until the request
        /// rate is known.
        pub needed_milli: Option<u64>,
        /// The number of slots of its own servers.
        pub slots: u32,
    }
}

/// The slots that `own` should lend to each region, by region index.
///
/// The fair share of a region is its part of all slots in proportion to its demand. A region lends
/// the slots above its fair share to the regions below theirs, in proportion to their shortage.
/// `reports` is ordered by region index; regions without a report neither lend nor borrow.
pub fn plan(own: region::Index, reports: &[Option<CapacityReport>]) -> Vec<u32> {
    let mut plan = vec![0; reports.len()];
    let known: Vec<(usize, CapacityReport)> =
        reports.iter().enumerate().filter_map(|(i, report)| Some((i, (*report)?))).collect();
    let total_slots: u64 = known.iter().map(|(_, report)| u64::from(report.slots)).sum();
    let regions = known.len() as u64;
    if regions < 2 || total_slots == 0 {
        return plan;
    }
    let assumed = total_slots.saturating_mul(10 * ASSUMED_LOAD_PERCENT) / regions;
    let required = |report: &CapacityReport| report.needed_milli.unwrap_or(assumed).max(1);
    let total_required: u128 = known.iter().map(|(_, report)| u128::from(required(report))).sum();
    let fair_share = |report: &CapacityReport| {
        let share = u128::from(total_slots) * u128::from(required(report)) / total_required;
        u64::try_from(share).unwrap_or(u64::MAX)
    };
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
        let lent = u128::from(shortage(report)) * u128::from(surplus);
        let lent = lent / u128::from(total_surplus.max(1));
        plan[*i] = u32::try_from(lent.min(surplus.into())).unwrap_or(u32::MAX);
    }
    plan
}

fn is_more_loaded(
    report: &CapacityReport,
    lender: &CapacityReport,
    required: impl Fn(&CapacityReport) -> u64,
) -> bool {
    // Compares required / slots of both regions without a division.
    let load = |of: &CapacityReport, other: &CapacityReport, percent: u64| {
        u128::from(required(of)) * u128::from(other.slots) * u128::from(percent)
    };
    load(report, lender, 100) > load(lender, report, 100 + MIN_DIFFERENCE_PERCENT)
}

/// The time after a host becomes a lender for which it may create loans in a single step: until it
/// has reports from the other regions.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(3_500);

/// Whether a loan may reach its planned size in a single step, as no running request can move.
///
/// That is the case while there are no requests, and while neither the lender nor the borrower
/// knows of a loan shortly after the lender's start, such as after a restart of all hosts.
pub fn may_resize_at_once(is_idle: bool, lent: u32, lending_for: Duration) -> bool {
    is_idle || lent == 0 && lending_for < DISCOVERY_PERIOD
}

/// Whether a lender adopts what a borrower says it holds, given for how long it has been a lender.
/// Later on its own ledger is right: a loan that it has just recalled must not come back.
pub fn may_adopt(lending_for: Duration) -> bool {
    lending_for < DISCOVERY_PERIOD
}

/// The next size of a loan that changes from `current` to `wanted`, where the lender has `slots`
/// slots.
pub fn next_size(current: u32, wanted: u32, slots: u32, resize_at_once: bool) -> u32 {
    if resize_at_once {
        return wanted;
    }
    let max_change = (slots / 100 * MAX_STEP_PERCENT + slots % 100 * MAX_STEP_PERCENT / 100).max(1);
    wanted.clamp(current.saturating_sub(max_change), current.saturating_add(max_change))
}

/// Numbers of slots by server.
pub type Slots = Map<backend::Name, u32>;

/// The slots that a region has lent, by borrowing region and server.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    lent: Map<region::Index, Slots>,
}

impl Ledger {
    /// The number of slots lent to a region.
    pub fn lent_to(&self, region: region::Index) -> u32 {
        self.lent.get(&region).map_or(0, |slots| slots.values().sum())
    }

    /// The number of slots of a server that are lent to any region.
    pub fn lent_from(&self, server: &backend::Name) -> u32 {
        self.lent.values().filter_map(|slots| slots.get(server)).sum()
    }

    /// The slots lent to a region, by server.
    pub fn loans(&self, region: region::Index) -> impl Iterator<Item = (&backend::Name, u32)> {
        let slots = self.lent.get(&region).into_iter().flatten();
        slots.map(|(name, slots)| (name, *slots))
    }

    /// Adopts the slots that a borrower holds from a previous lender, whose ledger may be lost.
    /// Ignored if this ledger has a loan to the region.
    pub fn adopt(&mut self, region: region::Index, held: Slots) {
        if self.lent_to(region) == 0 && !held.is_empty() {
            self.lent.insert(region, held);
        }
    }

    /// Changes the loan of a region to `size` slots, or to fewer if the servers do not suffice.
    /// `servers` are those that may be lent, with their slots; slots of other servers are recalled.
    pub fn resize(&mut self, region: region::Index, size: u32, servers: &[(backend::Name, u32)]) {
        let slots = self.lent.entry(region).or_default();
        slots.retain(|name, _| servers.iter().any(|(known, _)| known == name));
        let mut lent: u32 = slots.values().sum();
        while lent > size {
            let Some(name) = slots.iter().min_by_key(|(name, n)| (**n, *name)) else { break };
            let name = name.0.clone();
            if let Some(n) = slots.get_mut(&name) {
                // The server with the fewest stays that while it loses more.
                let recalled = (lent - size).min(*n);
                *n -= recalled;
                lent -= recalled;
            }
            slots.retain(|_, n| *n > 0);
        }
        while lent < size {
            let Some((name, free)) = self.next_to_lend(region, servers) else { break };
            // The best server stays that while it has a free slot.
            let added = (size - lent).min(free);
            *self.lent.entry(region).or_default().entry(name).or_default() += added;
            lent += added;
        }
    }

    /// Selects the server of the next slots to lend, with the number of its free ones: one that is
    /// partly lent already, so that few servers handle the objects of two regions. The last server
    /// without a loan is never selected.
    fn next_to_lend(
        &self,
        region: region::Index,
        servers: &[(backend::Name, u32)],
    ) -> Option<(backend::Name, u32)> {
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
        best.map(|(name, slots)| (name.clone(), slots - self.lent_from(name)))
    }
}

/// The slots that a region has borrowed from another.
#[derive(Clone, Debug)]
pub struct Borrowed {
    /// The borrowed slots, by server.
    pub slots: Slots,
    /// The time from which the slots must not be used.
    pub expires: Instant,
}
