//! The client of the platform's service: table, objects and the list of servers.
//!
//! A write that got no answer is not repeated here: only the caller knows how to find out by
//! reading whether it took effect.

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
    /// Its key.
    pub key: String,
    /// Counts the writes of the row; the first one is 1.
    pub version: u64,
    /// Its value, JSON text.
    pub value: String,
}

/// What a write demands of the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// There is no row.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: String,
    /// What must hold before.
    pub expect: Expect,
    /// The new value, JSON text.
    pub value: String,
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes.
    pub writes: Vec<Write>,
}

/// Rows whose precondition did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The keys of those rows.
    pub keys: Vec<String>,
}

/// Keys to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// The keys.
    pub keys: Vec<String>,
}

/// Rows that were found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows, in the order of their keys.
    pub rows: Vec<Row>,
}

/// A backend server in the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its name.
    pub name: String,
    /// Counts its starts.
    pub incarnation: u64,
    /// The service it runs.
    pub service: String,
    /// The zone it is in.
    pub zone: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's list of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// The servers.
    pub servers: Vec<ListedServer>,
    /// Peer addresses of entry hosts, if the platform lists them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<SocketAddr>,
}

/// A client of the platform's service.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Store {
    /// A client with the given settings.
    pub fn new(settings: &settings::platform::Platform) -> Store {
        Store {
            client: Client::new(Protocol::Http1),
            address: settings.address,
            timeout: Duration::from_millis(settings.timeout_ms.into()),
        }
    }

    /// Writes rows together, each under its precondition.
    pub async fn transact(&self, transaction: &Transaction) -> Result<(), Error> {
        let body = codec::to_json(transaction)?;
        let (status, body) = self.call(Method::POST, "/v1/table/transact", body).await?;
        if status == StatusCode::CONFLICT {
            return Err(Error::Conflict(codec::from_json(&body)?));
        }
        check_status(status)
    }

    /// Reads rows; those that are not there are left out.
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

    /// Stores an object; objects never change, so that a repetition is harmless.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let (status, _) = self.call(Method::PUT, &format!("/v1/objects/{name}"), bytes).await?;
        check_status(status)
    }

    /// Reads an object.
    pub async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let (status, body) =
            self.call(Method::GET, &format!("/v1/objects/{name}"), Vec::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        Ok(Some(body.to_vec()))
    }

    /// The names of all objects that start with `prefix`, in their order.
    pub async fn object_names(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let path = format!("/v1/names/{prefix}");
        let (status, body) = self.call(Method::GET, &path, Vec::new()).await?;
        decode(status, &body)
    }

    /// Reads the list of backend servers.
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

/// Why a call to the platform's service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call had no effect: the service could not be reached or refused it.
    Unavailable(String),
    /// No answer came; a write may or may not have taken effect, and may yet.
    Unanswered(String),
    /// Some preconditions did not hold, so nothing was written.
    Conflict(Conflict),
    /// The service answered something that its protocol does not have.
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
            Error::Unanswered(reason) => write!(f, "the store did not answer: {reason}"),
            Error::Conflict(conflict) => write!(f, "rows changed: {}", conflict.keys.join(", ")),
            Error::Protocol(reason) => write!(f, "the store broke its protocol: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
