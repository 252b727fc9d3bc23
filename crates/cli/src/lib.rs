//! Operator command line: validates and submits documents, and reads status and timelines.
//!
//! Exit codes: 0 success, 1 refused, 2 usage error, 3 outcome unknown.

pub mod client;
pub mod command;
pub mod record;

use std::process::ExitCode;

pub use command::Arguments;

/// Result of a command, converted to the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Exit code 0: the command succeeded.
    Success,
    /// Exit code 1: the request was refused or could not be sent, and nothing changed.
    Refused,
    /// Exit code 2: the command line or an input file is invalid.
    Usage,
    /// Exit code 3: the request may or may not have taken effect.
    Unknown,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unknown => 3,
        })
    }
}
