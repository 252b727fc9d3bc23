//! Command-line parsing for all programs: invalid arguments exit with [`EXIT_USAGE`], `--help`
//! with 0.

use std::{env, path::Path, process::ExitCode};

use argh::TopLevelCommand;

/// Exit code for invalid arguments, settings or documents.
pub const EXIT_USAGE: u8 = 2;

/// Parses the command line. On `--help` or invalid arguments it prints the text and returns the
/// exit code.
pub fn parse<T: TopLevelCommand>() -> Result<T, ExitCode> {
    let arguments: Vec<String> =
        env::args_os().map(|argument| argument.to_string_lossy().into_owned()).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (program, options) = arguments.split_first().unwrap_or((&"", &[]));
    let name = Path::new(program).file_name().and_then(|name| name.to_str()).unwrap_or(program);
    T::from_args(&[name], options).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun {name} --help for more information.", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}
