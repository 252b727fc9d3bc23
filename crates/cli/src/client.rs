//! HTTP client of the operator interface.

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

/// Maximum time to wait for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the operator interface of one host.
#[derive(Clone, Debug)]
pub struct Client {
    client: HttpClient,
    address: SocketAddr,
}

/// JSON body of an error response. The message is read from `message` or `detail`.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    error_code: Option<String>,
    #[serde(alias = "detail")]
    message: String,
}

impl Client {
    /// Creates a client for the operator interface at `address`, without connecting to it.
    pub fn new(address: SocketAddr) -> Client {
        Client { client: HttpClient::new(Protocol::Http1), address }
    }

    /// Sends a GET request and decodes the response.
    ///
    /// A read changes nothing, so [`Error::Unknown`] is returned as [`Error::Refused`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let result = self.call(Method::GET, path, Bytes::new()).await;
        result.map_err(|error| match error {
            Error::Unknown(reason) => Error::Refused(reason),
            error => error,
        })
    }

    /// Sends `value` as JSON in a POST request and decodes the response.
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

/// Error of a call to the operator interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The host refused the request or could not be reached; nothing was changed.
    Refused(String),
    /// The connection broke, the call timed out or the host reported an unknown outcome; the change
    /// may have been made.
    Unknown(String),
    /// A message could not be encoded or decoded; handled as an unknown outcome.
    Protocol(String),
}

impl Error {
    /// The exit code of a command that fails with this error.
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
                write!(f, "invalid response from the operator interface: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}
