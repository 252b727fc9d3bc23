//! `locate`: what a caller at an address is told.

use std::net::{IpAddr, SocketAddr};

use argh::FromArgs;
use serde::Deserialize;

use super::Failure;
use crate::client::Client;

/// Ask an entry host which entry hosts a caller at an address shall use.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "locate")]
pub(super) struct Locate {
    /// the caller address of any entry host
    #[argh(option)]
    entry: SocketAddr,
    /// the address of the caller
    #[argh(positional)]
    address: IpAddr,
}

/// The answer of an entry host.
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
