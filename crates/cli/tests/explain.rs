//! The `explain` subcommand and the log parser behind it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{env, process::Command};

use oleanderspan_cli::record::{Error, Record};

fn explain(arguments: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderspan"));
    let output = command.arg("explain").args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

const LOGS: [&str; 2] = ["tests/files/logs/host-a.log", "tests/files/logs/host-b.log"];

#[test]
fn timeline_spans_hosts_and_includes_their_state() {
    let (code, stdout, stderr) = explain(&["r-1", LOGS[0], LOGS[1]]);
    assert_eq!((code, stderr.as_str()), (0, ""));
    let expected = "\
        \x20 2026-12-04T09:00:00.000Z host-a started callers=127.0.0.1:1\n\
        \x20 2026-12-04T09:00:00.500Z host-a routes in force version=12 before=None routes=4\n\
        \x20 2026-12-04T09:01:00.000Z host-a server list changed server=i-7 change=leaving\n\
        * 2026-12-04T09:01:02.100Z host-a attempt failed request=r-1 server=i-7 refusal=broken\n\
        * 2026-12-04T09:01:02.200Z host-b slot request to the arbiter failed; \
        recording a failure request=r-1 reason=it said \"no\"\n\
        * 2026-12-04T09:01:02.300Z host-a request failed; answering the client with a refusal \
        request=r-1 status=502 held_ms=400\n";
    assert_eq!(stdout, expected);
}

#[test]
fn unreadable_lines_are_reported() {
    let broken = "tests/files/logs/broken.log";
    let (code, stdout, stderr) = explain(&["r-1", LOGS[1], broken]);
    assert_eq!(code, 2);
    assert!(stdout.contains("slot request to the arbiter failed; recording a failure"), "{stdout}");
    assert!(stderr.contains(&format!("{broken}:2: expected a level")), "{stderr}");
    assert!(stderr.contains(&format!("{broken}:3: unterminated quoted value")), "{stderr}");
    let (code, _, stderr) = explain(&["r-1", "tests/files/logs/absent.log"]);
    assert_eq!(code, 2);
    assert!(stderr.contains("absent.log: No such file"), "{stderr}");
    let (code, stdout, stderr) = explain(&["r-9", LOGS[0]]);
    assert_eq!((code, stdout.as_str()), (2, ""));
    assert_eq!(stderr, "no record has request=r-9\n");
}

#[test]
fn written_records_can_be_parsed() {
    let record =
        Record::try_from("WARN | store unavailable\ttopic=servers reason=\"a \\\"b\\\" c\" n=");
    let record = record.unwrap();
    assert_eq!((record.level, record.message), ("WARN", "store unavailable"));
    assert_eq!(record.get("topic"), Some("servers"));
    assert_eq!(record.get("reason"), Some("a \"b\" c"));
    assert_eq!(record.get("n"), Some(""));
    assert_eq!(Record::try_from("INFO | x\tkey"), Err(Error::MissingValue));
}
