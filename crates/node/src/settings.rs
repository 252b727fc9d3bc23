//! Settings of a host: one JSON file for both of its daemons, validated completely at start-up. See
//! `docs/operators/settings.md`.

pub mod address;
pub mod control;
pub mod entry;
pub mod host;
pub mod log;
pub mod metrics;
pub mod platform;

use std::{fmt, fs, path::Path};

use oleanderspan::document::{self, Fault};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::schema;

/// Validated settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Environment that the host serves.
    pub environment: document::Environment,
    /// Name and availability zone of the host.
    pub host: host::Host,
    /// Settings of the entry daemon.
    pub entry: entry::Entry,
    /// Settings of the control daemon.
    pub control: control::Control,
    /// Connection to the platform's service.
    pub platform: platform::Platform,
    /// Logging of both daemons.
    pub log: log::Log,
    /// Where metrics are sent; `None` disables them.
    pub metrics: Option<metrics::Metrics>,
}

/// Settings of a host, one file for its entry daemon and its control daemon.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "Settings")]
pub struct Raw {
    /// Environment that the host serves, such as `production`.
    pub environment: String,
    /// Name and availability zone of the host.
    pub host: host::Raw,
    /// Settings of the entry daemon.
    pub entry: entry::Entry,
    /// Settings of the control daemon.
    pub control: control::Control,
    /// Connection to the platform's service.
    pub platform: platform::Platform,
    /// Logging of both daemons.
    #[serde(default)]
    pub log: log::Log,
    /// Where metrics are sent; without this section none are sent.
    pub metrics: Option<metrics::Metrics>,
}

impl Settings {
    /// Reads and validates a settings file; the error lists every fault.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let bytes = fs::read(path).map_err(|error| Error::new("settings", error))?;
        let raw: Raw = schema::read(&bytes, schema::settings_schema())?;
        Settings::try_from(raw)
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Error;

    /// Validates every section, even after a fault, so that one run reports all faults.
    fn try_from(raw: Raw) -> Result<Settings, Error> {
        let environment = document::Environment::try_from(raw.environment.as_str())
            .map_err(|error| Error::new("environment", error));
        let host: Result<host::Host, Error> = raw.host.try_into();
        let mut faults = Vec::new();
        let checks = [raw.entry.check(), raw.control.check(), raw.platform.check()];
        let checks = checks.into_iter().chain([
            environment.as_ref().map(|_| ()).map_err(Clone::clone),
            host.as_ref().map(|_| ()).map_err(Clone::clone),
        ]);
        checks.filter_map(Result::err).for_each(|error| faults.extend(error.faults));
        if !faults.is_empty() {
            faults.sort_by(|a, b| a.path.cmp(&b.path));
            return Err(Error { faults });
        }
        Ok(Settings {
            environment: environment?,
            host: host?,
            entry: raw.entry,
            control: raw.control,
            platform: raw.platform,
            log: raw.log,
            metrics: raw.metrics,
        })
    }
}

/// Faults of a settings file, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The faults, sorted by path; never empty.
    pub faults: Vec<Fault>,
}

impl Error {
    fn new(path: &str, reason: impl fmt::Display) -> Error {
        Error { faults: vec![Fault { path: path.to_owned(), reason: reason.to_string() }] }
    }
}

impl From<document::Error> for Error {
    fn from(error: document::Error) -> Error {
        Error { faults: error.faults }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
