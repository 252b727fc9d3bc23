//! Refusals over HTTP: a header and an `application/problem+json` body.

use std::fmt;

use http::{Response, StatusCode, header};
use oleanderspan::{
    prelude::*,
    request::{Outcome, Refusal},
};
use serde::Serialize;

use crate::{
    codec,
    http::{Body, header as names},
};

/// The body of a refusal, after RFC 9457.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: String,
    status: u16,
    outcome: &'a str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<RetryAfter>,
}

/// A delay in seconds, serialized with a fraction only if it is not whole.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(untagged)]
enum RetryAfter {
    Whole(u64),
    Part(f64),
}

impl From<Duration> for RetryAfter {
    fn from(delay: Duration) -> RetryAfter {
        match delay.subsec_millis() {
            0 => RetryAfter::Whole(delay.as_secs()),
            _ => RetryAfter::Part(delay.as_millis() as f64 / 1_000.0),
        }
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RetryAfter::Whole(seconds) => seconds.fmt(f),
            RetryAfter::Part(seconds) => seconds.fmt(f),
        }
    }
}

/// Builds the answer that states why a request was refused and whether it ran.
pub fn response<G>(refusal: Refusal, request_id: &str, detail: Option<&str>) -> Response<Body<G>> {
    let (outcome, status) = (refusal.outcome(), refusal.status());
    response_after(refusal, outcome, status, refusal.retry_after(), request_id, detail)
}

/// Like [`response`], but with the given outcome over all attempts, status and retry delay.
pub fn response_after<G>(
    refusal: Refusal,
    outcome: Outcome,
    status: u16,
    retry_after: Option<Duration>,
    request_id: &str,
    detail: Option<&str>,
) -> Response<Body<G>> {
    let retry_after_s = retry_after.map(RetryAfter::from);
    let problem = Problem {
        r#type: format!("urn:oleanderspan:refusal:{}", refusal.as_str()),
        title: refusal.to_string(),
        status,
        outcome: outcome.as_str(),
        request_id,
        detail,
        retry_after_s,
    };
    let body = codec::to_json(&problem).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes::Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, names::value("application/problem+json"));
    headers.insert(header::CACHE_CONTROL, names::value("no-store"));
    headers.insert(names::OUTCOME, names::value(outcome.as_str()));
    headers.insert(names::REFUSAL, names::value(refusal.as_str()));
    headers.insert(names::REQUEST_ID, names::value(request_id));
    if let Some(seconds) = retry_after_s {
        headers.insert(header::RETRY_AFTER, names::value(&seconds.to_string()));
    }
    response
}

/// Returns the refusal in the headers of another host's answer, or `None` if there is none.
pub fn parse(headers: &http::HeaderMap) -> Option<Refusal> {
    names::text(headers, &names::REFUSAL).and_then(|code| Refusal::try_from(code).ok())
}
