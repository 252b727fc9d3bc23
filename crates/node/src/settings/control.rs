//! The `control` section: addresses of the control daemon and of its peers.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;

use super::{Error, address};

/// The `control` section.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Where the operator interface listens.
    #[schemars(with = "address::Text")]
    pub operator_address: SocketAddr,
    /// Where other control daemons and the own entry daemon connect.
    #[schemars(with = "address::Text")]
    pub peer_address: SocketAddr,
    /// Peer addresses of a few other hosts, from which the rest are learned.
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
