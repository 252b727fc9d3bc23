//! Routes: the mapping of requests to services, with their time limits and retry rules; see
//! `docs/PLATFORM.md`.

pub mod check;
pub mod raw;
pub mod split;
pub mod table;

pub use split::Split;
pub use table::{Error, Miss, Table};

use crate::{backend, customer::Customer, prelude::*, region, request::Repeat};

/// The services, time limits and retry rules of requests with one path prefix.
#[derive(Debug)]
pub struct Route {
    /// The name set by the operator; it identifies the route across versions of the table.
    pub name: Box<str>,
    /// The path prefix that requests are matched by; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may be executed more than once.
    pub repeat: Repeat,
    /// The request timeout, from the arrival of the request to its response.
    pub timeout: Duration,
    /// The target latency, from the first attempt of the client; responses within it are preferred
    /// under overload.
    pub objective: Duration,
    /// The priority under overload; requests with lower values are admitted first.
    pub priority: u8,
    /// The maximum number of servers that one request is sent to, the first one included.
    pub max_attempts: u32,
    /// Whether requests for an object prefer a server that has handled it recently, since it
    /// answers them faster.
    pub is_sticky: bool,
    /// The regions that may serve the route; empty if all of them may.
    pub homes: Box<[region::Name]>,
    /// Whether requests need no key of a customer.
    pub is_public: bool,
    /// The distribution of requests among services by weight.
    pub split: Split,
    /// The longest client timeout seen, from which the age of a retried request is estimated.
    pub max_client_timeout: MaxClientTimeout,
}

/// The regions that may serve a request: those that its route and its customer both name.
#[derive(Clone, Copy, Debug)]
pub struct Homes<'a> {
    route: &'a [region::Name],
    customer: &'a [region::Name],
}

impl Homes<'_> {
    /// Whether only some regions may serve the request.
    pub fn is_bound(&self) -> bool {
        !self.route.is_empty() || !self.customer.is_empty()
    }

    /// Whether servers of `region` may serve the request.
    pub fn allows(&self, region: &region::Name) -> bool {
        let allows = |homes: &[region::Name]| homes.is_empty() || homes.contains(region);
        allows(self.route) && allows(self.customer)
    }
}

impl Route {
    /// Whether only the home regions may serve this route.
    pub fn is_bound(&self) -> bool {
        !self.homes.is_empty()
    }

    /// The regions that may serve the requests of a customer on this route.
    pub fn homes_for<'a>(&'a self, customer: Option<&'a Customer>) -> Homes<'a> {
        Homes { route: &self.homes, customer: customer.map_or(&[], |customer| &customer.homes) }
    }

    /// The priority of a customer's requests on this route.
    pub fn priority_for(&self, customer: Option<&Customer>) -> u8 {
        customer.and_then(|customer| customer.priority).unwrap_or(self.priority)
    }
}

/// The longest timeout that any client of a route has sent with a request.
///
/// A client that retries a refused request sends a shorter timeout than with its first attempt; the
/// difference is the age of the request. The latency objective counts from the first attempt.
#[derive(Debug, Default)]
pub struct MaxClientTimeout {
    millis: std::sync::atomic::AtomicU64,
}

impl MaxClientTimeout {
    /// Records the timeout of a request and returns how long its client has waited already.
    pub fn request_age(&self, timeout: Duration) -> Duration {
        let timeout = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let max_timeout = self.millis.fetch_max(timeout, std::sync::atomic::Ordering::Relaxed);
        Duration::from_millis(max_timeout.saturating_sub(timeout))
    }
}

value! {
    /// The server settings of one service.
    pub struct Service {
        /// The path of the health check.
        pub health_path: Box<str>,
        /// The maximum number of connections to one server, over all hosts together.
        pub max_connections: u32,
        /// The duration of the slow start after a server starts.
        pub cold_start: Duration,
        /// The maximum request rate of one server during its slow start, over all hosts together.
        pub cold_rate: backend::cold::Rate,
    }

    /// Size and time limits of client connections.
    pub struct Limits {
        /// The maximum size of a request head, in bytes.
        pub max_head_bytes: usize,
        /// The maximum size of a request body, in bytes.
        pub max_body_bytes: u64,
        /// The maximum time for a client to send a complete request head.
        pub head_timeout: Duration,
        /// The time after which an idle connection is closed.
        pub idle_timeout: Duration,
    }
}
