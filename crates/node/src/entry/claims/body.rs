//! Buffered bodies of claimed requests and of their answers.

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

/// The maximum body size of a claimed request.
pub const MAX_REQUEST_BYTES: usize = 1 << 20;

/// The maximum body size of an answer to a claimed request.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reads the whole body of a request. Fails with [`Refusal::TooLarge`] above [`MAX_REQUEST_BYTES`],
/// and with [`Refusal::Malformed`] if the body cannot be read.
pub async fn buffer(body: Incoming) -> Result<Bytes, Refusal> {
    match Limited::new(body, MAX_REQUEST_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::Malformed),
    }
}

/// Hashes method, path and body, to distinguish different requests with the same key.
pub fn digest(head: &request::Parts, body: &[u8]) -> String {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut bytes = format!("{} {path}\n", head.method).into_bytes();
    bytes.extend_from_slice(body);
    codec::content_hash_hex(&bytes)
}

/// Reads a whole answer, and also returns the copy to store, whose body is left out if it is longer
/// than `limit` bytes.
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

/// Builds the response to a repeated request from its stored answer.
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
