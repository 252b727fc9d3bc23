//! `propose`: submits a new document for its environment.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use oleanderspan_node::control::operator::Proposal;

use super::{Failure, load_document, operation_id, submit};

/// Propose a document for the environment that it names.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "propose")]
pub(super) struct Propose {
    /// address of the operator interface of any host
    #[argh(option)]
    control: SocketAddr,
    /// the version in force that the document is based on; 0 for the first document
    #[argh(option)]
    base: u64,
    /// operation id; to learn the outcome of a command, repeat it with the id that it printed
    #[argh(option)]
    operation: Option<String>,
    /// file of the document
    #[argh(positional)]
    file: PathBuf,
}

impl Propose {
    pub(super) async fn run(&self) -> Result<(), Failure> {
        let document = load_document(&self.file)?;
        let path = format!("/v1/environments/{}/proposals", document.environment);
        let operation = operation_id(&self.operation);
        let proposal = Proposal { base: self.base, operation, document };
        submit(self.control, &path, &proposal).await
    }
}
