//! `history`: lists the latest operations on an environment.

use std::net::SocketAddr;

use argh::FromArgs;
use oleanderspan_node::control::operator::Operation;

use super::Failure;
use crate::client::Client;

/// Show the latest operations on an environment, newest first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub(super) struct History {
    /// address of the operator interface of any host
    #[argh(option)]
    control: SocketAddr,
    /// name of the environment
    #[argh(positional)]
    environment: String,
}

impl History {
    pub(super) async fn run(&self) -> Result<(), Failure> {
        let path = format!("/v1/environments/{}/operations", self.environment);
        let operations: Vec<Operation> = Client::new(self.control).get(&path).await?;
        for Operation { id, version, document } in operations {
            println!("version {version} operation {id} document {document}");
        }
        Ok(())
    }
}
