//! `check`: validates a document locally, without contacting a host.

use std::path::PathBuf;

use argh::FromArgs;

use super::{Failure, load_document};

/// Validate a document and print every error with the path of the key. Contacts no host.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// file of the document
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
