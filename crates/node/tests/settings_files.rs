//! `--check-settings` of both daemons on valid and invalid settings files.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::Command,
};

const DAEMONS: [&str; 2] =
    [env!("CARGO_BIN_EXE_oleanderspan-control"), env!("CARGO_BIN_EXE_oleanderspan-entry")];

/// JSON files of a folder, as paths relative to the package, so that expected messages contain no
/// absolute path.
fn files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new("tests/files").join(folder);
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    let mut files: Vec<PathBuf> =
        files.filter(|file| file.extension().is_some_and(|e| e == "json")).collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

fn check_settings(daemon: &str, file: &Path) -> (i32, String, String) {
    let output =
        Command::new(daemon).arg("--check-settings").arg("--settings").arg(file).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

#[test]
fn valid_settings_are_accepted() {
    for file in files("valid") {
        for daemon in DAEMONS {
            let (code, stdout, stderr) = check_settings(daemon, &file);
            assert_eq!((code, stderr.as_str()), (0, ""), "{}", file.display());
            assert_eq!(stdout, format!("{}: valid\n", file.display()));
        }
    }
}

#[test]
fn invalid_settings_are_rejected_with_every_fault() {
    for file in files("invalid") {
        for daemon in DAEMONS {
            let (code, _, stderr) = check_settings(daemon, &file);
            assert_eq!(code, 2, "{}", file.display());
            let expected = file.with_extension("txt");
            if env::var("INSTA_UPDATE").is_ok_and(|update| update == "always") {
                fs::write(&expected, &stderr).unwrap();
            }
            assert_eq!(stderr, fs::read_to_string(&expected).unwrap(), "{}", file.display());
        }
    }
}

#[test]
fn missing_file_is_named_in_the_error() {
    let (code, _, stderr) = check_settings(DAEMONS[0], Path::new("tests/files/none.json"));
    assert_eq!(code, 2);
    assert!(stderr.starts_with("tests/files/none.json:\nsettings: No such file"), "{stderr}");
}
