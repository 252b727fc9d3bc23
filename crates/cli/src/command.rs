//! Subcommands of the operator command line.

mod check;
mod diff;
mod explain;
mod history;
mod locate;
mod promote;
mod propose;
mod schema;
mod status;
mod timeline;

use std::{fs, net::SocketAddr, path::Path};

use argh::FromArgs;
use oleanderspan::document::raw;
use oleanderspan_node::{
    control::operator::{Acceptance, Document},
    schema::read_document,
};
use serde::de::DeserializeOwned;

use crate::{
    Exit,
    client::{Client, Error},
};

/// Manage oleanderspan through configuration documents. Exit codes: 0 success, 1 refused and
/// nothing changed, 2 invalid command line or file, 3 outcome unknown.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    Diff(diff::Diff),
    Explain(explain::Explain),
    Propose(propose::Propose),
    Promote(promote::Promote),
    Status(status::Status),
    Timeline(timeline::Timeline),
    Locate(locate::Locate),
    History(history::History),
    Schema(schema::Schema),
}

/// Error of a subcommand.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Failure {
    /// The command line or an input file is invalid.
    Usage(String),
    /// The call to the operator interface failed.
    Interface(Error),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Failure::Interface(error)
    }
}

/// Runs a subcommand. Results are printed to standard output and errors to standard error.
pub async fn run(arguments: Arguments) -> Exit {
    let result = match arguments.command {
        Command::Check(check) => check.run(),
        Command::Diff(diff) => diff.run().await,
        Command::Explain(explain) => explain.run(),
        Command::Propose(propose) => propose.run().await,
        Command::Promote(promote) => promote.run().await,
        Command::Status(status) => status.run().await,
        Command::Timeline(timeline) => timeline.run().await,
        Command::Locate(locate) => locate.run().await,
        Command::History(history) => history.run().await,
        Command::Schema(schema) => schema.run(),
    };
    match result {
        Ok(()) => Exit::Success,
        Err(Failure::Usage(reason)) => {
            eprintln!("{reason}");
            Exit::Usage
        }
        Err(Failure::Interface(error)) => {
            eprintln!("{error}");
            error.exit()
        }
    }
}

/// Reads a document from a file and validates it. The error lists every violation.
fn load_document(file: &Path) -> Result<raw::Document, Failure> {
    let usage_error = |error: String| Failure::Usage(format!("{}:\n{error}", file.display()));
    let bytes = fs::read(file).map_err(|error| usage_error(error.to_string()))?;
    read_document(&bytes).map_err(|error| usage_error(error.to_string()))
}

/// Returns the requested operation id, or a random one, and prints it so that the command can be
/// repeated with the same id.
fn operation_id(requested: &Option<String>) -> String {
    let id = requested.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    println!("operation {id}");
    id
}

/// Submits a proposal or a promotion and prints the version that it created.
async fn submit(
    control: SocketAddr,
    path: &str,
    request: &impl serde::Serialize,
) -> Result<(), Failure> {
    let acceptance: Acceptance = Client::new(control).post(path, request).await?;
    println!("accepted as version {}", acceptance.version);
    Ok(())
}

/// Fetches the document in force in an environment.
async fn active_document(control: SocketAddr, environment: &str) -> Result<Document, Failure> {
    let path = format!("/v1/environments/{environment}/document");
    Ok(Client::new(control).get(&path).await?)
}

/// Tries the operator interfaces in order and returns the first response, or the last error.
async fn get_from_any<T: DeserializeOwned>(
    controls: &[SocketAddr],
    path: &str,
) -> Result<T, Failure> {
    let mut last_failure = Failure::Usage("no operator interface given: pass --control".to_owned());
    for control in controls {
        match Client::new(*control).get(path).await {
            Ok(response) => return Ok(response),
            Err(error) => last_failure = error.into(),
        }
    }
    Err(last_failure)
}
