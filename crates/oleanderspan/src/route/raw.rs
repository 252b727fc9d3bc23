//! Routes as an operator writes them, before any check.

value! {
    /// A whole document of routes.
    pub struct Table {
        /// Its version; documents replace each other in rising order.
        pub version: u64,
        /// The services that routes may name.
        pub services: Vec<Service>,
        /// What clients may send.
        pub limits: Limits,
        /// The routes, by the host that clients name.
        pub hosts: Vec<Host>,
    }

    /// A service.
    pub struct Service {
        /// Its name.
        pub name: String,
        /// The path that tells whether a server is well.
        pub health_path: String,
        /// Connections that one server accepts.
        pub max_connections: u32,
        /// How long a server is slow after its start, in milliseconds.
        pub cold_start_ms: u64,
        /// Requests in 1,000 seconds that a server bears meanwhile.
        pub cold_per_1000_s: u64,
    }

    /// What clients may send.
    pub struct Limits {
        /// The largest head, in bytes.
        pub max_head_bytes: u64,
        /// The largest body, in bytes.
        pub max_body_bytes: u64,
        /// The longest time for a head, in milliseconds.
        pub head_timeout_ms: u64,
        /// The longest time that a connection may stay unused, in milliseconds.
        pub idle_timeout_ms: u64,
    }

    /// The routes of one host.
    pub struct Host {
        /// The host, as clients name it.
        pub name: String,
        /// Its routes.
        pub routes: Vec<Route>,
    }

    /// A route.
    pub struct Route {
        /// Its name.
        pub name: String,
        /// What the path of a request starts with.
        pub prefix: String,
        /// Whether a request may run more than once.
        pub is_idempotent: bool,
        /// The longest time to an answer, in milliseconds.
        pub timeout_ms: u64,
        /// The latency objective, in milliseconds.
        pub objective_ms: u64,
        /// The rank under overload.
        pub priority: u64,
        /// The most servers that one request may be sent to.
        pub max_attempts: u64,
        /// Whether requests for one object should meet again.
        pub is_sticky: bool,
        /// The only regions that may serve it.
        pub homes: Vec<String>,
        /// The services that share the requests, with their weights.
        pub shares: Vec<(String, u64)>,
    }
}
