//! The `platform` section: connection to the platform's service, which provides the table, the
//! objects and the list of servers.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use super::{Error, address};

/// Connection to the platform's service.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address on which the platform's service listens.
    #[schemars(with = "address::Text")]
    pub address: SocketAddr,
    /// Timeout of a call to the service, in milliseconds; at least 1.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
}

const fn default_timeout_ms() -> u32 {
    1_000
}

impl Platform {
    pub(super) fn check(&self) -> Result<(), Error> {
        if self.timeout_ms == 0 {
            return Err(Error::new("platform.timeout_ms", "0 is less than the minimum of 1"));
        }
        Ok(())
    }
}
