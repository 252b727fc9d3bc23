//! What a gateway learns from a platform's store, in its own words; an adapter implements it.

use std::fmt;

use bytes::Bytes;
use oleanderspan::{
    backend, entry,
    prelude::*,
    route::{self, raw},
};

/// What is followed apart from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Routes and evacuations, which the operator writes.
    Operator,
    /// Backend servers, which list themselves.
    Servers,
    /// Entry hosts, which list themselves.
    Hosts,
}

/// How long changes gather for each host that reads: 300 ms with 8 hosts and a second with 28.
const BATCH_INTERVAL_PER_HOST: Duration = Duration::from_millis(36);

/// The least time for which changes gather: a server that joins or leaves writes twice.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// The most time for which changes gather: half of the shortest bound for a server that leaves.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(1_000);

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 3] = [Topic::Operator, Topic::Servers, Topic::Hosts];

    /// How long changes gather after a change before the next question, if `hosts` hosts read: each
    /// change costs each of them a call, so that more of them gather for longer.
    pub fn batch_interval(self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        match self {
            Topic::Operator => Duration::ZERO,
            // Servers must be known to leave within two seconds.
            Topic::Servers => (BATCH_INTERVAL_PER_HOST * hosts.max(1))
                .clamp(MIN_BATCH_INTERVAL, MAX_BATCH_INTERVAL),
            // Hosts tell each other that they live.
            Topic::Hosts => MAX_BATCH_INTERVAL,
        }
    }

    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Topic::Operator => "operator",
            Topic::Servers => "servers",
            Topic::Hosts => "hosts",
        }
    }
}

/// What a row of the store says now.
#[derive(Clone, Debug)]
pub enum Row {
    /// The newest document of routes.
    Routes(Result<raw::Table, route::Error>),
    /// Whether a zone shall get no requests.
    Evacuation {
        /// The zone's name.
        zone: String,
        /// Whether it is in force.
        is_active: bool,
    },
    /// A backend server, or `None` if it is no longer listed.
    Server(backend::Name, Option<Server>),
    /// An entry host, or `None` if it is no longer listed.
    Host(entry::Name, Option<Vec<u8>>),
    /// A row that names nothing to use.
    Invalid {
        /// The key of the row.
        key: String,
        /// The name, if the row stood for something that was listed before.
        server: Option<backend::Name>,
        /// What is wrong with it.
        reason: String,
    },
}

/// A backend server's entry; zone and service are names that must be known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The service that it runs.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The zone that it is in.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// When it started, in milliseconds of the wall clock.
    pub born_millis: u64,
    /// Counts what it has said since its start.
    pub sequence: u64,
}

/// A part of an answer of the store as it came, so that hosts can hand it on to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The version of the store that it shows.
    pub version: u64,
    /// What [`Source::decode`] reads.
    pub bytes: Bytes,
}

/// A platform's store.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all rows of a topic. Later pages may be newer; changes since the first one's version
    /// have to be asked for.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<Vec<Page>, Error>> + Send;

    /// Waits up to `wait` for rows that changed after a version.
    fn follow(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// The rows of a page.
    fn decode(&self, topic: Topic, page: &[u8]) -> Result<Vec<Row>, Error>;

    /// Reads what was kept under a key; none if nothing was.
    fn load(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Keeps something under a key.
    fn save(&self, key: &str, value: &[u8]) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists this host, with what the others shall know of it.
    fn announce(
        &self,
        host: &entry::Name,
        value: &[u8],
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Removes this host from the list.
    fn withdraw(&self, host: &entry::Name) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Why the store gave no answer that helps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The changes since that version are no longer kept.
    HistoryTruncated,
    /// No answer, or one that can't be used.
    Unavailable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::HistoryTruncated => {
                f.write_str("the changes since that version are no longer kept")
            }
            Error::Unavailable(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}
