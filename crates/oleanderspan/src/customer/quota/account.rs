//! The requests of one customer that one host counts.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use arc_swap::ArcSwap;

use super::{Amount, Lease, MAX_WAIT, REQUEST, Report, minted};
use crate::{customer::Quota, prelude::*};

/// How long after a final answer a counter rejects without asking once more.
const FINAL_TTL: Duration = Duration::from_millis(150);

/// The longest time that is suggested for a retry: by then the demand is another one.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(5_000);

/// The time constants of the recent and the usual demand.
const MEMORIES_S: [f64; 2] = [0.3, 1.0];

/// The part of a request in the estimate below which a counter gives its lease back.
const IDLE_COUNT: f64 = 0.6;

/// A token bucket whose rate, size and end can be replaced.
///
/// The tokens made so far follow from an immutable value and the time, so that charging is one
/// atomic operation on the tokens spent.
#[derive(Debug, Default)]
pub struct Bucket {
    terms: ArcSwap<Terms>,
    spent: AtomicU64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Terms {
    amount: Amount,
    /// Tokens made until `since`.
    base: u64,
    since: Instant,
    until: Instant,
}

impl Terms {
    fn minted(&self, now: Instant) -> u64 {
        let time = now.min(self.until).since(self.since);
        self.base.saturating_add(minted(self.amount.rate, time))
    }

    fn amount(&self, now: Instant) -> Amount {
        if now < self.until { self.amount } else { Amount::default() }
    }

    fn floor(&self, now: Instant) -> u64 {
        self.minted(now).saturating_sub(self.amount(now).size)
    }
}

impl Bucket {
    /// What it may use now.
    pub fn amount(&self, now: Instant) -> Amount {
        self.terms.load().amount(now)
    }

    /// The tokens in it, in millionths of a request.
    pub fn level(&self, now: Instant) -> u64 {
        let terms = self.terms.load();
        terms.minted(now).saturating_sub(self.spent.load(Relaxed).max(terms.floor(now)))
    }

    /// Takes one request out of it, or returns `false` if there is none left.
    pub fn try_charge(&self, now: Instant) -> bool {
        let terms = self.terms.load();
        let (minted, floor) = (terms.minted(now), terms.floor(now));
        let charge = |spent: u64| {
            let spent = spent.max(floor).checked_add(REQUEST)?;
            (spent <= minted).then_some(spent)
        };
        self.spent.fetch_update(Relaxed, Relaxed, charge).is_ok()
    }

    /// Puts one request back that was charged and not run.
    pub fn refund(&self) {
        let refund = |spent: u64| Some(spent.saturating_sub(REQUEST));
        let _ = self.spent.fetch_update(Relaxed, Relaxed, refund);
    }

    /// Replaces rate, size and end, adds tokens and returns those that no longer fit. Only one
    /// thread does so at a time.
    pub fn replace(&self, amount: Amount, tokens: u64, until: Instant, now: Instant) -> u64 {
        let before = self.level(now);
        let terms = self.terms.load();
        let floor = terms.floor(now);
        let base = terms.minted(now).saturating_add(tokens);
        // What has expired or overflowed does not come back with a larger size.
        self.spent.fetch_max(floor, Relaxed);
        self.terms.store(Arc::new(Terms { amount, base, since: now, until }));
        let excess = before.saturating_sub(amount.size);
        self.spent.fetch_max(base.saturating_sub(amount.size), Relaxed);
        excess
    }
}

key! {
    /// Why a request was not charged.
    pub enum Short {
        /// More may be had from the coordinator.
        MayWait,
        /// The limit is reached. The time after which a retry finds room.
        Over(Duration),
    }
}

/// The requests of a customer on a host, and its lease.
#[derive(Debug)]
pub struct Account {
    /// The quota in force.
    pub quota: Quota,
    hosts: u64,
    leased: Bucket,
    even: Bucket,
    arrived: AtomicU64,
    waiting: AtomicU64,
    promised: AtomicU64,
    final_until: AtomicU64,
    demand: Mutex<Demand>,
}

#[derive(Debug, Default)]
struct Demand {
    counts: [f64; 2],
    at: Instant,
    /// When the latest report was made whose answer may still come.
    asked_at: Instant,
    has_reported: bool,
    received: u64,
    /// Tokens that did not fit into the latest lease, for the next report.
    excess: u64,
    /// Whether a coordinator that may lease has answered that report.
    is_answered: bool,
}

impl Account {
    /// An account without a lease, on one of `hosts`.
    pub fn new(quota: Quota, hosts: u64, now: Instant) -> Account {
        let even = Bucket::default();
        // It begins empty, so that a restart gives nothing twice.
        let part = Amount::even(quota, hosts);
        even.replace(part, 0, Instant::from_nanos(u64::MAX), now);
        Account {
            quota,
            hosts,
            leased: Bucket::default(),
            even,
            arrived: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            promised: AtomicU64::new(0),
            final_until: AtomicU64::new(0),
            demand: Mutex::default(),
        }
    }

    /// Whether it was made for this quota and number of hosts.
    pub fn is_for(&self, quota: Quota, hosts: u64) -> bool {
        self.quota == quota && self.hosts == hosts
    }

    /// What is leased to it.
    pub fn leased(&self, now: Instant) -> Amount {
        self.leased.amount(now)
    }

    /// The requests that it receives in 1,000 seconds, by the latest report.
    pub fn received(&self) -> u64 {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner).received
    }

    /// Counts a new request; called once for each.
    pub fn record_request(&self) {
        self.arrived.fetch_add(1, Relaxed);
    }

    /// Charges a request to the lease.
    pub fn try_charge(&self, now: Instant) -> Result<(), Short> {
        if self.leased.try_charge(now) {
            return Ok(());
        }
        let is_final = now.as_nanos() < self.final_until.load(Relaxed);
        Err(if is_final { Short::Over(self.retry_after(now)) } else { Short::MayWait })
    }

    /// Charges a request for which no lease has come to this host's even part.
    pub fn charge_even(&self, now: Instant) -> Result<(), Duration> {
        if self.even.try_charge(now) { Ok(()) } else { Err(self.retry_after(now)) }
    }

    /// Records that a request waits for a lease, until [`Self::end_wait`].
    pub fn begin_wait(&self) {
        self.waiting.fetch_add(1, Relaxed);
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&self) {
        self.waiting.fetch_sub(1, Relaxed);
    }

    /// Whether requests wait for a lease.
    pub fn is_short(&self) -> bool {
        self.waiting.load(Relaxed) > 0
    }

    /// Gives a charge back whose request was not run.
    pub fn refund(&self) {
        self.leased.refund();
    }

    /// Gives a charge to the even part back whose request was not run.
    pub fn refund_even(&self) {
        self.even.refund();
    }

    /// When the bucket has room for a request that comes back, if those that were rejected before
    /// come back too.
    fn retry_after(&self, now: Instant) -> Duration {
        // Without a lease the rate of the whole limit is the best that may be had.
        let rate = match self.leased.amount(now).rate {
            0 => self.quota.per_1000_s,
            rate => rate,
        };
        let time = |tokens: u64| {
            let nanos = u128::from(tokens) * 1_000_000 / u128::from(rate.max(1));
            Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)).min(MAX_RETRY_AFTER)
        };
        let next = now + time(REQUEST.saturating_sub(self.leased.level(now)));
        let latest = now + MAX_RETRY_AFTER;
        let promise = |promised: u64| {
            let after = Instant::from_nanos(promised) + time(REQUEST);
            Some(after.max(next).min(latest).as_nanos())
        };
        let before = self.promised.fetch_update(Relaxed, Relaxed, promise).unwrap_or_else(|b| b);
        promise(before).map_or(MAX_RETRY_AFTER, |at| Instant::from_nanos(at).since(now))
    }

    /// What this host reports to its coordinator; `None` if it neither holds nor wants a lease. It
    /// gives up beforehand what it no longer uses, so that the coordinator may lease it at once.
    pub fn report(&self, now: Instant) -> Option<Report> {
        let mut demand = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        let arrived = self.arrived.swap(0, Relaxed);
        let elapsed = now.since(demand.at).as_secs_f64();
        for (count, memory) in demand.counts.iter_mut().zip(MEMORIES_S) {
            *count = *count * (-elapsed / memory).exp() + arrived as f64;
        }
        demand.at = now;
        demand.asked_at = now;
        let waiting = self.waiting.load(Relaxed);
        let is_idle = demand.counts[1] < IDLE_COUNT && waiting == 0;
        // The usual rate counts as long as the recent requests may differ from it by chance.
        let [recent, usual] = demand.counts;
        let (low, high) = (recent - 1.5 * recent.sqrt(), recent + 1.5 * recent.sqrt() + 1.0);
        let per_s = (usual / MEMORIES_S[1]).clamp(low / MEMORIES_S[0], high / MEMORIES_S[0]);
        let per_s = if is_idle { 0.0 } else { per_s };
        // The requests of the longest wait besides the rate, as demand fluctuates.
        let ahead = if is_idle { 0 } else { REQUEST + waiting * REQUEST };
        let wanted = Amount {
            rate: (per_s * 1_000.0) as u64,
            // The estimate from a single request would take tokens that others need.
            size: ahead + ((per_s - 4.0).max(0.0) * MAX_WAIT.as_secs_f64() * REQUEST as f64) as u64,
        };
        let before = self.leased.amount(now);
        // What is given up while no coordinator can lease would be lost to all.
        let held = if demand.is_answered { before.min(wanted) } else { before };
        demand.is_answered = false;
        let until = self.leased.terms.load().until;
        let excess = self.leased.replace(held, 0, until, now);
        let returned = std::mem::take(&mut demand.excess).saturating_add(excess);
        let is_reported = demand.has_reported || before != Amount::default() || !is_idle;
        demand.has_reported = !is_idle;
        let short = wanted.size.saturating_sub(self.leased.level(now));
        let urgent = short.min(waiting * REQUEST);
        demand.received = (per_s * 1_000.0) as u64;
        let demand = demand.received;
        is_reported.then_some(Report { held, wanted, short, urgent, returned, demand })
    }

    /// Applies the answer to the report made at `asked_at`; an answer to an earlier one is ignored.
    pub fn record_lease(&self, report: &Report, lease: &Lease, asked_at: Instant, now: Instant) {
        let mut demand = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        if demand.asked_at != asked_at {
            return;
        }
        demand.is_answered = lease.is_open;
        let is_over = lease.is_final && !lease.is_enough(report);
        let until = if is_over { now + FINAL_TTL } else { now };
        self.final_until.store(until.as_nanos(), Relaxed);
        let until = asked_at + lease.ttl;
        demand.excess += self.leased.replace(lease.amount, lease.tokens, until, now);
    }

    /// The lease of an account whose quota has changed: no more than the new limit.
    pub fn take_over(&self, before: &Account, now: Instant) {
        let amount = before.leased.amount(now).min(Amount::limit(self.quota));
        let tokens = before.leased.level(now).min(amount.size);
        let until = before.leased.terms.load().until;
        self.leased.replace(amount, tokens, until, now);
        self.demand.lock().unwrap_or_else(PoisonError::into_inner).has_reported = true;
    }
}
