//! Entry point of the operator command line; `--help` lists its subcommands.

use std::process::ExitCode;

use oleanderspan_cli::{Arguments, Exit, command};
use oleanderspan_node::arguments;

fn main() -> ExitCode {
    let arguments = match arguments::parse::<Arguments>() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Refused.into();
        }
    };
    runtime.block_on(command::run(arguments)).into()
}
