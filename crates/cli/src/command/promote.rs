//! `promote`: copies a document version that was tried in one environment to another.

use std::net::SocketAddr;

use argh::FromArgs;
use oleanderspan_node::control::operator::Promotion;

use super::{Failure, operation_id, submit};

/// Promote a document version that was tried in one environment to another.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "promote")]
pub(super) struct Promote {
    /// address of the operator interface of any host
    #[argh(option)]
    control: SocketAddr,
    /// the environment in which the document was tried
    #[argh(option)]
    from: String,
    /// the document version that was tried there
    #[argh(option)]
    tried: u64,
    /// the environment to promote the document to
    #[argh(option)]
    to: String,
    /// the version in force in the target environment that the promotion is based on; 0 for the
    /// first document
    #[argh(option)]
    base: u64,
    /// operation id; to learn the outcome of a command, repeat it with the id that it printed
    #[argh(option)]
    operation: Option<String>,
}

impl Promote {
    pub(super) async fn run(&self) -> Result<(), Failure> {
        let path = format!("/v1/environments/{}/promotions", self.to);
        let promotion = Promotion {
            from: self.from.clone(),
            tried: self.tried,
            base: self.base,
            operation: operation_id(&self.operation),
        };
        submit(self.control, &path, &promotion).await
    }
}
