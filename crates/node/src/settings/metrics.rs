//! The `metrics` section: where StatsD metrics are sent.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use super::address;

/// Metrics in StatsD format over UDP.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Address to which StatsD datagrams are sent.
    #[schemars(with = "address::Text")]
    pub address: SocketAddr,
    /// Prefix of all metric names.
    #[serde(default = "default_prefix")]
    pub prefix: String,
}

fn default_prefix() -> String {
    "oleanderspan".to_owned()
}
