//! The `log` section: which records are written.

use schemars::JsonSchema;
use serde::Deserialize;

/// Logging.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Records of this level and of more severe ones are written.
    pub level: Level,
}

/// Log levels, from the most to the least severe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Data was lost, or a request was refused that should have been served.
    Error,
    /// The service is degraded.
    Warning,
    /// The state changed, such as a document or a host.
    #[default]
    Info,
    /// Every request, and every exchange between control daemons.
    Debug,
}
