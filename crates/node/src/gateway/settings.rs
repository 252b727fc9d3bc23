//! The gateway's settings file, in JSON. Unknown fields are ignored, so that a platform may add its
//! own.

use std::{collections::BTreeMap, fmt, fs, path::Path};

use oleanderspan::{
    availability::{self, Topology},
    entry,
    prelude::*,
    region::{self, Percent},
};
use serde::Deserialize;

use crate::{codec, settings::log::Log};

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this host, unique among all hosts.
    pub host: entry::Name,
    /// The availability zone of this host.
    pub zone: availability::Index,
    /// The region of that zone.
    pub region: region::Index,
    /// Processor time of this host in thousandths of a core, or 0 if unknown; the setting `cores`.
    pub millicores: u32,
    /// Memory of this host in bytes; `None` if it is not limited. The setting `memory_mb`.
    pub memory_bytes: Option<u64>,
    /// All zones of the deployment and their regions.
    pub topology: Topology,
    /// The addresses that the gateway listens on.
    pub listen: Listen,
    /// The connection to the platform's store.
    pub store: Store,
    /// The retry budget that all hosts share; the setting `repeats`.
    pub retries: RetryLimits,
    /// The longest duration of a planned stop, at most one hour; the setting `grace_s`.
    pub grace: Duration,
    /// The log level.
    pub log: Log,
}

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// Requests of clients.
    pub callers: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Lookups by clients of the hosts to use.
    pub directory: SocketAddr,
    /// Requests of other hosts.
    pub peers: SocketAddr,
    /// The metrics page.
    pub metrics: SocketAddr,
}

/// How to reach the platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Store {
    /// The address of the store's HTTP interface.
    pub address: SocketAddr,
}

/// The limit of retries by all hosts together, per service and window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries in percent of requests.
    pub share: Percent,
    /// Number of retries allowed in addition to that share.
    pub slack: u32,
    /// Whether the process may start with its part of them; the setting `repeats.unspent`.
    pub is_unspent: bool,
}

#[derive(Debug, Deserialize)]
struct Raw {
    host: String,
    zone: String,
    /// Processor time of this host, in cores.
    #[serde(default)]
    cores: f64,
    /// Memory of this host, in millions of bytes.
    #[serde(default)]
    memory_mb: Option<f64>,
    zones: BTreeMap<String, String>,
    listen: Listen,
    store: Store,
    repeats: RawRetryLimits,
    grace_s: f64,
    #[serde(default)]
    log: Log,
}

#[derive(Debug, Deserialize)]
struct RawRetryLimits {
    /// Retries per request, 0 to 1.
    ratio: f64,
    slack: f64,
    /// Whether no earlier process of the host may have spent its part.
    #[serde(default = "unspent")]
    unspent: bool,
}

const fn unspent() -> bool {
    true
}

impl Settings {
    /// Whether a process behaves the same with these settings as with `other`. The identity of the
    /// host, its listen addresses and its store cannot change while it runs.
    pub fn is_equivalent(&self, other: &Settings) -> bool {
        let fingerprint = |settings: &Settings| {
            let listen = &settings.listen;
            let addresses = [listen.callers, listen.ready, listen.directory, listen.peers];
            (
                settings.host.clone(),
                settings.zone,
                settings.millicores,
                settings.memory_bytes,
                addresses,
                listen.metrics,
                settings.store.address,
            )
        };
        fingerprint(self) == fingerprint(other)
            && self.retries.share == other.retries.share
            && self.retries.slack == other.retries.slack
            && self.grace == other.grace
            && self.log.level == other.log.level
    }

    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let bytes = fs::read(path).map_err(|error| Error::new("settings", error))?;
        Settings::parse(&bytes)
    }

    /// Parses and validates settings. The error names the first invalid field.
    pub fn parse(bytes: &[u8]) -> Result<Settings, Error> {
        let raw: Raw = codec::from_json(bytes).map_err(|error| match error {
            codec::Error::Decode { path, reason } => Error::new(&path, reason),
            other => Error::new("settings", other),
        })?;
        Settings::try_from(raw)
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Settings, Error> {
        let host = entry::Name::try_from(raw.host.as_str());
        let mut topology = Topology::default();
        for (zone, region) in &raw.zones {
            let path = format!("zones.{zone}");
            let name = availability::Name::try_from(zone.as_str());
            let region = region::Name::try_from(region.as_str());
            topology.add_zone(
                name.map_err(|error| Error::new(&path, error))?,
                region.map_err(|error| Error::new(&path, error))?,
            );
        }
        let Some((zone, region)) = topology.find_zone(&raw.zone) else {
            return Err(Error::new("zone", format!("zones has no {:?}", raw.zone)));
        };
        if !(0.0..=MAX_CORES).contains(&raw.cores) {
            let found = raw.cores;
            return Err(Error::new("cores", format!("expected 0 to {MAX_CORES}, found {found}")));
        }
        let is_memory = |found: &f64| (1.0..=MAX_MEMORY_MB).contains(found);
        if let Some(found) = raw.memory_mb.filter(|found| !is_memory(found)) {
            let reason = format!("expected 1 to {MAX_MEMORY_MB}, found {found}");
            return Err(Error::new("memory_mb", reason));
        }
        let share = raw.repeats.ratio * 100.0;
        if !(0.0..=100.0).contains(&share) {
            let found = raw.repeats.ratio;
            return Err(Error::new("repeats.ratio", format!("expected 0 to 1, found {found}")));
        }
        if !(0.0..=f64::from(u32::MAX)).contains(&raw.repeats.slack) {
            let found = raw.repeats.slack;
            return Err(Error::new("repeats.slack", format!("expected a count, found {found}")));
        }
        if !(0.0..=MAX_GRACE_S).contains(&raw.grace_s) {
            let found = raw.grace_s;
            return Err(Error::new(
                "grace_s",
                format!("expected 0 to {MAX_GRACE_S}, found {found}"),
            ));
        }
        let share = Percent::try_from(share as u8);
        Ok(Settings {
            host: host.map_err(|error| Error::new("host", error))?,
            zone,
            region,
            // The check above excludes values that do not fit.
            millicores: (raw.cores * 1_000.0) as u32,
            memory_bytes: raw.memory_mb.map(|megabytes| (megabytes * 1e6) as u64),
            topology,
            listen: raw.listen,
            store: raw.store,
            retries: RetryLimits {
                share: share.map_err(|error| Error::new("repeats.ratio", error))?,
                slack: raw.repeats.slack as u32,
                is_unspent: raw.repeats.unspent,
            },
            grace: Duration::from_secs_f64(raw.grace_s),
            log: raw.log,
        })
    }
}

/// The most cores of a host; a larger value is most likely a typo.
const MAX_CORES: f64 = 4_096.0;

/// The most memory of a host, in millions of bytes; a larger value is most likely one in bytes.
const MAX_MEMORY_MB: f64 = 16e6;

/// The longest allowed duration of a planned stop, in seconds; a larger value is most likely a
/// typo.
const MAX_GRACE_S: f64 = 3_600.0;

/// An invalid or unreadable setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The path of the field, or `settings` if the file as a whole is unreadable.
    pub path: String,
    /// The accepted values and the value found.
    pub reason: String,
}

impl Error {
    fn new(path: &str, reason: impl fmt::Display) -> Error {
        Error { path: path.to_owned(), reason: reason.to_string() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for Error {}
