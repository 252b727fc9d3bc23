//! Shares: which requests of a customer are beyond its part of a pool's slots.
//!
//! Addresses a pool with too few slots for its customers, one of which may send several times its
//! usual load. Each customer is entitled to a number of slots in proportion to its quota, among the
//! customers that have requests in the pool. The decision only orders the queue: a free slot is
//! given out whoever asks for it.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use arc_swap::ArcSwap;

use crate::{
    customer::{Customer, Name, Quota},
    prelude::*,
};

/// The least number of slots that a customer is entitled to, so that one whose share is below one
/// slot is not always beyond it.
const MIN_SLOTS: u32 = 1;

/// The weight that stands for "no quota".
const NO_QUOTA: u64 = 0;

/// What sharing needs to know of a customer.
#[derive(Clone, Copy, Debug)]
pub struct Claimant<'a> {
    /// The name, as received from another host or from the directory.
    pub name: &'a str,
    /// The quota, which is the weight of the customer; see [`Shares::slots_of`] for one without.
    pub quota: Option<Quota>,
}

impl<'a> From<&'a Customer> for Claimant<'a> {
    fn from(customer: &'a Customer) -> Claimant<'a> {
        Claimant { name: customer.name.as_str(), quota: customer.quota }
    }
}

/// The accounts of all customers that have sent requests to a pool.
///
/// The table is replaced when a customer sends its first request; later requests read it without a
/// lock and without an allocation. Accounts are never removed, so that counts are kept in one place;
/// their number is bounded by the customers named since the start of the process.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: ArcSwap<Map<Name, Arc<Account>>>,
}

impl Shares {
    /// The account of a customer, with the quota that is in force now. `None` if the name is
    /// invalid; such a request is treated as one without a customer.
    pub fn account(&self, claimant: Claimant<'_>) -> Option<Arc<Account>> {
        let known = self.accounts.load().get(claimant.name).map(Arc::clone);
        let account = match known {
            Some(account) => account,
            None => self.add(Name::try_from(claimant.name).ok()?),
        };
        let weight = claimant.quota.map_or(NO_QUOTA, |quota| quota.per_1000_s);
        if account.weight.load(Ordering::Relaxed) != weight {
            account.weight.store(weight, Ordering::Relaxed);
        }
        Some(account)
    }

    /// Adds an account, or returns the one that another thread has added meanwhile.
    fn add(&self, name: Name) -> Arc<Account> {
        let new = Arc::new(Account::default());
        let previous = self.accounts.rcu(|accounts| {
            let mut accounts = Map::clone(accounts);
            accounts.entry(name.clone()).or_insert_with(|| Arc::clone(&new));
            accounts
        });
        previous.get(&name).map_or(new, Arc::clone)
    }

    /// Enters a request into the queue of a pool with `slots` slots: within its customer's share if
    /// the slots in use and the requests that wait within the share leave room, else beyond it.
    /// Random arrivals may exceed the share by their usual spread.
    pub fn enter(&self, account: &Arc<Account>, slots: u32) -> Place {
        let share = self.slots_of(account, slots);
        let limit = share.saturating_add(spread(share));
        let count = |used: u32| (used < limit).then_some(used + 1);
        let is_within =
            account.used.fetch_update(Ordering::SeqCst, Ordering::SeqCst, count).is_ok();
        if !is_within {
            account.waiting_beyond.fetch_add(1, Ordering::SeqCst);
        }
        Place { account: Arc::clone(account), is_beyond: !is_within }
    }

    /// The number of slots that a customer is entitled to, rounded up.
    ///
    /// A customer without a quota has the mean weight of the customers with a quota that have
    /// requests in the pool: without a limit it must neither displace the others nor get nothing.
    /// If no customer has a quota, all have the same weight.
    pub fn slots_of(&self, account: &Arc<Account>, slots: u32) -> u32 {
        let (mut sum, mut with_quota, mut without_quota) = (0_u128, 0_u128, 0_u128);
        for other in self.accounts.load().values() {
            if !other.has_requests() && !Arc::ptr_eq(other, account) {
                continue;
            }
            match other.weight.load(Ordering::Relaxed) {
                NO_QUOTA => without_quota += 1,
                weight => {
                    sum += u128::from(weight);
                    with_quota += 1;
                }
            }
        }
        let mean = sum.checked_div(with_quota).unwrap_or(1).max(1);
        let weight = match account.weight.load(Ordering::Relaxed) {
            NO_QUOTA => mean,
            weight => u128::from(weight),
        };
        // Another thread may change a weight meanwhile.
        let total = (sum + without_quota * mean).max(weight);
        let share = (u128::from(slots) * weight).div_ceil(total);
        u32::try_from(share).unwrap_or(u32::MAX).max(MIN_SLOTS)
    }

    /// Whether no customer has a request in the pool, neither in a slot nor waiting.
    pub fn is_idle(&self) -> bool {
        !self.accounts.load().values().any(|account| account.has_requests())
    }
}

/// By how many requests a customer within its share exceeds a mean of `mean` at times: the standard
/// deviation of a Poisson distribution, rounded up.
///
/// Without this allowance, one in ten requests of customers at their usual rate waited behind a
/// customer with seven times its usual rate, and was refused (`tests/share.rs`).
fn spread(mean: u32) -> u32 {
    mean.saturating_sub(1).isqrt() + 1
}

/// The requests of one customer in one pool.
#[derive(Debug, Default)]
pub struct Account {
    weight: AtomicU64,
    /// Slots in use, and requests that wait within the share. One count, so that the decision about
    /// a request and its effect are one atomic step.
    used: AtomicU32,
    waiting_beyond: AtomicU32,
}

impl Account {
    /// Counts a slot that the customer was given.
    pub fn hold(self: &Arc<Account>) -> Held {
        self.used.fetch_add(1, Ordering::SeqCst);
        Held(Arc::clone(self))
    }

    /// Slots in use, and requests that wait within the share.
    pub fn used(&self) -> u32 {
        self.used.load(Ordering::SeqCst)
    }

    fn has_requests(&self) -> bool {
        self.used() > 0 || self.waiting_beyond.load(Ordering::SeqCst) > 0
    }
}

/// A place in the queue, counted until it is dropped.
///
/// It belongs to the side that waits, not to the entry in the queue, so that a request whose client
/// has left is no longer counted.
#[derive(Debug)]
pub struct Place {
    account: Arc<Account>,
    is_beyond: bool,
}

impl Place {
    /// Whether the request is beyond its customer's share.
    pub fn is_beyond(&self) -> bool {
        self.is_beyond
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let count = match self.is_beyond {
            true => &self.account.waiting_beyond,
            false => &self.account.used,
        };
        count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A slot that a customer uses, counted until it is dropped.
#[derive(Debug)]
pub struct Held(Arc<Account>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.used.fetch_sub(1, Ordering::SeqCst);
    }
}
