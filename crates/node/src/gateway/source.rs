//! The interface to a platform's store, in the gateway's own types; an adapter implements it.

use std::fmt;

use bytes::Bytes;
use oleanderspan::{
    backend, entry,
    prelude::*,
    route::{self, raw},
};

/// A kind of store content; each one is read and followed separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Routes and zone evacuations, written by the operator.
    Operator,
    /// Backend servers, which register themselves.
    Servers,
    /// Entry hosts, which register themselves.
    Hosts,
}

/// Batch interval for server changes per host that reads the store: 300 ms in total for
/// 8 hosts and 1 s for 28.
const BATCH_INTERVAL_PER_HOST: Duration = Duration::from_millis(36);

/// The shortest batch interval for server changes. A server that joins or leaves writes twice, and
/// both writes should arrive in one batch.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// The longest batch interval: half of the shortest time limit for noticing that a server leaves.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a host that reads urgent changes for others may go without an answer to them.
const URGENT_FEED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How often the store must show a host that reads urgent changes for others that it still answers.
/// The others learn of a change within two seconds although the store has fallen silent to that
/// host; a shorter interval costs calls of the store.
const URGENT_CONFIRMATION_INTERVAL: Duration = Duration::from_millis(1_200);

/// How much later than expected an answer of the store may come: a slow one takes some 350 ms.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(400);

/// How long a long poll stays open at the store where its loss must be noticed in time for the
/// changes that follow. The store answers one host of a region this often.
const CONFIRMATION_POLL: Duration = Duration::from_millis(2_500);

/// How long any other long poll stays open at the store, which allows no longer one.
const LONG_POLL: Duration = Duration::from_millis(30_000);

/// How much later than another host this one may receive a change, beside the time for which
/// changes are gathered: twice a round trip between regions, and the answer of a slow store.
const MAX_LAG: Duration = Duration::from_millis(600);

/// How long a long poll for changes that are not urgent stays open at the host that reads them.
const FEED_TIMEOUT: Duration = Duration::from_millis(20_000);

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 3] = [Topic::Operator, Topic::Servers, Topic::Hosts];

    /// How long a long poll for changes stays open at the host that reads the topic for others. An
    /// answer without changes shows that this host keeps up: a busy one still answers probes in
    /// time, and the others would wait for it while the store has the changes.
    pub const fn feed_timeout(self) -> Duration {
        match self {
            Topic::Operator | Topic::Servers => URGENT_FEED_TIMEOUT,
            Topic::Hosts => FEED_TIMEOUT,
        }
    }

    /// How long a long poll stays open at the store while this host reads the topic for others. An
    /// answer without changes shows that the store still answers this host.
    pub const fn confirmation_interval(self) -> Duration {
        match self {
            Topic::Operator | Topic::Servers => URGENT_CONFIRMATION_INTERVAL,
            Topic::Hosts => FEED_TIMEOUT,
        }
    }

    /// How long after an answer of the store this host may tell others that nothing has changed.
    pub const fn confirmation_validity(self) -> Duration {
        self.confirmation_interval().saturating_add(CONFIRMATION_MARGIN)
    }

    /// How long a long poll stays open at the store in a zone without a shared reader.
    /// `is_confirmed` is whether its loss would be noticed only as it ends.
    pub const fn poll_timeout(self, is_confirmed: bool) -> Duration {
        match (self, is_confirmed) {
            (Topic::Operator | Topic::Servers, true) => CONFIRMATION_POLL,
            (Topic::Operator | Topic::Servers, false) | (Topic::Hosts, _) => LONG_POLL,
        }
    }

    /// How long to wait after a change before the next call, so that further changes are read in
    /// the same batch. Each batch costs each of the `hosts` hosts that read the store one call, so
    /// the interval grows with their number.
    pub fn batch_interval(self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        match self {
            Topic::Operator => Duration::ZERO,
            // All hosts must know within two seconds that a server leaves.
            Topic::Servers => (BATCH_INTERVAL_PER_HOST * hosts.max(1))
                .clamp(MIN_BATCH_INTERVAL, MAX_BATCH_INTERVAL),
            // Not urgent: hosts probe each other for liveness.
            Topic::Hosts => MAX_BATCH_INTERVAL,
        }
    }

    /// How long this host waits for a change that another host has already read before it asks the
    /// store again, if `hosts` hosts read the store.
    pub fn max_lag(self, hosts: usize) -> Duration {
        self.batch_interval(hosts).saturating_add(MAX_LAG)
    }

    /// The name in logs and in requests between hosts.
    pub const fn as_str(self) -> &'static str {
        match self {
            Topic::Operator => "operator",
            Topic::Servers => "servers",
            Topic::Hosts => "hosts",
        }
    }
}

/// The current content of a row in the store.
#[derive(Clone, Debug)]
pub enum Row {
    /// The latest routing configuration, or why it could not be decoded.
    Routes(Result<raw::Table, route::Error>),
    /// Whether a zone is evacuated and must not receive requests.
    Evacuation {
        /// The zone's name.
        zone: String,
        /// Whether the evacuation is in effect.
        is_active: bool,
    },
    /// A backend server, or `None` if its row was deleted.
    Server(backend::Name, Option<Server>),
    /// An entry host with the value that it announced, or `None` if its row was deleted.
    Host(entry::Name, Option<Vec<u8>>),
    /// A row that could not be decoded.
    Invalid {
        /// The key of the row.
        key: String,
        /// The server that the row belongs to, which is then removed; `None` for any other row.
        server: Option<backend::Name>,
        /// Why the row is invalid.
        reason: String,
    },
}

/// A backend server's entry as decoded. Service and zone are not validated yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The service that the server runs.
    pub service: String,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The name of the server's availability zone.
    pub zone: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is about to stop.
    pub is_leaving: bool,
    /// Remaining time of its cold start, during which it is slow; zero once it is warm.
    pub cold_left: Duration,
    /// Start time of the server in milliseconds of the wall clock; identifies the start.
    pub born_millis: u64,
    /// Sequence number of the entry since that start.
    pub sequence: u64,
}

/// One response of the store, kept in its encoded form so that hosts can forward it unmodified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The version of the store that the page reflects.
    pub version: entry::Version,
    /// The encoded rows; see [`Source::decode`].
    pub bytes: Bytes,
}

/// The decoded rows of a page.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The rows, in the order of the page.
    pub rows: Vec<Row>,
    /// The number of the latest change among all rows of the page; 0 if it has none.
    pub latest: u64,
}

/// A client of a platform's store.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all rows of a topic. Later pages may reflect newer versions, so the caller must follow
    /// the changes from the version of the first page.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<Vec<Page>, Error>> + Send;

    /// Waits up to `wait` for rows whose latest change has a number above `after`. The page is
    /// empty if there are none. If its era is not the one of that number, changes may be missing.
    fn follow(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Decodes the rows of a page. Rows that are not meant for gateways are left out.
    fn decode(&self, topic: Topic, page: &[u8]) -> Result<Rows, Error>;

    /// Reads the value saved under `key`, or `None` if there is none.
    fn load(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Saves a value under `key`, replacing any earlier one.
    fn save(&self, key: &str, value: &[u8]) -> impl Future<Output = Result<(), Error>> + Send;

    /// Registers this host, and returns the store's version since then; `value` is passed to the
    /// other hosts unmodified.
    fn announce(
        &self,
        host: &entry::Name,
        value: &[u8],
    ) -> impl Future<Output = Result<entry::Version, Error>> + Send;

    /// Removes the registration of this host.
    fn withdraw(&self, host: &entry::Name) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The store no longer has the changes since that version; the topic must be read in full.
    HistoryTruncated,
    /// The store did not answer, or its response was unusable.
    Unavailable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::HistoryTruncated => {
                f.write_str("the store no longer has the changes since that version")
            }
            Error::Unavailable(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}
