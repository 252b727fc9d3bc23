//! The `log` section.

use schemars::JsonSchema;
use serde::Deserialize;

/// The `log` section.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level that is written.
    pub level: Level,
}

/// Levels, from the most to the least severe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Something is lost or refused that should not be.
    Error,
    /// Something is degraded.
    Warning,
    /// Something changed.
    #[default]
    Info,
    /// Every request and exchange.
    Debug,
}
