//! Ports that tests choose for the processes that they start.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    net::TcpListener,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// As many threads as start a deployment at once in the largest test file.
const SPAWNERS: usize = 40;

/// Guards against a server of the lab that finds its port in use, because a process that another
/// thread was spawning had inherited the socket with which the port was tried.
#[test]
fn reserved_ports_stay_free_while_processes_start() {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let spawners: Vec<_> = (0..SPAWNERS)
        .map(|_| {
            let is_stopped = Arc::clone(&is_stopped);
            std::thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    common::spawn_process(&mut Command::new("true")).wait().unwrap();
                }
            })
        })
        .collect();
    let mut in_use = 0;
    for _ in 0..30 {
        let (ports, _reservation) = common::reserve_ports();
        for port in (ports.base..ports.base + common::PORTS_PER_RUN).rev() {
            in_use += u32::from(TcpListener::bind(("127.0.0.1", port)).is_err());
        }
    }
    is_stopped.store(true, Ordering::Relaxed);
    spawners.into_iter().for_each(|spawner| spawner.join().unwrap());
    assert_eq!(in_use, 0, "of 30 times {} ports", common::PORTS_PER_RUN);
}
