//! The subcommands.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use argh::FromArgs;
use oleanderspan::document::{Draft, raw};
use oleanderspan_node::{
    codec,
    control::operator::{Acceptance, Promotion, Proposal, Status, TimelineEvent},
};

use crate::{
    Exit,
    interface::{Error, Interface},
};

/// Operate oleanderspan through documents.
#[derive(FromArgs, Debug)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Propose(Propose),
    Promote(Promote),
    Status(Show),
    Timeline(Timeline),
}

/// Check a document and print every fault with its place.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

/// Propose a document for its environment.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "propose")]
struct Propose {
    /// the operator interface of any host
    #[argh(option)]
    control: SocketAddr,
    /// the version that you saw in force; 0 for the first document
    #[argh(option)]
    base: u64,
    /// operation id; repeat a command with the id it printed to learn its outcome
    #[argh(option)]
    operation: Option<String>,
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

/// Promote the document that was tried in one environment to another.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "promote")]
struct Promote {
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

/// Show what is in force on hosts.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct Show {
    /// operator interfaces, one for each host to show
    #[argh(option)]
    control: Vec<SocketAddr>,
}

/// Show the merged time line of hosts.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "timeline")]
struct Timeline {
    /// operator interfaces, one for each host to merge
    #[argh(option)]
    control: Vec<SocketAddr>,
}

/// Runs a subcommand; results go to standard output, errors to standard error.
pub async fn run(arguments: Arguments) -> Exit {
    let done = match arguments.command {
        Command::Check(check) => return self::check(&check.file),
        Command::Propose(propose) => return self::propose(propose).await,
        Command::Promote(promote) => self::promote(promote).await,
        Command::Status(show) => self::status(&show.control).await,
        Command::Timeline(timeline) => self::timeline(&timeline.control).await,
    };
    conclude(done)
}

fn conclude(done: Result<(), Error>) -> Exit {
    let Err(error) = done else { return Exit::Done };
    eprintln!("{error}");
    match error {
        Error::Refused(_) => Exit::Refused,
        Error::Unknown(_) | Error::Protocol(_) => Exit::Unknown,
    }
}

fn load(file: &Path) -> Result<raw::Document, String> {
    let bytes = fs::read(file).map_err(|error| error.to_string())?;
    let raw = codec::from_json(&bytes).map_err(|error| error.to_string())?;
    Draft::try_from(&raw).map_err(|error| error.to_string())?;
    Ok(raw)
}

fn check(file: &Path) -> Exit {
    match load(file) {
        Ok(raw) => {
            println!("valid: a document for {}", raw.environment);
            Exit::Done
        }
        Err(faults) => {
            eprintln!("{faults}");
            Exit::Usage
        }
    }
}

async fn propose(arguments: Propose) -> Exit {
    let document = match load(&arguments.file) {
        Ok(document) => document,
        Err(faults) => {
            eprintln!("{faults}");
            return Exit::Usage;
        }
    };
    let path = format!("/v1/environments/{}/proposals", document.environment);
    let operation = operation(arguments.operation);
    let proposal = Proposal { base: arguments.base, operation, document };
    conclude(accept(arguments.control, &path, &proposal).await)
}

async fn promote(arguments: Promote) -> Result<(), Error> {
    let path = format!("/v1/environments/{}/promotions", arguments.to);
    let promotion = Promotion {
        from: arguments.from,
        tried: arguments.tried,
        base: arguments.base,
        operation: operation(arguments.operation),
    };
    accept(arguments.control, &path, &promotion).await
}

fn operation(given: Option<String>) -> String {
    let operation = given.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    println!("operation {operation}");
    operation
}

async fn accept(
    control: SocketAddr,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<(), Error> {
    let acceptance: Acceptance = Interface::new(control).post(path, value).await?;
    println!("accepted as version {}", acceptance.version);
    Ok(())
}

async fn status(controls: &[SocketAddr]) -> Result<(), Error> {
    for control in controls {
        let status: Status = Interface::new(*control).get("/v1/status").await?;
        println!("{} {} version {}", status.host, status.environment, status.version);
        for host in status.hosts {
            println!("  {} {} {}", host.name, host.zone, host.state);
        }
    }
    Ok(())
}

async fn timeline(controls: &[SocketAddr]) -> Result<(), Error> {
    let mut events: Vec<TimelineEvent> = Vec::new();
    for control in controls {
        let part: Vec<TimelineEvent> = Interface::new(*control).get("/v1/timeline").await?;
        events.extend(part);
    }
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    for event in events {
        let TimelineEvent { stamp, process, kind, subject, detail } = event;
        println!("{stamp} {process} {kind} {subject} {detail}");
    }
    Ok(())
}
