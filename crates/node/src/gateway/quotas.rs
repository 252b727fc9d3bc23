//! Charges requests to the quotas of their customers, on the host that allocates their slots.
//!
//! The decisions are made by [`oleanderspan::customer::quota`]; `docs/design/quotas.md` describes
//! how hosts share a quota.

mod coordinator;
mod exchange;

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use crossbeam_queue::SegQueue;
use oleanderspan::{
    customer::{
        self,
        quota::{Account, MAX_WAIT, Short},
    },
    prelude::*,
    request::{Refusal, admission::TimeLeft},
    route::Table,
};
use tokio::sync::Notify;

pub use coordinator::Coordinator;
pub use exchange::{MAX_RECORDS, answer, run};

use crate::gateway::{slots::AcquireError, state::Shared};

/// Maximum number of refunds that wait for the next slot request; the oldest are dropped.
const MAX_PENDING_REFUNDS: usize = 64;

/// Maximum number of refunds in one slot request.
const MAX_REFUNDS_PER_REQUEST: usize = 16;

/// How often a request that waits looks for tokens that its lease has made meanwhile.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The quotas of all customers, as far as this host counts and coordinates them.
#[derive(Debug, Default)]
pub struct Quotas {
    accounts: ArcSwap<Accounts>,
    /// Wakes the run loop when a request waits for a lease.
    short: Notify,
    is_reporting: AtomicBool,
    coordinator: Mutex<Coordinator>,
    /// Customers whose requests got a slot elsewhere and were not run, for the next slot request.
    refunds: SegQueue<customer::Name>,
    /// Number of requests that waited for a lease.
    pub waits: AtomicU64,
    /// Number of requests that were admitted without a lease.
    pub unleased: AtomicU64,
}

/// The accounts of the customers that have a quota.
#[derive(Debug, Default)]
pub struct Accounts {
    /// What the accounts were made for: the version of the routes and the number of hosts.
    made_for: Option<(u64, u64)>,
    by_name: Map<customer::Name, Arc<Entry>>,
}

/// A customer's account and who waits for it.
#[derive(Debug)]
pub struct Entry {
    account: Account,
    /// Wakes requests that wait for a lease.
    leased: Notify,
    /// Number of requests rejected by this host.
    pub rejected: AtomicU64,
    logged: AtomicU64,
}

impl Quotas {
    /// The customers of which this host has rejected requests, with their number.
    pub fn rejections(&self) -> Vec<(customer::Name, u64)> {
        let accounts = self.accounts.load();
        let counts = accounts.by_name.iter().map(|(name, entry)| {
            let rejected = entry.rejected.load(Ordering::Relaxed);
            (name.clone(), rejected)
        });
        counts.filter(|(_, rejected)| *rejected > 0).collect()
    }

    /// Refunds for the next slot request.
    pub fn take_refunds(&self) -> Vec<String> {
        let refunds = std::iter::from_fn(|| self.refunds.pop());
        refunds.take(MAX_REFUNDS_PER_REQUEST).map(|customer| customer.to_string()).collect()
    }

    /// Locks what this host knows as a coordinator.
    pub fn coordinator(&self) -> MutexGuard<'_, Coordinator> {
        // Leases expire by themselves, so that the books are usable after a panic.
        self.coordinator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The accounts for the routes in force. They are replaced when customers or hosts change.
    fn accounts(&self, table: &Table, hosts: u64, now: Instant) -> Arc<Accounts> {
        let is_made = |accounts: &Accounts| {
            accounts.made_for.is_some_and(|(version, count)| {
                version > table.version || (version, count) == (table.version, hosts)
            })
        };
        let current = self.accounts.load_full();
        if is_made(&current) {
            return current;
        }
        // One thread makes them, so that no lease is taken over twice.
        let _guard = self.coordinator();
        let current = self.accounts.load_full();
        if is_made(&current) {
            return current;
        }
        let quotas = table.customers.iter().flat_map(customer::Directory::iter);
        let by_name = quotas.filter_map(|customer| {
            let quota = customer.quota?;
            let before = current.by_name.get(&customer.name);
            let kept = before.filter(|entry| entry.account.is_for(quota, hosts));
            let entry = kept.cloned().unwrap_or_else(|| {
                let account = Account::new(quota, hosts, now);
                let rejected = before.map_or(0, |entry| {
                    account.take_over(&entry.account, now);
                    entry.rejected.load(Ordering::Relaxed)
                });
                Arc::new(Entry {
                    account,
                    leased: Notify::new(),
                    rejected: rejected.into(),
                    logged: rejected.into(),
                })
            });
            Some((customer.name.clone(), entry))
        });
        let accounts = Arc::new(Accounts {
            made_for: Some((table.version, hosts)),
            by_name: by_name.collect(),
        });
        self.accounts.store(Arc::clone(&accounts));
        accounts
    }
}

/// A charged request. Unless it is kept, dropping it refunds the charge, also if the request is
/// cancelled while it waits for a slot.
#[derive(Debug)]
pub struct Charge {
    entry: Option<Arc<Entry>>,
    is_leased: bool,
}

impl Charge {
    const NONE: Charge = Charge { entry: None, is_leased: false };

    /// Makes the charge final, as the request has got its slot.
    pub fn keep(mut self) {
        self.entry = None;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        match &self.entry {
            Some(entry) if self.is_leased => entry.account.refund(),
            Some(entry) => entry.account.refund_even(),
            None => {}
        }
    }
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a>(&'a Account);

impl<'a> Waiting<'a> {
    fn begin(account: &'a Account) -> Waiting<'a> {
        account.begin_wait();
        Waiting(account)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.end_wait();
    }
}

/// Charges a request to the quota of its customer. It waits for a lease for a moment if more may be
/// had, and is rejected if the quota is used up.
pub async fn charge(
    state: &Shared,
    customer: Option<&customer::Name>,
    time: TimeLeft,
) -> Result<Charge, AcquireError> {
    let Some(entry) = customer.and_then(|customer| find(state, customer)) else {
        return Ok(Charge::NONE);
    };
    let account = &entry.account;
    account.record_request();
    let arrived = state.clock.now();
    let charged = match account.try_charge(arrived) {
        Ok(()) => Ok(true),
        Err(Short::Over(retry_after)) => Err(retry_after),
        Err(Short::MayWait) => {
            state.quotas.waits.fetch_add(1, Ordering::Relaxed);
            wait(state, &entry, arrived + MAX_WAIT.min(time.deadline)).await
        }
    };
    match charged {
        Ok(is_leased) => Ok(Charge { entry: Some(entry), is_leased }),
        Err(retry_after) => {
            entry.rejected.fetch_add(1, Ordering::Relaxed);
            Err(AcquireError { refusal: Refusal::OverQuota, retry_after: Some(retry_after) })
        }
    }
}

/// Refunds a request that was charged with its slot and that no server has run. `is_local` says
/// whether this host allocates the slots; otherwise the next slot request brings the refund.
pub fn refund(state: &Shared, customer: &customer::Name, is_local: bool) {
    let Some(entry) = find(state, customer) else { return };
    if is_local {
        entry.account.refund();
        return;
    }
    let refunds = &state.quotas.refunds;
    if refunds.len() >= MAX_PENDING_REFUNDS {
        refunds.pop();
    }
    refunds.push(customer.clone());
}

/// Waits for a lease; returns whether the request is charged to one.
async fn wait(state: &Shared, entry: &Entry, until: Instant) -> Result<bool, Duration> {
    let account = &entry.account;
    let _waiting = Waiting::begin(account);
    state.quotas.short.notify_one();
    loop {
        let leased = entry.leased.notified();
        let now = state.clock.now();
        match account.try_charge(now) {
            Ok(()) => return Ok(true),
            Err(Short::Over(retry_after)) => return Err(retry_after),
            Err(Short::MayWait) if now >= until => break,
            Err(Short::MayWait) => {}
        }
        let _ = tokio::time::timeout(POLL_INTERVAL.min(until.since(now)), leased).await;
    }
    account.charge_even(state.clock.now())?;
    state.quotas.unleased.fetch_add(1, Ordering::Relaxed);
    Ok(false)
}

/// The account of a customer, if it has a quota.
fn find(state: &Shared, customer: &customer::Name) -> Option<Arc<Entry>> {
    let snapshot = state.snapshot();
    let table = snapshot.table.as_ref()?;
    // Without customers this host does nothing else.
    table.customers.as_ref()?.get(customer)?.quota?;
    let accounts = state.quotas.accounts(table, snapshot.listed_hosts, state.clock.now());
    accounts.by_name.get(customer).cloned()
}
