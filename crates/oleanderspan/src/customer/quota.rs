//! Quotas of customers over all hosts: leases on parts of a limit; see `docs/design/quotas.md`.
//!
//! A [`Book`] holds a region's part of a customer's limit and leases it to [`Account`]s, which
//! charge requests, and to the books of other regions. Rate, bucket size and tokens are only ever
//! moved: the giver deducts an amount before the receiver may use it, and for longer.

mod account;
mod book;
mod quorum;

pub use account::{Account, Bucket, Short};
pub use book::{Book, Holder};
pub use quorum::{Authority, Quorum};

use crate::{customer::Quota, prelude::*};

/// How often a host reports to its coordinator, and a coordinator to those of other regions.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a lease is valid, from when its receiver asked for it.
pub const LEASE_TTL: Duration = Duration::from_millis(3_000);

/// How long a request waits for a lease.
pub const MAX_WAIT: Duration = Duration::from_millis(300);

/// One request, in the unit of bucket levels.
pub const REQUEST: u64 = 1_000_000;

/// The window in which the admitted requests are bounded, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// How much larger than a quota the leased limit is, in percent of the 10 tolerated, so that
/// leases which lag behind the demand cost no customer within its quota a request.
const LEASED_PERCENT: u64 = 5;

/// Requests that may come at once beyond those, of the 20 tolerated, so that several counters can
/// hold whole requests of a small quota.
const LEASED_REQUESTS: u64 = 11;

/// What hosts without a lease may use together, in percent of rate and burst. The remaining 2 % and
/// 3 requests cover those that are charged while a lease is being replaced.
const EVEN_PERCENT: u64 = 3;

/// What hosts without a lease may use together beyond that, in requests.
const EVEN_REQUESTS: u64 = 6;

key! {
    /// A part of a limit.
    #[derive(Default)]
    pub struct Amount {
        /// Requests in 1,000 seconds, which are millionths of a request in a millisecond.
        pub rate: u64,
        /// The bucket size, in millionths of a request.
        pub size: u64,
    }
}

impl Amount {
    /// What is leased of a quota: rate and burst with a part of the tolerance.
    pub fn limit(quota: Quota) -> Amount {
        let burst = u64::from(quota.burst) * REQUEST;
        let larger = |amount: u64| amount.saturating_add(percent(amount, LEASED_PERCENT));
        Amount {
            rate: larger(quota.per_1000_s),
            size: larger(burst).saturating_add(LEASED_REQUESTS * REQUEST),
        }
    }

    /// What one of `hosts` may use of the tolerance without a lease. Half of it is a bucket size,
    /// and the rest comes in a window.
    pub fn even(quota: Quota, hosts: u64) -> Amount {
        let window = quota.per_1000_s.saturating_mul(WINDOW_MS);
        let window = window.saturating_add(u64::from(quota.burst) * REQUEST);
        let all = percent(window, EVEN_PERCENT) + EVEN_REQUESTS * REQUEST;
        let half = all / hosts.max(1) / 2;
        Amount { rate: half / WINDOW_MS, size: half }
    }

    /// An even part of it, rounded down.
    pub fn part(self, parts: u64) -> Amount {
        Amount { rate: self.rate / parts.max(1), size: self.size / parts.max(1) }
    }

    /// The lesser of rates and sizes.
    pub fn min(self, other: Amount) -> Amount {
        Amount { rate: self.rate.min(other.rate), size: self.size.min(other.size) }
    }

    /// The larger of rates and sizes.
    pub fn max(self, other: Amount) -> Amount {
        Amount { rate: self.rate.max(other.rate), size: self.size.max(other.size) }
    }

    /// The sum of both.
    pub fn plus(self, other: Amount) -> Amount {
        Amount {
            rate: self.rate.saturating_add(other.rate),
            size: self.size.saturating_add(other.size),
        }
    }

    /// What is left of it, at least nothing.
    pub fn less(self, other: Amount) -> Amount {
        Amount {
            rate: self.rate.saturating_sub(other.rate),
            size: self.size.saturating_sub(other.size),
        }
    }
}

fn percent(amount: u64, percent: u64) -> u64 {
    amount / 100 * percent + amount % 100 * percent / 100
}

key! {
    /// What a holder of leases tells a book.
    #[derive(Default)]
    pub struct Report {
        /// What it still holds of the book's region.
        pub held: Amount,
        /// What it would use.
        pub wanted: Amount,
        /// Tokens that it could use at once, in millionths of a request.
        pub short: u64,
        /// Those of them for which requests wait.
        pub urgent: u64,
        /// Tokens that it gives back, in millionths of a request.
        pub returned: u64,
        /// The requests that it received, rejected ones too, in 1,000 seconds.
        pub demand: u64,
    }
}

key! {
    /// A book's answer to a report.
    pub struct Lease {
        /// What the holder may use, in place of what it held.
        pub amount: Amount,
        /// Tokens that it receives at once, in millionths of a request.
        pub tokens: u64,
        /// How long it is valid from when the report was sent.
        pub ttl: Duration,
        /// Whether no more is to be had from other regions either.
        pub is_final: bool,
        /// Whether the coordinator may lease more than its holders have.
        pub is_open: bool,
    }
}

impl Lease {
    /// Whether it lets the holder serve what it reported, at least one request.
    pub fn is_enough(&self, report: &Report) -> bool {
        let is_rate_enough = report.wanted.rate > 0 && self.amount.rate >= report.wanted.rate;
        is_rate_enough || self.tokens >= report.urgent.min(REQUEST)
    }
}

/// The tokens that a rate makes in a time, in millionths of a request.
fn minted(rate: u64, time: Duration) -> u64 {
    let tokens = u128::from(rate) * time.as_nanos() / 1_000_000;
    u64::try_from(tokens).unwrap_or(u64::MAX)
}
