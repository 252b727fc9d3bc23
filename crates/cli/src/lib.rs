//! The operator's command: documents in, status and time line out.
//!
//! Exit codes: 0 done, 1 refused, 2 usage, 3 outcome unknown.

pub mod client;
pub mod command;
pub mod record;

use std::process::ExitCode;

pub use command::Arguments;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what was asked.
    Success,
    /// What was asked was refused, and nothing changed.
    Refused,
    /// The command line or a file is faulty.
    Usage,
    /// What was asked may or may not have taken effect.
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
