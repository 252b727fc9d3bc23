//! Routes: which service answers a request, and under which limits; see `docs/PLATFORM.md`.

pub mod raw;
pub mod split;
pub mod table;

pub use split::Split;
pub use table::{Error, Table};

use crate::{backend, prelude::*, region, request::Repeat};

/// Where requests with one prefix go, and what they may ask for.
#[derive(Debug)]
pub struct Route {
    /// The name that the operator gave it.
    pub name: Box<str>,
    /// What the path of a request starts with; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// The longest time from the arrival of a request to its answer.
    pub timeout: Duration,
    /// The latency objective: an answer within it is worth most.
    pub objective: Duration,
    /// The rank under overload; lower ranks go first.
    pub priority: u8,
    /// The most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests for one object are faster on a server that has handled it lately.
    pub is_sticky: bool,
    /// The only regions that may serve the route; none means all of them.
    pub homes: Box<[region::Name]>,
    /// The services that share the requests.
    pub split: Split,
    /// What the age of a repeated request is read from.
    pub max_client_timeout: MaxClientTimeout,
}

impl Route {
    /// Whether a server of `region` may run a request of this route.
    pub fn allows(&self, region: &region::Name) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

/// The longest time that a client of a route was seen to wait.
///
/// A client that repeats a refused request waits for less than at first, so that the difference
/// tells how old the request is. The latency objective counts from the first try.
#[derive(Debug, Default)]
pub struct MaxClientTimeout {
    millis: std::sync::atomic::AtomicU64,
}

impl MaxClientTimeout {
    /// Takes the time that a client waits, and returns how long it must have waited before.
    pub fn request_age(&self, timeout: Duration) -> Duration {
        let timeout = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let max_timeout = self.millis.fetch_max(timeout, std::sync::atomic::Ordering::Relaxed);
        Duration::from_millis(max_timeout.saturating_sub(timeout))
    }
}

value! {
    /// What a document says of the servers of one service.
    pub struct Service {
        /// The path that tells whether a server is well.
        pub health_path: Box<str>,
        /// Connections that one server accepts from all hosts together.
        pub max_connections: u32,
        /// How long a server is slow after its start.
        pub cold_start: Duration,
        /// Requests a second that a server bears meanwhile.
        pub cold_rate: backend::cold::Rate,
    }

    /// What clients may send, and how long they may take.
    pub struct Limits {
        /// The largest head of a request, in bytes.
        pub max_head_bytes: usize,
        /// The largest body of a request, in bytes.
        pub max_body_bytes: u64,
        /// The longest time for a client to send a head.
        pub head_timeout: Duration,
        /// The longest time that a connection may stay unused.
        pub idle_timeout: Duration,
    }
}
