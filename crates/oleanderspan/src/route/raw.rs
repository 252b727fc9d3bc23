//! The route document as written by the operator, before validation.

use crate::{customer, route::Error};

value! {
    /// A complete route document.
    pub struct Table {
        /// The version; a document only replaces one with a lower version.
        pub version: u64,
        /// The services that routes may refer to.
        pub services: Vec<Service>,
        /// Size and time limits of client connections.
        pub limits: Limits,
        /// The routes of each virtual host.
        pub hosts: Vec<Host>,
        /// The customers; `None` if requests need no key.
        pub customers: Option<customer::raw::Directory>,
        /// The parts of the document that could not be read; they are missing from the other
        /// fields, or have a default there.
        pub faults: Vec<Error>,
    }

    /// The server settings of one service.
    pub struct Service {
        /// The name, unique in the document.
        pub name: String,
        /// The path of the health check.
        pub health_path: String,
        /// The maximum number of connections to one server.
        pub max_connections: u32,
        /// The duration of the slow start after a server starts, in milliseconds.
        pub cold_start_ms: u64,
        /// The maximum number of requests to one server in 1,000 seconds of slow start.
        pub cold_per_1000_s: u64,
    }

    /// Size and time limits of client connections.
    pub struct Limits {
        /// The maximum size of a request head, in bytes.
        pub max_head_bytes: u64,
        /// The maximum size of a request body, in bytes.
        pub max_body_bytes: u64,
        /// The maximum time for a client to send a request head, in milliseconds.
        pub head_timeout_ms: u64,
        /// The time after which an idle connection is closed, in milliseconds.
        pub idle_timeout_ms: u64,
    }

    /// The routes of one virtual host.
    pub struct Host {
        /// The host name that clients send, without a port; upper and lower case are equal.
        pub name: String,
        /// The routes; the longest matching prefix is used.
        pub routes: Vec<Route>,
        /// The prefixes of routes of which nothing else could be read.
        pub unreadable: Vec<String>,
    }

    /// The services, time limits and retry rules of requests with one path prefix.
    pub struct Route {
        /// The name; it identifies the route across versions of the document.
        pub name: String,
        /// The path prefix; it begins and ends with a slash.
        pub prefix: String,
        /// Whether a request may be executed more than once.
        pub is_idempotent: bool,
        /// The request timeout, in milliseconds; at least 1.
        pub timeout_ms: u64,
        /// The target latency, in milliseconds.
        pub objective_ms: u64,
        /// The priority under overload; requests with lower values are admitted first. Values above
        /// 255 count as 255.
        pub priority: u64,
        /// The maximum number of servers that one request is sent to; at least 1.
        pub max_attempts: u64,
        /// Whether requests for an object prefer a server that has handled it recently.
        pub is_sticky: bool,
        /// The regions that may serve the route; empty if all of them may.
        pub homes: Vec<String>,
        /// Whether requests need no key of a customer.
        pub is_public: bool,
        /// The services that requests are distributed to, with their weights.
        pub shares: Vec<(String, u64)>,
    }
}
