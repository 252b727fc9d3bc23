//! What gateways send each other, as MessagePack.

use std::fmt;

use bytes::Bytes;
use http::{Request, StatusCode};
use oleanderspan::{
    entry::{self, roster::LivenessReport},
    name,
    prelude::*,
};
use serde::{Deserialize, Serialize};

use crate::{
    codec,
    http::{
        Body,
        client::{self, Client},
    },
};

/// Where a host asks another for a slot of a backend server.
pub const SLOT_PATH: &str = "/ask";

/// Where a host asks whether another one lives.
pub const PING_PATH: &str = "/ping";

/// A question for a slot. The answer's body stays open as long as the slot is held.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The identity of the request, for logs.
    pub request: String,
    /// The service.
    pub service: String,
    /// Its rank under overload.
    pub priority: u8,
    /// The time left until its latency objective, in milliseconds.
    pub objective_ms: u64,
    /// The time left until its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The object that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<u64>,
    /// A server that has failed it.
    #[serde(default, rename = "not", skip_serializing_if = "Option::is_none")]
    pub excluded: Option<String>,
    /// Whether it must not leave the region.
    #[serde(default)]
    pub is_bound: bool,
    /// What earlier requests have shown of servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<ServerReport>,
}

/// What a request has shown of its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The service.
    pub service: String,
    /// The server.
    pub server: String,
    /// How long it took to answer, in microseconds; none if it failed.
    pub latency_us: Option<u64>,
    /// How well the server knew the object of the request, as it was told with the slot.
    #[serde(default, rename = "recall", skip_serializing_if = "Option::is_none")]
    pub reuse_distance: Option<u8>,
    /// Whether the reporter knows that the server is not to be used: it leaves, is gone, or its
    /// zone is evacuated. Nothing was sent to it then.
    #[serde(default)]
    pub is_unusable: bool,
}

/// Where a host asks for changes of the store that another one reads for it.
pub const FOLLOW_PATH: &str = "/follow";

/// A question for changes of the store; it stays open until there are some.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Follow {
    /// What is followed.
    pub topic: String,
    /// The version that is known already.
    pub after: u64,
}

/// Says who asks; the answer says who is there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ping {
    /// The host.
    pub host: String,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// What it has seen of the other hosts of its zone.
    #[serde(default, rename = "seen", skip_serializing_if = "Vec::is_empty")]
    pub liveness: Vec<Liveness>,
}

/// What one host has seen of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Liveness {
    /// The host.
    pub host: String,
    /// How long ago it answered, in milliseconds.
    pub age_ms: u32,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

impl TryFrom<&Liveness> for LivenessReport {
    type Error = name::Error;

    fn try_from(liveness: &Liveness) -> Result<LivenessReport, name::Error> {
        let name = entry::Name::try_from(liveness.host.as_str())?;
        let age = Duration::from_millis(liveness.age_ms.into());
        Ok(LivenessReport { name, age, is_leaving: liveness.is_leaving })
    }
}

impl From<&LivenessReport> for Liveness {
    fn from(report: &LivenessReport) -> Liveness {
        let age_ms = u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX);
        Liveness { host: report.name.to_string(), age_ms, is_leaving: report.is_leaving }
    }
}

/// Where hosts that give out slots in different regions settle loans.
pub const LOAN_PATH: &str = "/loan";

/// What the host that gives out a service's slots in a region says to that of another region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoanExchange {
    /// The service.
    pub service: String,
    /// The region that speaks.
    pub region: String,
    /// Slots that its requests need, in thousandths; none if it isn't known yet.
    pub needed_milli: Option<u64>,
    /// Slots of its servers.
    pub slots: u32,
    /// In a question the slots that the region holds of the other's servers, in an answer those
    /// that it lends.
    pub loans: Vec<(String, u32)>,
}

/// What the others know of a host through the store, as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Host {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other hosts reach it.
    pub peers: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// Sends a message to another host and reads its whole answer.
pub async fn post<T: Serialize>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    message: &T,
    limit: Duration,
) -> Result<(StatusCode, Bytes), Error> {
    let request = request(address, path, message)?;
    client.call(request, limit).await.map_err(Error::Call)
}

/// Makes the request that carries a message.
pub fn request<T: Serialize>(
    address: SocketAddr,
    path: &str,
    message: &T,
) -> Result<Request<Body>, Error> {
    let body = codec::to_wire(message).map_err(|error| Error::Encode(error.to_string()))?;
    Request::post(format!("http://{address}{path}"))
        .body(Body::from(Bytes::from(body)))
        .map_err(|error| Error::Encode(error.to_string()))
}

/// Why a message brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It could not be written.
    Encode(String),
    /// The other host gave no answer.
    Call(client::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Encode(reason) => write!(f, "the message cannot be written: {reason}"),
            Error::Call(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
