//! The time line outlives the hosts that recorded it, and status names hosts that are silent.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{Bench, Daemon, Ran};
use oleanderspan_lab::{deployment::BUREAU, platform::Faults};

/// Longer than the time between two batches.
const OUTAGE: Duration = Duration::from_secs(7);

fn timeline(bench: &Bench, more: &[&str]) -> Ran {
    let control = bench.ports.operator(1).to_string();
    bench.operate(&[&["timeline", "--control", &control], more].concat()).into()
}

#[tokio::test]
async fn events_of_a_replaced_host_are_read_from_the_store() {
    let mut bench = Bench::start("replaced-timeline", &BUREAU);
    bench.install().await;
    // The first batch of every host meets a store that is away, and waits.
    bench.set_faults(&Faults { unavailable: true, ..Faults::default() }).await;
    tokio::time::sleep(OUTAGE).await;
    bench.set_faults(&Faults::default()).await;
    let name = bench.deployment.hosts()[7].name.clone();
    let own = ["--process", &name, "--kind", "started"];
    let stored = [&own[..], &["--stored-hours", "1"]].concat();
    let folder = "/v1/names/timeline/production/";
    let is_stored = async || {
        let names = bench.get(bench.ports.platform(), "-", folder).await.unwrap().body;
        String::from_utf8_lossy(&names).contains(&name)
    };
    bench.until(is_stored).await;

    bench.kill(8, Daemon::Control);
    bench.kill(8, Daemon::Entry);
    let recent = timeline(&bench, &own);
    assert_eq!((recent.code, recent.stdout.as_str()), (0, ""));
    let silent = format!("no answer from {}", bench.ports.peer(8));
    assert!(recent.stderr.contains(&silent), "{recent:?}");

    let kept = timeline(&bench, &stored);
    let processes: Vec<&str> =
        kept.stdout.lines().filter_map(|line| line.split(' ').nth(1)).collect();
    assert_eq!(processes.len(), 2, "{kept:?}");
    for daemon in ["control", "entry"] {
        assert!(processes.contains(&format!("{name}/{daemon}").as_str()), "{kept:?}");
    }
    let status: Ran =
        bench.operate(&["status", "--control", &bench.ports.operator(1).to_string()]).into();
    assert!(status.stdout.contains("silent (no answer)"), "{status:?}");
    assert_eq!(status.stdout.lines().count(), 8, "{status:?}");
}

#[tokio::test]
async fn a_planned_stop_is_in_the_time_line() {
    let mut bench = Bench::start("stopping-timeline", &BUREAU);
    bench.install().await;
    let name = bench.deployment.hosts()[7].name.clone();
    for daemon in [Daemon::Entry, Daemon::Control] {
        bench.signal(8, daemon, "TERM");
        assert_eq!(bench.wait(8, daemon), Some(0));
    }
    let stopped = ["--process", &name, "--kind", "stopping", "--stored-hours", "1"];
    let kept = timeline(&bench, &stopped);
    let processes: Vec<&str> =
        kept.stdout.lines().filter_map(|line| line.split(' ').nth(1)).collect();
    assert_eq!(processes, [format!("{name}/entry"), format!("{name}/control")]);
}

#[tokio::test]
async fn times_are_readable_and_filter() {
    let bench = Bench::start("readable-timeline", &BUREAU);
    bench.install().await;
    let all = timeline(&bench, &[]);
    let first = all.stdout.lines().next().unwrap();
    let (time, _) = first.split_once(' ').unwrap();
    assert_eq!(time.len(), "2026-01-31T12:00:00.000Z".len(), "{time}");
    assert_eq!(timeline(&bench, &["--since", time]).stdout.lines().next(), Some(first));
    assert_eq!(timeline(&bench, &["--since", "9999"]).stdout, "");
}
