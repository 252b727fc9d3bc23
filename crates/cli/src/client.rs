//! The client of the operator interface.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use oleanderspan_node::{
    codec,
    http::{
        Body,
        client::{self as http_client, Client as HttpClient, Protocol},
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::Exit;

/// Longest time to wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The operator interface of one host.
#[derive(Clone, Debug)]
pub struct Client {
    client: HttpClient,
    address: SocketAddr,
}

/// The body of an error.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    error_code: Option<String>,
    #[serde(alias = "detail")]
    message: String,
}

impl Client {
    /// The interface at `address`.
    pub fn new(address: SocketAddr) -> Client {
        Client { client: HttpClient::new(Protocol::Http1), address }
    }

    /// Asks for a value; a question changes nothing, so that its outcome is never unknown.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let result = self.call(Method::GET, path, Bytes::new()).await;
        result.map_err(|error| match error {
            Error::Unknown(reason) => Error::Refused(reason),
            error => error,
        })
    }

    /// Sends a value and reads the answer.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Error> {
        let body = codec::to_json(value).map_err(|error| Error::Protocol(error.to_string()))?;
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::from(body))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let (status, body) = self.client.call(request, TIMEOUT).await?;
        if status.is_success() {
            return codec::from_json(&body).map_err(|error| Error::Protocol(error.to_string()));
        }
        let problem: Problem = codec::from_json(&body).unwrap_or_default();
        match problem.error_code.as_deref() {
            Some("unknown") => Err(Error::Unknown(problem.message)),
            _ if status == StatusCode::INTERNAL_SERVER_ERROR => {
                Err(Error::Unknown(problem.message))
            }
            _ => Err(Error::Refused(problem.message)),
        }
    }
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Nothing was changed.
    Refused(String),
    /// It is not known whether anything was changed.
    Unknown(String),
    /// The answer is not of the interface.
    Protocol(String),
}

impl Error {
    /// How a command ends that met this error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Refused(_) => Exit::Refused,
            Error::Unknown(_) | Error::Protocol(_) => Exit::Unknown,
        }
    }
}

impl From<http_client::Error> for Error {
    fn from(error: http_client::Error) -> Error {
        match error {
            http_client::Error::Connect(reason) => Error::Refused(reason),
            error => Error::Unknown(error.to_string()),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(reason) => write!(f, "refused: {reason}"),
            Error::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
            Error::Protocol(reason) => {
                write!(f, "not an answer of the operator interface: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}
