//! Bodies of claimed requests and of their answers, in memory.

use bytes::Bytes;
use http::{Response, StatusCode, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use oleanderspan::request::{Outcome, Refusal, claim};

use crate::{
    codec,
    entry::dispatch::Answer,
    http::{Body, header as names},
};

/// The largest body of a claimed request.
pub const MAX_REQUEST_BYTES: usize = 1 << 20;

/// The largest answer of a claimed request.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reads the body of a request whole.
pub async fn buffer(body: Incoming) -> Result<Bytes, Refusal> {
    match Limited::new(body, MAX_REQUEST_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::Malformed),
    }
}

/// A digest of method, path and body, which tells requests with the same key apart.
pub fn digest(head: &request::Parts, body: &[u8]) -> String {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut bytes = format!("{} {path}\n", head.method).into_bytes();
    bytes.extend_from_slice(body);
    codec::hash(&bytes)
}

/// Reads an answer whole; also returns what to keep of it, with a body of at most `limit` bytes.
pub async fn collect(answer: Answer, limit: usize) -> (Result<Answer, Refusal>, claim::Answer) {
    let (head, body) = answer.into_parts();
    let content_type = names::text(&head.headers, &header::CONTENT_TYPE).map(Box::from);
    let mut stored = claim::Answer { status: head.status.as_u16(), content_type, body: None };
    let Ok(body) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
        return (Err(Refusal::Broken), stored);
    };
    let body = body.to_bytes();
    stored.body = (body.len() <= limit).then(|| body.to_vec());
    (Ok(Response::from_parts(head, Body::from(body))), stored)
}

/// The answer that was stored of a request which ran before.
pub fn stored_response(answer: claim::Answer) -> Answer {
    let mut response = Response::new(Body::from(Bytes::from(answer.body.unwrap_or_default())));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Some(content_type) = answer.content_type {
        headers.insert(header::CONTENT_TYPE, names::value(&content_type));
    }
    headers.insert(names::OUTCOME, names::value(Outcome::Done.as_str()));
    response
}
