//! Settings of a host, one JSON file for both of its daemons, checked whole before anything
//! starts; see `docs/operators/settings.md`.

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

/// Checked settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The environment that the host serves.
    pub environment: document::Environment,
    /// Who and where the host is.
    pub host: host::Host,
    /// The entry daemon.
    pub entry: entry::Entry,
    /// The control daemon.
    pub control: control::Control,
    /// The platform's service.
    pub platform: platform::Platform,
    /// Logs.
    pub log: log::Log,
    /// Metrics.
    pub metrics: Option<metrics::Metrics>,
}

/// Settings as they are written.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "Settings")]
pub struct Raw {
    /// The environment that the host serves.
    pub environment: String,
    /// Who and where the host is.
    pub host: host::Raw,
    /// The entry daemon.
    pub entry: entry::Entry,
    /// The control daemon.
    pub control: control::Control,
    /// The platform's service.
    pub platform: platform::Platform,
    /// Logs.
    #[serde(default)]
    pub log: log::Log,
    /// Metrics; none are sent without this section.
    pub metrics: Option<metrics::Metrics>,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, Error> {
        let bytes = fs::read(path).map_err(|error| Error::new("settings", error))?;
        let raw: Raw = schema::read(&bytes, schema::settings_schema())?;
        Settings::try_from(raw)
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Error;

    /// Checks every section, also behind a faulty one, so that one run names all faults.
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

/// The faults of settings, each with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The faults, by their place.
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
