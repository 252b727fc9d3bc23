//! Settings of a host, one JSON file for both of its daemons, checked whole before anything
//! starts; see `docs/operators/settings.md`.

pub mod control;
pub mod entry;
pub mod host;
pub mod log;
pub mod metrics;
pub mod platform;

use std::{fmt, fs, path::Path};

use oleanderspan::document;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::codec;

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
        let bytes = fs::read(path).map_err(|error| Error {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        let raw: Raw = codec::from_json(&bytes).map_err(|error| match error {
            codec::Error::Decode { path, reason } => Error { path, reason },
            codec::Error::Encode(reason) => Error { path: ".".to_owned(), reason },
        })?;
        Settings::try_from(raw)
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Settings, Error> {
        let environment = document::Environment::try_from(raw.environment.as_str())
            .map_err(|error| Error::new("environment", error))?;
        raw.entry.check()?;
        raw.control.check()?;
        raw.platform.check()?;
        Ok(Settings {
            environment,
            host: raw.host.try_into()?,
            entry: raw.entry,
            control: raw.control,
            platform: raw.platform,
            log: raw.log,
            metrics: raw.metrics,
        })
    }
}

/// A fault of the settings and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The path of the key, or the file if it could not be read.
    pub path: String,
    /// What was found and wanted.
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
