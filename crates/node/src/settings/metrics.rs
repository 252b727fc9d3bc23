//! The `metrics` section.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use super::address;

/// The `metrics` section.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    /// Where statsd datagrams are sent.
    #[schemars(with = "address::Text")]
    pub address: SocketAddr,
    /// What the name of every metric starts with.
    #[serde(default = "default_prefix")]
    pub prefix: String,
}

fn default_prefix() -> String {
    "oleanderspan".to_owned()
}
