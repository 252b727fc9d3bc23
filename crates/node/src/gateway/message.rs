//! Messages between gateways, encoded as MessagePack.

use std::fmt;

use bytes::Bytes;
use http::{Request, StatusCode};
use oleanderspan::{
    customer::{self, quota},
    entry::{self, roster},
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

/// Path on which an arbiter serves slot requests ([`SlotRequest`]).
pub const SLOT_PATH: &str = "/ask";

/// Path on which a host answers pings ([`Ping`]).
pub const PING_PATH: &str = "/ping";

/// Requests a slot of a backend server. The body of the response stays open as long as the slot is
/// held.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The request ID, for logs.
    pub request: String,
    /// Name of the service whose servers can run the request.
    pub service: String,
    /// Priority under overload, from the route.
    pub priority: u8,
    /// Name of the customer that sends the request, to whose quota it is charged; absent without one
    /// and in requests of older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<String>,
    /// Time left until the latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Hash of the object that the request accesses; absent on routes without sticky sessions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<u64>,
    /// Server that must not be chosen, because an earlier attempt failed on it.
    #[serde(default, rename = "not", skip_serializing_if = "Option::is_none")]
    pub excluded: Option<String>,
    /// Whether the request must stay in the region.
    #[serde(default)]
    pub is_bound: bool,
    /// Names of customers whose earlier requests were charged and not run; one name a request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refunds: Vec<String>,
    /// Name of the asking host, which servers may have asked for backoff; absent in requests of
    /// older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Outcomes of earlier requests on servers that the arbiter allocates.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<ServerReport>,
}

/// Outcome of a request on its server, or the fact that the server is unusable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Name of the service.
    pub service: String,
    /// Name of the server.
    pub server: String,
    /// Start of the server; absent in reports of older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
    /// Response time in microseconds; `None` if the server failed or is unusable.
    pub latency_us: Option<u64>,
    /// Reuse distance of the request's object on the server, as received with the slot.
    #[serde(default, rename = "recall", skip_serializing_if = "Option::is_none")]
    pub reuse_distance: Option<u8>,
    /// Whether the reporting host knows the server as leaving, gone or in an evacuated zone. In
    /// that case no request was sent to it.
    #[serde(default)]
    pub is_unusable: bool,
    /// Whether this start of the server has said in an answer that it is leaving.
    #[serde(default)]
    pub is_leaving: bool,
    /// For how long the reporting host is to send the server nothing, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backoff_ms: Option<u64>,
}

/// Path on which a host hands on the store changes that it reads for its zone ([`Follow`]).
pub const FOLLOW_PATH: &str = "/follow";

/// Requests store changes by long polling: the response is delayed until there are changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Follow {
    /// Name of the topic.
    pub topic: String,
    /// Version of the last change that the requesting host has.
    pub after: u64,
    /// Era of that version.
    #[serde(default)]
    pub era: u64,
}

/// A time in messages.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Identifies the pinging host; the response identifies the pinged one in the same form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ping {
    /// Name of the sending host.
    pub host: String,
    /// Whether the host is stopping or not ready, so that it must not be used.
    pub is_leaving: bool,
    /// Liveness of the other hosts of its zone, as observed by the sender; empty in a ping.
    #[serde(default, rename = "seen", skip_serializing_if = "Vec::is_empty")]
    pub liveness: Vec<Liveness>,
    /// The latest changes of the store that the sender has read.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
    /// How long ago a silence of the store ended that the sender has met, in milliseconds; absent
    /// if there was none lately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silence_age_ms: Option<u64>,
}

/// The latest change of a topic that a host has read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the topic.
    pub topic: String,
    /// The store's version of the change.
    pub version: u64,
    /// Era of that version.
    #[serde(default)]
    pub era: u64,
}

/// Liveness of a host, as observed by another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Liveness {
    /// Name of the observed host.
    pub host: String,
    /// Time since its last answer, in milliseconds.
    pub age_ms: u32,
    /// Whether it reported itself as leaving.
    pub is_leaving: bool,
}

impl TryFrom<&Liveness> for roster::Report {
    type Error = name::Error;

    fn try_from(liveness: &Liveness) -> Result<roster::Report, name::Error> {
        let name = entry::Name::try_from(liveness.host.as_str())?;
        let age = Duration::from_millis(liveness.age_ms.into());
        Ok(roster::Report { name, age, is_leaving: liveness.is_leaving })
    }
}

impl From<&roster::Report> for Liveness {
    fn from(report: &roster::Report) -> Liveness {
        let age_ms = u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX);
        Liveness { host: report.name.to_string(), age_ms, is_leaving: report.is_leaving }
    }
}

/// Path on which the arbiters of different regions exchange loans ([`LoanExchange`]).
pub const LOAN_PATH: &str = "/loan";

/// Capacity and loans of a region, sent by the arbiter of a service to that of another region.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoanExchange {
    /// Name of the service.
    pub service: String,
    /// Name of the sending region.
    pub region: String,
    /// Slots that the region's requests need, in thousandths; `None` if not known yet.
    pub needed_milli: Option<u64>,
    /// Slots of the region's own servers.
    pub slots: u32,
    /// Slots by server name: in a request those that the sender has borrowed from the receiver, in
    /// a response those that the sender lends.
    pub loans: Vec<(String, u32)>,
}

/// Path on which a coordinator of quotas answers reports ([`QuotaReport`]).
pub const QUOTA_PATH: &str = "/quota";

/// What a host holds and wants of the quotas of customers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Name of the sending host.
    pub host: String,
    /// Name of its region if it reports as the coordinator of another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<String>,
    /// Identifies the run of the sending process.
    pub run: u64,
    /// When the report was made, by a clock of that run.
    pub sent: u64,
    /// One report for each customer that is concerned.
    pub reports: Vec<ReportRecord>,
}

/// Report on one customer. The names are short, as there may be thousands of records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportRecord {
    /// Name of the customer.
    #[serde(rename = "c")]
    pub customer: String,
    /// Rates and sizes held and wanted, tokens short, urgent and returned, and the demand.
    #[serde(rename = "r")]
    numbers: [u64; 8],
}

impl ReportRecord {
    /// Encodes a report.
    pub fn new(customer: &customer::Name, report: &quota::Report) -> ReportRecord {
        let quota::Report { held, wanted, short, urgent, returned, demand } = *report;
        let numbers =
            [held.rate, held.size, wanted.rate, wanted.size, short, urgent, returned, demand];
        ReportRecord { customer: customer.to_string(), numbers }
    }

    /// The report.
    pub fn report(&self) -> quota::Report {
        let [rate, size, wanted_rate, wanted_size, short, urgent, returned, demand] = self.numbers;
        quota::Report {
            held: quota::Amount { rate, size },
            wanted: quota::Amount { rate: wanted_rate, size: wanted_size },
            short,
            urgent: urgent.min(short),
            returned,
            demand,
        }
    }
}

/// Answer to a [`QuotaReport`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaLeases {
    /// One lease for each report.
    pub leases: Vec<LeaseRecord>,
    /// Whether the coordinator may lease more than its holders have.
    pub is_open: bool,
}

/// Lease on a part of one customer's quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the customer.
    #[serde(rename = "c")]
    pub customer: String,
    /// Rate, size, tokens and time to live in milliseconds.
    #[serde(rename = "l")]
    numbers: [u64; 4],
    /// Whether no more is to be had from other regions either.
    #[serde(rename = "f")]
    is_final: bool,
}

impl LeaseRecord {
    /// Encodes a lease.
    pub fn new(customer: &customer::Name, lease: &quota::Lease) -> LeaseRecord {
        let amount = lease.amount;
        LeaseRecord {
            customer: customer.to_string(),
            numbers: [amount.rate, amount.size, lease.tokens, millis(lease.ttl)],
            is_final: lease.is_final,
        }
    }

    /// The lease, by a coordinator that may or may not lease more than its holders have.
    pub fn lease(&self, is_open: bool) -> quota::Lease {
        let [rate, size, tokens, ttl_ms] = self.numbers;
        quota::Lease {
            amount: quota::Amount { rate, size },
            tokens,
            ttl: Duration::from_millis(ttl_ms),
            is_final: self.is_final,
            is_open,
        }
    }
}

/// Record of a host in the store, encoded as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Host {
    /// Address for client requests.
    pub callers: SocketAddr,
    /// Address for messages of other hosts.
    pub peers: SocketAddr,
    /// Name of the availability zone.
    pub zone: String,
    /// Processor time in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub millicores: u32,
}

/// Sends a message to another host and reads the whole response, within `limit`.
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

/// Builds the HTTP request that carries a message.
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

/// Why sending a message failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message could not be encoded.
    Encode(String),
    /// The connection failed, or no complete response arrived in time.
    Call(client::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Encode(reason) => write!(f, "cannot encode the message: {reason}"),
            Error::Call(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
