//! The status of a job, as any caller can read it.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{Response, StatusCode, header};
use oleanderspan::request::{Refusal, claim, job};
use serde::{Deserialize, Serialize};

use crate::{
    codec,
    entry::{
        State,
        claims::row as claim_row,
        dispatch::Answer,
        jobs::{
            self,
            row::{self, Row},
        },
    },
    http::{Body, header as names},
};

/// The body of a job status answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The id of the job.
    pub id: String,
    /// `queued`, `running`, `done` or `in-doubt`.
    pub state: String,
    /// The name of the service that the request is addressed to.
    pub service: String,
    /// The number of attempts that provably did not run.
    pub attempts: u32,
    /// The name of the host that runs the job; absent unless it is running.
    pub runner: Option<String>,
    /// The answer, once the job is done.
    pub answer: Option<StoredAnswer>,
}

/// The stored answer of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header, if there was one.
    pub content_type: Option<String>,
    /// The body as text, if it is valid UTF-8 and was small enough to store.
    pub text: Option<String>,
    /// The body in base64, if it was small enough to store.
    pub base64: Option<String>,
}

/// Answers with the status of job `id`: 404 if there is none, and [`Refusal::StoreUnavailable`] if
/// the table cannot be read.
pub async fn answer(state: &State, id: &str) -> Result<Answer, Refusal> {
    let read =
        async |key: &str| state.claims.read(key).await.map_err(|_| Refusal::StoreUnavailable);
    let Some(found) = read(&jobs::row_key(&state.claims, id)).await? else {
        return Ok(json(StatusCode::NOT_FOUND, &None));
    };
    let row = row::decode(&found.value).map_err(|_| Refusal::StoreUnavailable)?;
    let mut answer = None;
    if row.job.state == job::State::Done {
        answer = read(&row.claim_key).await?.and_then(|row| stored_answer(&row.value));
    }
    Ok(json(StatusCode::OK, &Some(status(id, &row, answer))))
}

fn status(id: &str, row: &Row, answer: Option<StoredAnswer>) -> Status {
    let (state, runner) = match &row.job.state {
        job::State::Queued => ("queued", None),
        job::State::Running(runner) => ("running", Some(runner.host.to_string())),
        job::State::Done => ("done", None),
        job::State::InDoubt => ("in-doubt", None),
    };
    Status {
        id: id.to_owned(),
        state: state.to_owned(),
        service: row.service.clone(),
        attempts: row.job.attempts,
        runner,
        answer,
    }
}

fn stored_answer(value: &str) -> Option<StoredAnswer> {
    let claim::State::Done(answer) = claim_row::decode(value).ok()?.state else { return None };
    let base64 = answer.body.as_ref().map(|body| BASE64_STANDARD.encode(body));
    Some(StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.map(String::from),
        text: answer.body.and_then(|body| String::from_utf8(body).ok()),
        base64,
    })
}

fn json(code: StatusCode, status: &Option<Status>) -> Answer {
    let body = codec::to_json(status).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    *response.status_mut() = code;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, names::value("application/json"));
    headers.insert(header::CACHE_CONTROL, names::value("no-store"));
    response
}
