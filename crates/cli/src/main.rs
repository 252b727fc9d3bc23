//! The operator's command; `--help` lists its subcommands.

use std::process::ExitCode;

use oleanderspan_cli::{Arguments, Exit, command};

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Refused.into();
        }
    };
    runtime.block_on(command::run(arguments)).into()
}
