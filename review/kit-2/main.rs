//! The cases of the second review that are scripts: `cases NAME FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case couldn't run.

mod chunked_get;
mod kit;
mod silent_store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    kit::limit_run();
    let broken = match name.as_str() {
        "chunked-get" => chunked_get::run(folder),
        "silent-store" => silent_store::run(folder),
        _ => {
            eprintln!("no case {name}");
            return ExitCode::from(2);
        }
    };
    println!("{name}: {}", if broken { "the rule was broken" } else { "the rule held" });
    ExitCode::from(u8::from(broken))
}
