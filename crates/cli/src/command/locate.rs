//! `locate`: queries the entry hosts that a caller address is assigned.

use std::net::{IpAddr, SocketAddr};

use argh::FromArgs;
use serde::Deserialize;

use super::Failure;
use crate::client::Client;

/// Show which entry hosts a caller at an IP address is directed to.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "locate")]
pub(super) struct Locate {
    /// address on which any entry host listens for callers
    #[argh(option)]
    entry: SocketAddr,
    /// IP address of the caller
    #[argh(positional)]
    address: IpAddr,
}

/// Response of the locate endpoint. Callers may use it for `max_age_s` seconds.
#[derive(Debug, Deserialize)]
struct LocateResponse {
    hosts: Vec<SocketAddr>,
    max_age_s: u64,
}

impl Locate {
    pub(super) async fn run(&self) -> Result<(), Failure> {
        let path = format!("/.well-known/oleanderspan/locate?address={}", self.address);
        let response: LocateResponse = Client::new(self.entry).get(&path).await?;
        for host in response.hosts {
            println!("{host}");
        }
        println!("max age {} s", response.max_age_s);
        Ok(())
    }
}
