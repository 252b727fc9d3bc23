//! The `entry` section: addresses and thread count of the entry daemon.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use super::{Error, address};

/// Settings of the entry daemon.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Address on which callers connect.
    #[schemars(with = "address::Text")]
    pub caller_address: SocketAddr,
    /// Address on which other entry daemons relay requests; must differ from `caller_address`.
    #[schemars(with = "address::Text")]
    pub relay_address: SocketAddr,
    /// Number of worker threads, from 1 to 64.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

const fn default_threads() -> usize {
    2
}

impl Entry {
    pub(super) fn check(&self) -> Result<(), Error> {
        if self.caller_address == self.relay_address {
            return Err(Error::new("entry.relay_address", "equals entry.caller_address"));
        }
        if !(1..=64).contains(&self.threads) {
            let reason = format!("{} is not between 1 and 64", self.threads);
            return Err(Error::new("entry.threads", reason));
        }
        Ok(())
    }
}
