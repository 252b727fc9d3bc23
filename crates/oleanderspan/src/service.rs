//! Services: the targets of requests, with the limits that the document sets for them.

use crate::{prelude::*, region, request, shift};

checked_name! {
    /// The name of a service, unique in its document.
    pub struct Name;
}

key! {
    /// The position of a service in its document, from 0.
    pub struct Index(pub u16);
}

value! {
    /// A service as configured in the document.
    pub struct Service {
        /// The name, unique in the document.
        pub name: Name,
        /// The `Host` values, without a port, that callers reach the service under.
        pub authorities: Vec<Box<str>>,
        /// The maximum number of concurrent requests of one instance.
        pub slots: u32,
        /// The maximum number of connections to one instance.
        pub connections: u32,
        /// The planned number of instances in each region, by region index.
        pub instances: Vec<u32>,
        /// The patterns of idempotent requests.
        pub idempotent: Vec<request::Pattern>,
        /// The distribution of requests among regions: one vector of shares for each region of
        /// callers, by region index.
        pub routes: Vec<shift::Vector>,
        /// The rate limit of planned changes of shares.
        pub shift: shift::Cap,
        /// The rate limit of share changes away from a failed region.
        pub failover: shift::Cap,
        /// The timeouts and retry budgets.
        pub limits: Limits,
    }

    /// The timeouts and retry budgets of one service.
    pub struct Limits {
        /// The maximum time from the arrival of a request to the start of its response.
        pub request_timeout: Duration,
        /// The maximum time that a request waits in the queue for a slot.
        pub queue_timeout: Duration,
        /// The retry budget, in percent of requests.
        pub retries: region::Percent,
        /// The budget of hedged reads, in percent of requests.
        pub hedges: region::Percent,
    }
}

impl Service {
    /// Whether a request matches one of the idempotent patterns, so that it may be retried.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent.iter().any(|pattern| pattern.matches(method, path))
    }

    /// The maximum number of concurrent requests in `region` with `servers` live servers; at least
    /// 1 if there is any slot.
    pub fn ceiling(&self, region: &region::Region, servers: u32) -> u32 {
        let slots = self.slots.saturating_mul(servers);
        region.ceiling.of(slots).max(u32::from(slots > 0))
    }
}
