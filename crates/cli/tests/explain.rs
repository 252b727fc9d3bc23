//! The time line of a request, from logs of several hosts.

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
fn a_request_is_followed_over_hosts_with_what_they_believed() {
    let (code, shown, faults) = explain(&["r-1", LOGS[0], LOGS[1]]);
    assert_eq!((code, faults.as_str()), (0, ""));
    let expected = "\
        \x20 2026-12-04T09:00:00.000Z host-a started callers=127.0.0.1:1\n\
        \x20 2026-12-04T09:00:00.500Z host-a routes in force version=12 before=None routes=4\n\
        \x20 2026-12-04T09:01:00.000Z host-a server list changed server=i-7 change=leaving\n\
        * 2026-12-04T09:01:02.100Z host-a attempt failed request=r-1 server=i-7 refusal=broken\n\
        * 2026-12-04T09:01:02.200Z host-b slot request to the arbiter failed; \
        recording a failure request=r-1 reason=it said \"no\"\n\
        * 2026-12-04T09:01:02.300Z host-a request failed; answering the client with a refusal \
        request=r-1 status=502 held_ms=400\n";
    assert_eq!(shown, expected);
}

#[test]
fn lines_that_cannot_be_read_are_named() {
    let broken = "tests/files/logs/broken.log";
    let (code, shown, faults) = explain(&["r-1", LOGS[1], broken]);
    assert_eq!(code, 2);
    assert!(shown.contains("slot request to the arbiter failed; recording a failure"), "{shown}");
    assert!(faults.contains(&format!("{broken}:2: wanted a level")), "{faults}");
    assert!(faults.contains(&format!("{broken}:3: a quoted value does not end")), "{faults}");
    let (code, _, faults) = explain(&["r-1", "tests/files/logs/absent.log"]);
    assert_eq!(code, 2);
    assert!(faults.contains("absent.log: No such file"), "{faults}");
    let (code, shown, faults) = explain(&["r-9", LOGS[0]]);
    assert_eq!((code, shown.as_str()), (2, ""));
    assert_eq!(faults, "no record has request=r-9\n");
}

#[test]
fn records_are_read_as_they_are_written() {
    let record = Record::try_from("WARN | store away\ttopic=servers reason=\"a \\\"b\\\" c\" n=");
    let record = record.unwrap();
    assert_eq!((record.level, record.message), ("WARN", "store away"));
    assert_eq!(record.get("topic"), Some("servers"));
    assert_eq!(record.get("reason"), Some("a \"b\" c"));
    assert_eq!(record.get("n"), Some(""));
    assert_eq!(Record::try_from("INFO | x\tkey"), Err(Error::NoValue));
}
