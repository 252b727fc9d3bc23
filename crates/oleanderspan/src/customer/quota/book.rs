//! A region's part of a customer's limit, and its leases.

use std::hash::Hash;

use super::{Amount, LEASE_TTL, Lease, MAX_WAIT, REQUEST, Report, minted};
use crate::prelude::*;

/// The rate for each counter, in requests in 1,000 seconds, below which counters get whole requests
/// and no rate: a small rate would be split into parts of a request that nobody can use.
const MIN_RATE: u64 = 4_000;

/// How long it counts that another region had nothing left.
const REFUSAL_TTL: Duration = Duration::from_millis(300);

key! {
    /// Who holds a lease.
    pub enum Holder {
        /// A host of the region, which charges requests to it.
        Counter,
        /// The coordinator of another region.
        Region,
    }
}

#[derive(Clone, Copy, Debug)]
struct Held {
    holder: Holder,
    amount: Amount,
    wanted: Amount,
    demand: u64,
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Borrowed {
    amount: Amount,
    until: Instant,
}

/// A region's part of a customer's limit. `H` identifies hosts, `R` regions.
///
/// What it has leased and what it has left never exceed the region's part and what other regions
/// lend it.
#[derive(Debug)]
pub struct Book<H, R> {
    home: Amount,
    /// The tokens made by the rate that is not leased.
    level: u64,
    at: Instant,
    held: Map<H, Held>,
    borrowed: Map<R, Borrowed>,
    /// Tokens that counters lacked since the other regions were asked.
    unmet: u64,
    /// The other regions that had too little, and when.
    refusals: Map<R, Instant>,
    /// The number of other regions.
    lenders: usize,
}

impl<H: Clone + Eq + Hash, R: Copy + Eq + Hash> Book<H, R> {
    /// A book without leases or tokens, beside those of so many other regions.
    pub fn new(home: Amount, lenders: usize, now: Instant) -> Book<H, R> {
        Book {
            home,
            level: 0,
            at: now,
            held: Map::default(),
            borrowed: Map::default(),
            unmet: 0,
            refusals: Map::default(),
            lenders,
        }
    }

    /// Replaces the region's part; leases follow it as they are renewed.
    pub fn set_home(&mut self, home: Amount, now: Instant) {
        self.settle(now);
        self.home = home;
    }

    /// Whether nothing is leased or borrowed.
    pub fn is_idle(&self, now: Instant) -> bool {
        !self.held.values().any(|held| now < held.until)
            && !self.borrowed.values().any(|borrowed| now < borrowed.until)
    }

    /// Whether counters lack what other regions may have.
    pub fn is_short(&self) -> bool {
        self.unmet > 0
    }

    /// What counters of the region would use.
    pub fn wanted(&self) -> Amount {
        let counters = self.held.values().filter(|held| held.holder == Holder::Counter);
        counters.fold(Amount::default(), |sum, held| sum.plus(held.wanted))
    }

    /// The demand that some or all holders report, in requests in 1,000 seconds.
    fn demand(&self, holder: Option<Holder>) -> u64 {
        let held = self.held.values().filter(|held| holder.is_none_or(|only| held.holder == only));
        held.map(|held| held.demand).fold(0, u64::saturating_add)
    }

    /// What is leased.
    pub fn leased(&self) -> Amount {
        self.held.values().fold(Amount::default(), |sum, held| sum.plus(held.amount))
    }

    /// Answers a holder. While the book is not open, others may have leased parts of which it does
    /// not know: it confirms what the holder has, and gives nothing else.
    pub fn lease(
        &mut self,
        host: &H,
        holder: Holder,
        report: &Report,
        is_open: bool,
        now: Instant,
    ) -> Lease {
        self.settle(now);
        self.held.remove(host);
        let total = self.total(now);
        let mut room = total.less(self.leased());
        if holder == Holder::Region {
            // What is borrowed is not lent on, as two regions could keep each other's leases alive.
            room = room.min(self.home.less(self.leased_to(Holder::Region)));
        }
        let confirmed = report.held.min(room);
        if !is_open {
            self.level = 0;
            self.record(host, holder, report, confirmed, now);
            let ttl = self.ttl(holder, now);
            return Lease { amount: confirmed, tokens: 0, ttl, is_final: false, is_open };
        }
        let others = self.held.values().fold(Amount::default(), |sum, held| sum.plus(held.wanted));
        let all = others.plus(report.wanted);
        let rate = share(holder, report.wanted.rate, all.rate, total.rate).min(room.rate);
        let counters = self.held.values().filter(|held| held.holder == Holder::Counter).count();
        let is_split = total.rate / (counters as u64 + 1) < MIN_RATE && rate < MIN_RATE;
        let rate = if is_split && holder == Holder::Counter { 0 } else { rate };
        // Tokens in the bucket of a holder, which reports what it lacks of the size that it wants.
        let kept = report.wanted.size.saturating_sub(report.short).min(room.size);
        self.level = self.level.saturating_add(report.returned).min(room.size);
        let is_whole = holder == Holder::Counter && rate == 0;
        let tokens = self.take_tokens(report, room.size - kept, is_whole);
        // A rate needs room for what it makes; the rest of the size is left to the reserve.
        let size = match rate {
            0 => kept + tokens,
            _ => (kept + tokens + REQUEST + minted(rate, MAX_WAIT))
                .min(report.wanted.size)
                .min(room.size),
        };
        let amount = Amount { rate, size };
        self.record(host, holder, report, amount, now);
        self.cap_level(now);
        if holder == Holder::Counter {
            self.unmet = self.unmet.saturating_add(report.urgent.saturating_sub(tokens));
        }
        let refused = self.refusals.values().filter(|at| now.since(**at) < REFUSAL_TTL).count();
        // By a margin, as demand near the limit fluctuates and finds tokens in a moment.
        let limit = self.home.rate.saturating_mul(self.lenders as u64 + 1).saturating_mul(5) / 4;
        let is_final =
            holder == Holder::Region || refused >= self.lenders && self.demand(None) > limit;
        Lease { amount, tokens, ttl: self.ttl(holder, now), is_final, is_open }
    }

    /// Takes tokens for a holder out of the reserve, no more than fit its bucket: all for requests that
    /// wait, and for others half of the rest.
    fn take_tokens(&mut self, report: &Report, fits: u64, is_whole: bool) -> u64 {
        let urgent = report.urgent.min(self.level);
        let ahead = report.short.saturating_sub(report.urgent).min((self.level - urgent) / 2);
        let tokens = (urgent + ahead).min(fits);
        // Parts of a request are of use only to a holder that makes the rest itself.
        let tokens = if is_whole { tokens - tokens % REQUEST } else { tokens };
        self.level -= tokens;
        tokens
    }

    /// Records that a holder has `amount`, and what it reported to hold until it confirms that.
    fn record(&mut self, host: &H, holder: Holder, report: &Report, amount: Amount, now: Instant) {
        let amount = amount.max(report.held);
        let (wanted, demand) = (report.wanted, report.demand);
        if amount == Amount::default() && wanted == Amount::default() && demand == 0 {
            return;
        }
        let held = Held { holder, amount, wanted, demand, until: now + LEASE_TTL };
        self.held.insert(host.clone(), held);
    }

    /// What to report to the coordinator of another region; `None` if nothing is held or wanted
    /// of it. Gives up beforehand what is no longer used.
    pub fn ask(&mut self, region: R, now: Instant) -> Option<Report> {
        self.settle(now);
        let before = self.borrowed.get(&region).copied();
        let held = before.map(|borrowed| borrowed.amount).unwrap_or_default();
        // A part above the demand, so that there is a reserve while demand fluctuates.
        let needed = self.wanted().rate.saturating_mul(9) / 8;
        let total = self.total(now).rate;
        // What is missing or spare is shared among the lenders.
        let lenders = u64::try_from(self.lenders.max(1)).unwrap_or(u64::MAX);
        let more = needed.saturating_sub(total) / lenders;
        let less = total.saturating_sub(needed) / lenders;
        let rate = held.rate.saturating_add(more).saturating_sub(less);
        // Only what is not leased on can be given up.
        let unused = self.total(now).less(self.leased());
        let kept = held.less(unused);
        let kept = Amount { rate: held.rate.min(rate.max(kept.rate)), size: kept.size };
        if let Some(borrowed) = self.borrowed.get_mut(&region) {
            borrowed.amount = kept;
        }
        let before_level = self.level;
        self.cap_level(now);
        let returned = before_level - self.level;
        let short = self.unmet.saturating_sub(self.level);
        let wanted = Amount { rate, size: kept.size.saturating_add(short) };
        let demand = self.demand(Some(Holder::Counter));
        let report = Report { held: kept, wanted, short, urgent: short, returned, demand };
        let is_idle = before.is_none() && wanted == Amount::default() && short == 0 && demand == 0;
        if is_idle { None } else { Some(report) }
    }

    /// Records what another region lends, from its answer to the report made at `asked_at`.
    pub fn record_borrowed(
        &mut self,
        region: R,
        report: &Report,
        lease: &Lease,
        asked_at: Instant,
        now: Instant,
    ) {
        self.settle(now);
        let until = asked_at + lease.ttl;
        let unused = self.total(now).less(self.leased());
        let before = self.borrowed.get(&region).map(|borrowed| borrowed.amount);
        // What is leased on comes back with the next reports of its holders.
        let kept = before.unwrap_or_default().less(unused);
        let amount = lease.amount.max(kept);
        if amount == Amount::default() {
            self.borrowed.remove(&region);
        } else {
            self.borrowed.insert(region, Borrowed { amount, until });
        }
        self.level = self.level.saturating_add(lease.tokens);
        self.cap_level(now);
        if lease.is_enough(report) {
            self.refusals.remove(&region);
        } else {
            self.record_refusal(region, now);
        }
    }

    /// Records that another region has nothing to lend or does not answer.
    pub fn record_refusal(&mut self, region: R, now: Instant) {
        self.refusals.insert(region, now);
    }

    /// Forgets what counters lacked, once the other regions have been asked.
    pub fn end_round(&mut self) {
        self.unmet = 0;
    }

    /// Makes tokens up to now and drops what has expired.
    fn settle(&mut self, now: Instant) {
        let lent: u64 = self.leased().rate;
        let time = now.since(self.at);
        let borrowed = self
            .borrowed
            .values()
            .map(|borrowed| minted(borrowed.amount.rate, now.min(borrowed.until).since(self.at)));
        let made = minted(self.home.rate, time).saturating_add(borrowed.sum::<u64>());
        let made = made.saturating_sub(minted(lent, time));
        self.level = self.level.saturating_add(made);
        self.at = self.at.max(now);
        self.held.retain(|_, held| now < held.until);
        self.borrowed.retain(|_, borrowed| now < borrowed.until);
        self.cap_level(now);
    }

    fn cap_level(&mut self, now: Instant) {
        self.level = self.level.min(self.total(now).less(self.leased()).size);
    }

    fn total(&self, now: Instant) -> Amount {
        let valid = self.borrowed.values().filter(|borrowed| now < borrowed.until);
        valid.fold(self.home, |sum, borrowed| sum.plus(borrowed.amount))
    }

    fn leased_to(&self, holder: Holder) -> Amount {
        let leases = self.held.values().filter(|held| held.holder == holder);
        leases.fold(Amount::default(), |sum, held| sum.plus(held.amount))
    }

    /// No lease of a counter outlives those of other regions that it may depend on.
    fn ttl(&self, holder: Holder, now: Instant) -> Duration {
        let ends = self.borrowed.values().map(|borrowed| borrowed.until.since(now));
        match holder {
            Holder::Counter => ends.min().unwrap_or(LEASE_TTL).min(LEASE_TTL),
            Holder::Region => LEASE_TTL,
        }
    }
}

/// The rate for a holder that wants a part of what `all` want. If all want more than there is, each
/// gets a part by its demand. Otherwise some of the rate stays in the reserve, from which tokens go to
/// whoever needs them.
fn share(holder: Holder, wanted: u64, all: u64, total: u64) -> u64 {
    let (wanted, all, total) = (u128::from(wanted), u128::from(all.max(1)), u128::from(total));
    let most = if holder == Holder::Counter { wanted * 3 / 2 } else { wanted };
    let spread = (wanted * total * 3 / 4 / all).clamp(wanted, most);
    u64::try_from(spread.min(wanted * total / all)).unwrap_or(u64::MAX)
}
