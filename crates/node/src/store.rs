//! Client of the platform's service: a table with conditional writes, immutable objects and the
//! list of backend servers.
//!
//! A write that got no response is not retried here: only the caller knows which rows to read to
//! find out whether it took effect.

use std::fmt;

use http::{Method, Request, StatusCode};
use oleanderspan::prelude::*;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    codec,
    http::{
        Body,
        client::{self, Client, Protocol},
    },
    settings,
};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table.
    pub key: String,
    /// Number of writes to the row so far; 1 after the first.
    pub version: u64,
    /// Value, as JSON text.
    pub value: String,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row to write.
    pub key: String,
    /// Precondition; if it does not hold, no write of the transaction takes effect.
    pub expect: Expect,
    /// New value, as JSON text.
    pub value: String,
}

/// Writes that take effect atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes, applied together.
    pub writes: Vec<Write>,
}

/// Body of a `409 Conflict` response: the rows whose precondition did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Keys of those rows.
    pub keys: Vec<String>,
}

/// Body of a read request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Keys of the rows to read.
    pub keys: Vec<String>,
}

/// Response to a read or a scan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows that exist, sorted by key.
    pub rows: Vec<Row>,
}

/// A backend server in the platform's list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Server name; stays the same across restarts.
    pub name: String,
    /// Incremented at each start of the server.
    pub incarnation: u64,
    /// Name of the service that the server runs.
    pub service: String,
    /// Name of the server's availability zone.
    pub zone: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Whether the platform lists the server as leaving.
    pub leaving: bool,
}

/// The platform's list of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Backend servers of all services and zones.
    pub servers: Vec<Server>,
    /// Peer addresses of entry hosts; empty if the platform does not list them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<SocketAddr>,
}

/// HTTP/1.1 client of the platform's service, with a timeout on each call.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Store {
    /// Creates a client; no connection is opened until the first call.
    pub fn new(settings: &settings::platform::Platform) -> Store {
        Store {
            client: Client::new(Protocol::Http1),
            address: settings.address,
            timeout: Duration::from_millis(settings.timeout_ms.into()),
        }
    }

    /// Writes rows atomically; fails with [`Error::Conflict`] if any precondition does not hold.
    pub async fn transact(&self, transaction: &Transaction) -> Result<(), Error> {
        let body = codec::to_json(transaction)?;
        let (status, body) = self.call(Method::POST, "/v1/table/transact", body).await?;
        if status == StatusCode::CONFLICT {
            return Err(Error::Conflict(codec::from_json(&body)?));
        }
        check_status(status)
    }

    /// Reads rows; keys without a row are omitted from the result.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, Error> {
        let body = codec::to_json(&Keys { keys })?;
        let (status, body) = self.call(Method::POST, "/v1/table/read", body).await?;
        let rows: Rows = decode(status, &body)?;
        Ok(rows.rows)
    }

    /// Reads all rows whose key starts with `prefix`.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let path = format!("/v1/table/scan/{prefix}");
        let (status, body) = self.call(Method::GET, &path, Vec::new()).await?;
        let rows: Rows = decode(status, &body)?;
        Ok(rows.rows)
    }

    /// Stores an object. Objects are immutable, so the call may be retried.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let (status, _) = self.call(Method::PUT, &format!("/v1/objects/{name}"), bytes).await?;
        check_status(status)
    }

    /// Reads an object; `None` if there is none of that name.
    pub async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let (status, body) =
            self.call(Method::GET, &format!("/v1/objects/{name}"), Vec::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        Ok(Some(body.to_vec()))
    }

    /// Names of all objects that start with `prefix`, sorted.
    pub async fn object_names(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let path = format!("/v1/names/{prefix}");
        let (status, body) = self.call(Method::GET, &path, Vec::new()).await?;
        decode(status, &body)
    }

    /// Reads the list of backend servers and, if the platform provides it, of entry hosts.
    pub async fn list_servers(&self) -> Result<ServerList, Error> {
        let (status, body) = self.call(Method::GET, "/v1/servers", Vec::new()).await?;
        decode(status, &body)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, bytes::Bytes), Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Body::from(bytes::Bytes::from(body)))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        Ok(self.client.call(request, self.timeout).await?)
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    check_status(status)?;
    Ok(codec::from_json(body)?)
}

fn check_status(status: StatusCode) -> Result<(), Error> {
    if status.is_success() {
        Ok(())
    } else if status == StatusCode::SERVICE_UNAVAILABLE {
        Err(Error::Unavailable("the service is unavailable".to_owned()))
    } else {
        Err(Error::Protocol(format!("unexpected status {status}")))
    }
}

/// Error of a call to the platform's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call had no effect: the connection failed or the service responded with 503.
    Unavailable(String),
    /// No response was received. A write may have taken effect, or may still take effect.
    Unanswered(String),
    /// A precondition did not hold, so nothing was written.
    Conflict(Conflict),
    /// The request could not be encoded, or the response is not valid in the protocol.
    Protocol(String),
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Error {
        match error {
            client::Error::Connect(reason) => Error::Unavailable(reason),
            error => Error::Unanswered(error.to_string()),
        }
    }
}

impl From<codec::Error> for Error {
    fn from(error: codec::Error) -> Error {
        Error::Protocol(error.to_string())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable(reason) => write!(f, "the store is away: {reason}"),
            Error::Unanswered(reason) => write!(f, "no response from the store: {reason}"),
            Error::Conflict(conflict) => write!(f, "row conflict: {}", conflict.keys.join(", ")),
            Error::Protocol(reason) => write!(f, "store protocol error: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
