//! Names of the custom headers, and removal of hop-by-hop headers.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Whether the request was executed: `done`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("oleanderspan-outcome");
/// Code of the reason for which a host refused the request.
pub const REFUSAL: HeaderName = HeaderName::from_static("oleanderspan-refusal");
/// Set on any response by a backend server that is shutting down.
pub const LEAVING: HeaderName = HeaderName::from_static("oleanderspan-leaving");
/// Time left until the deadline of the request, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("oleanderspan-timeout-ms");
/// Request ID, the same on every hop.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Idempotency key that the caller set on a request that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Addresses through which the request came, that of the caller first.
pub const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// On a relayed request: name of the service.
pub const SERVICE: HeaderName = HeaderName::from_static("oleanderspan-service");
/// On a relayed request: name of the region that is to serve it.
pub const REGION: HeaderName = HeaderName::from_static("oleanderspan-region");
/// On a relayed request: `harmless` if it may be retried, otherwise `forbidden`.
pub const REPEAT: HeaderName = HeaderName::from_static("oleanderspan-repeat");

/// On the response to a slot request: name of the server.
pub const SERVER: HeaderName = HeaderName::from_static("oleanderspan-server");
/// On the response to a slot request: address at which the server accepts requests.
pub const SERVER_ADDRESS: HeaderName = HeaderName::from_static("oleanderspan-server-address");
/// On the response to a slot request: incarnation of the server.
pub const SERVER_INCARNATION: HeaderName =
    HeaderName::from_static("oleanderspan-server-incarnation");
/// On the response to a slot request: availability zone of the server.
pub const SERVER_ZONE: HeaderName = HeaderName::from_static("oleanderspan-server-zone");
/// On the response to a slot request: reuse distance, the number of other objects for which the
/// server was sent requests since the last one for the object of this request.
pub const REUSE_DISTANCE: HeaderName = HeaderName::from_static("oleanderspan-recall");
/// On store changes that one host forwards to another: version of the store.
pub const VERSION: HeaderName = HeaderName::from_static("oleanderspan-version");
/// On a refusal between hosts: time to wait before the next attempt, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("oleanderspan-retry-after-ms");

const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes the headers that only hosts of oleanderspan may set.
pub fn strip_internal(headers: &mut HeaderMap) {
    for name in [SERVICE, REGION, REPEAT, OUTCOME, REFUSAL, LEAVING] {
        headers.remove(name);
    }
}

/// Value of a header; `None` if it is absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header as an unsigned integer; `None` if it is absent or not one.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Creates a header value from validated text; empty if the text is not allowed in a header.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(const { HeaderValue::from_static("") })
}
