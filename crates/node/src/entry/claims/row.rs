//! The JSON encoding of claims in the table.

use base64::{Engine, prelude::BASE64_STANDARD};
use oleanderspan::request::claim::{self, Claim, State};
use serde::{Deserialize, Serialize};

use crate::codec;

/// The encoded form of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Raw {
    /// The id of the operation that wrote the claim.
    pub operation: String,
    /// The hash of method, path and body of the request.
    pub digest: String,
    /// The progress of the request.
    pub state: RawState,
}

/// The encoded form of the progress of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RawState {
    /// Claimed; the request may have been dispatched.
    Held,
    /// The request provably did not run.
    Released,
    /// The request ran and was answered.
    Done(RawAnswer),
}

/// The encoded form of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header, if there was one.
    pub content_type: Option<String>,
    /// The body in base64, unless it was too large to store.
    pub body: Option<String>,
}

/// Encodes a claim as JSON.
pub fn encode(claim: &Claim) -> String {
    let state = match &claim.state {
        State::Held => RawState::Held,
        State::Released => RawState::Released,
        State::Done(answer) => RawState::Done(RawAnswer {
            status: answer.status,
            content_type: answer.content_type.as_deref().map(str::to_owned),
            body: answer.body.as_ref().map(|body| BASE64_STANDARD.encode(body)),
        }),
    };
    let (operation, digest) = (claim.operation.to_string(), claim.digest.to_string());
    let bytes = codec::to_json(&Raw { operation, digest, state }).unwrap_or_default();
    String::from_utf8(bytes).unwrap_or_default()
}

/// Decodes a claim. Fails if the JSON or the base64 of the body is invalid.
pub fn decode(value: &str) -> Result<Claim, codec::Error> {
    let raw: Raw = codec::from_json(value.as_bytes())?;
    let state = match raw.state {
        RawState::Held => State::Held,
        RawState::Released => State::Released,
        RawState::Done(answer) => State::Done(answer.try_into()?),
    };
    Ok(Claim { operation: raw.operation.into(), digest: raw.digest.into(), state })
}

impl TryFrom<RawAnswer> for claim::Answer {
    type Error = codec::Error;

    fn try_from(raw: RawAnswer) -> Result<claim::Answer, codec::Error> {
        let body = raw.body.map(|body| BASE64_STANDARD.decode(body)).transpose();
        let body = body.map_err(|error| codec::Error::Decode {
            path: "state.done.body".to_owned(),
            reason: error.to_string(),
        })?;
        let content_type = raw.content_type.map(String::into_boxed_str);
        Ok(claim::Answer { status: raw.status, content_type, body })
    }
}
