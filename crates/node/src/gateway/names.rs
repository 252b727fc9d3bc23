//! The header names that a platform uses; the adapter gives them.

use http::HeaderName;

/// Header names between callers, gateways and backend servers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identity of a request, which a server's answer repeats.
    pub request_id: HeaderName,
    /// The time left for a request, in milliseconds.
    pub time_left: HeaderName,
    /// The cookie that names the object of a request.
    pub object_cookie: &'static str,
    /// A server's seal on its answer.
    pub seal: HeaderName,
    /// The only server that may run a request.
    pub target_server: HeaderName,
    /// Says that the server did not run the request.
    pub not_run: HeaderName,
}
