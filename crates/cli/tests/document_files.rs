//! Runs the operator command line on valid and invalid document files.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::Command,
};

/// Returns the JSON files of a folder under `tests/files`, sorted. The paths are relative to the
/// package, so that the expected messages don't depend on where the repository is checked out.
fn json_files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new("tests/files").join(folder);
    let found = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let mut found: Vec<PathBuf> =
        found.filter(|file| file.extension().is_some_and(|e| e == "json")).collect();
    found.sort();
    assert!(!found.is_empty());
    found
}

fn run(arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_oleanderspan")).args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

#[test]
fn valid_documents_are_accepted() {
    for file in json_files("valid") {
        let (code, stdout, stderr) = run(&["check", file.to_str().unwrap()]);
        assert_eq!((code, stderr.as_str()), (0, ""), "{}", file.display());
        assert_eq!(stdout, "valid: a document for trial\n");
    }
}

#[test]
fn invalid_documents_report_every_error() {
    for file in json_files("invalid") {
        let (code, _, stderr) = run(&["check", file.to_str().unwrap()]);
        assert_eq!(code, 2, "{}", file.display());
        let expected = file.with_extension("txt");
        if env::var("INSTA_UPDATE").is_ok_and(|update| update == "always") {
            fs::write(&expected, &stderr).unwrap();
        }
        assert_eq!(stderr, fs::read_to_string(&expected).unwrap(), "{}", file.display());
    }
}

#[test]
fn invalid_document_is_not_proposed() {
    let file = "tests/files/invalid/shares.json";
    // Nothing listens on this address. A connection attempt would end with code 1 instead of 2.
    let (code, stdout, _) = run(&["propose", "--control", "127.0.0.1:1", "--base", "0", file]);
    assert_eq!((code, stdout.as_str()), (2, ""));
}

#[test]
fn every_subcommand_has_help() {
    let (code, help, _) = run(&["--help"]);
    assert_eq!(code, 0);
    let commands = "check diff explain propose promote status timeline locate history schema";
    for command in commands.split(' ') {
        assert!(help.contains(command), "{command}");
        let (code, help, _) = run(&[command, "--help"]);
        assert_eq!(code, 0);
        assert!(help.contains("Usage:"), "{help}");
    }
}

#[test]
fn exit_codes_distinguish_refusal_from_usage_error() {
    let valid = "tests/files/valid/least.json";
    let unreachable = ["--control", "127.0.0.1:1"];
    let propose = [&["propose"], &unreachable[..], &["--base", "0", valid]].concat();
    assert_eq!(run(&propose).0, 1);
    assert_eq!(run(&[&["status"], &unreachable[..]].concat()).0, 1);
    assert_eq!(run(&["status"]).0, 2);
    assert_eq!(run(&["propose", valid]).0, 2);
    assert_eq!(run(&["diff", valid]).0, 2);
    assert_eq!(run(&["schema", "nothing"]).0, 2);
    assert_eq!(run(&["check", "tests/files/none.json"]).0, 2);
}
