//! The `control` section: addresses of the control daemon and its peers.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use super::{Error, address};

/// Settings of the control daemon.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Address on which the operator interface listens.
    #[schemars(with = "address::Text")]
    pub operator_address: SocketAddr,
    /// Address on which other control daemons and the entry daemon of this host connect; must
    /// differ from `operator_address`.
    #[schemars(with = "address::Text")]
    pub peer_address: SocketAddr,
    /// Peer addresses of a few other hosts, from which the control daemon learns the remaining
    /// hosts.
    #[schemars(with = "Vec<address::Text>")]
    pub peers: Vec<SocketAddr>,
}

impl Control {
    pub(super) fn check(&self) -> Result<(), Error> {
        if self.operator_address == self.peer_address {
            return Err(Error::new("control.peer_address", "equals control.operator_address"));
        }
        Ok(())
    }
}
