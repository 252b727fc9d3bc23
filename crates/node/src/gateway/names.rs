//! Names of the platform's HTTP headers, set by the platform adapter.

use http::HeaderName;

/// Names of the headers and the cookie that clients, gateways and backend servers exchange.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Request ID, which a server repeats in its response.
    pub request_id: HeaderName,
    /// Time left until the request's deadline, in milliseconds.
    pub time_left: HeaderName,
    /// Name of the cookie that identifies the object that a request accesses.
    pub object_cookie: &'static str,
    /// Seal that a server puts on a response; a successful response without it is discarded.
    pub seal: HeaderName,
    /// Name of the only server that may run the request.
    pub target_server: HeaderName,
    /// Present if the server rejected the request without running it.
    pub not_run: HeaderName,
    /// Key of the customer that sends the request; not passed on to servers.
    pub customer_key: HeaderName,
    /// Name of the customer, which this host tells the server.
    pub customer: HeaderName,
    /// With the value `1`: the server is leaving.
    pub server_leaving: HeaderName,
    /// With 503: for how many seconds the server wants nothing from this host.
    pub retry_after: HeaderName,
}
