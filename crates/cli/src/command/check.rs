//! `check`: every fault of a document, without asking anyone.

use std::path::PathBuf;

use argh::FromArgs;

use super::{Failure, load_document};

/// Check a document and print every fault with its place.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

impl Check {
    pub(super) fn run(&self) -> Result<(), Failure> {
        let document = load_document(&self.file)?;
        println!("valid: a document for {}", document.environment);
        Ok(())
    }
}
