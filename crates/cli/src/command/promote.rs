//! `promote`: the very document that was tried in another environment.

use std::net::SocketAddr;

use argh::FromArgs;
use oleanderspan_node::control::operator::Promotion;

use super::{Failure, operation_id, submit};

/// Promote the document that was tried in one environment to another.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "promote")]
pub(super) struct Promote {
    /// the operator interface of any host
    #[argh(option)]
    control: SocketAddr,
    /// the environment in which the document was tried
    #[argh(option)]
    from: String,
    /// the version that was tried
    #[argh(option)]
    tried: u64,
    /// the environment that receives it
    #[argh(option)]
    to: String,
    /// the version that you saw in force there; 0 for the first document
    #[argh(option)]
    base: u64,
    /// operation id; repeat a command with the id it printed to learn its outcome
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
