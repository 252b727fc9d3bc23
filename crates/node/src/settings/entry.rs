//! The `entry` section: addresses and sizes of the entry daemon.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use super::{Error, address};

/// The `entry` section.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Where callers connect.
    #[schemars(with = "address::Text")]
    pub caller_address: SocketAddr,
    /// Where other entry daemons relay requests to.
    #[schemars(with = "address::Text")]
    pub relay_address: SocketAddr,
    /// Worker threads.
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
