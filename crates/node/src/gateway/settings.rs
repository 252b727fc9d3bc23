//! Settings of a gateway, as JSON; unknown fields pass, so that a platform may add some.

use std::{collections::BTreeMap, fmt, fs, path::Path};

use oleanderspan::{
    availability::{self, Topology},
    entry,
    prelude::*,
    region::{self, Percent},
};
use serde::Deserialize;

use crate::{codec, settings::log::Log};

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this host.
    pub host: entry::Name,
    /// Its zone.
    pub zone: availability::Index,
    /// Its region.
    pub region: region::Index,
    /// All zones and regions.
    pub topology: Topology,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// The budget of repeats that all hosts share.
    pub retries: RetryLimits,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// Logs.
    pub log: Log,
}

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Listen {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For questions whether the host is ready.
    pub ready: SocketAddr,
    /// For questions of callers which host to use.
    pub directory: SocketAddr,
    /// For other hosts.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Store {
    /// Where it answers.
    pub address: SocketAddr,
}

/// The budget of repeats that all hosts share, for each service and window.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Repeats as a share of requests.
    pub share: Percent,
    /// Repeats beyond that share.
    pub slack: u32,
}

#[derive(Debug, Deserialize)]
struct Raw {
    host: String,
    zone: String,
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
    /// Repeats for each request.
    ratio: f64,
    slack: f64,
}

impl Settings {
    /// Whether a process with these settings does the same as one with `other`. What a host is,
    /// where it listens and where its store is can't change while it runs.
    pub fn is_equivalent(&self, other: &Settings) -> bool {
        let fingerprint = |settings: &Settings| {
            let listen = &settings.listen;
            let addresses = [listen.callers, listen.ready, listen.directory, listen.peers];
            (
                settings.host.clone(),
                settings.zone,
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

    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let bytes = fs::read(path).map_err(|error| Error::new("settings", error))?;
        Settings::parse(&bytes)
    }

    /// Checks settings.
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
        let share = raw.repeats.ratio * 100.0;
        if !(0.0..=100.0).contains(&share) {
            let found = raw.repeats.ratio;
            return Err(Error::new("repeats.ratio", format!("wanted 0 to 1, found {found}")));
        }
        if !(0.0..=f64::from(u32::MAX)).contains(&raw.repeats.slack) {
            let found = raw.repeats.slack;
            return Err(Error::new("repeats.slack", format!("wanted a count, found {found}")));
        }
        if !(0.0..=MAX_GRACE_S).contains(&raw.grace_s) {
            let found = raw.grace_s;
            return Err(Error::new("grace_s", format!("wanted 0 to {MAX_GRACE_S}, found {found}")));
        }
        let share = Percent::try_from(share as u8);
        Ok(Settings {
            host: host.map_err(|error| Error::new("host", error))?,
            zone,
            region,
            topology,
            listen: raw.listen,
            store: raw.store,
            retries: RetryLimits {
                share: share.map_err(|error| Error::new("repeats.ratio", error))?,
                slack: raw.repeats.slack as u32,
            },
            grace: Duration::from_secs_f64(raw.grace_s),
            log: raw.log,
        })
    }
}

/// The longest time that a planned stop may be given, in seconds; more is a slip of the pen.
const MAX_GRACE_S: f64 = 3_600.0;

/// What is wrong with settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The field.
    pub path: String,
    /// What was wanted and found.
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
