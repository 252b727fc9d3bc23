//! Header names of our own, and the headers that end at each hop.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// What is known about the effect of a request: `done`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("oleanderspan-outcome");
/// The code of a refusal.
pub const REFUSAL: HeaderName = HeaderName::from_static("oleanderspan-refusal");
/// Set by a backend server that is leaving, on any answer.
pub const LEAVING: HeaderName = HeaderName::from_static("oleanderspan-leaving");
/// The time left for a request, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("oleanderspan-timeout-ms");
/// The identity of a request, equal on every hop.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The key that a caller gave a request that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The addresses that a request came through, the caller's first.
pub const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// On a relay: the service.
pub const SERVICE: HeaderName = HeaderName::from_static("oleanderspan-service");
/// On a relay: the region that shall serve the request.
pub const REGION: HeaderName = HeaderName::from_static("oleanderspan-region");
/// On a relay: `harmless` or `forbidden`.
pub const REPEAT: HeaderName = HeaderName::from_static("oleanderspan-repeat");

/// On the answer to a question for a slot: the server.
pub const SERVER: HeaderName = HeaderName::from_static("oleanderspan-server");
/// On the answer to a question for a slot: where the server takes requests.
pub const SERVER_ADDRESS: HeaderName = HeaderName::from_static("oleanderspan-server-address");
/// On the answer to a question for a slot: the start of the server.
pub const SERVER_INCARNATION: HeaderName =
    HeaderName::from_static("oleanderspan-server-incarnation");
/// On the answer to a question for a slot: the zone of the server.
pub const SERVER_ZONE: HeaderName = HeaderName::from_static("oleanderspan-server-zone");
/// On the answer to a question for a slot: how many other objects the server was sent requests for
/// since the last one for the object of this request.
pub const REUSE_DISTANCE: HeaderName = HeaderName::from_static("oleanderspan-recall");
/// On changes of the platform's store that one host hands on to another: the store's version.
pub const VERSION: HeaderName = HeaderName::from_static("oleanderspan-version");
/// On a refusal between hosts: when to come back, in milliseconds.
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

/// Removes the headers that belong to one connection, also those that `Connection` names.
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

/// Removes the headers that only our own hosts may set.
pub fn strip_internal(headers: &mut HeaderMap) {
    for name in [SERVICE, REGION, REPEAT, OUTCOME, REFUSAL, LEAVING] {
        headers.remove(name);
    }
}

/// A header as text, if it is there and is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header as a number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// A value made of checked text; text that no header may hold becomes empty.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(const { HeaderValue::from_static("") })
}
