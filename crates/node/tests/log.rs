//! Logs never hold up a request, also while nobody reads them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use oleanderspan_node::{log, settings::log::Log};
use slog::info;

/// Far more lines than may wait.
const LINES: usize = 50_000;

/// A reader that takes nothing until it is told to go on.
struct Stopped {
    resume: mpsc::Receiver<()>,
    is_open: bool,
    read: Arc<Mutex<Vec<u8>>>,
}

impl io::Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            // The sender was dropped if the test has failed already.
            self.is_open = self.resume.recv().is_ok();
        }
        self.read.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_has_stopped_holds_nobody_up_and_lost_lines_are_counted() {
    let (resume, resumed) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let out = Stopped { resume: resumed, is_open: false, read: Arc::clone(&read) };
    let (logger, guard) = log::start_on(out, &Log::default(), "flooded");
    let (done, finished) = mpsc::channel();
    let writer = std::thread::spawn(move || {
        (0..LINES).for_each(|i| info!(logger, "request ended without an answer"; "request" => i));
        done.send(()).unwrap();
        logger
    });
    let in_time = finished.recv_timeout(Duration::from_secs(20));
    assert!(in_time.is_ok(), "the log holds up who writes it");
    resume.send(()).unwrap();
    let logger = writer.join().unwrap();
    // The number of lost lines is told with the first line that finds room again.
    let text = || String::from_utf8(read.lock().unwrap().clone()).unwrap();
    let began = std::time::Instant::now();
    let mut logged = LINES;
    while !text().contains("dropped") && began.elapsed() < Duration::from_secs(10) {
        info!(logger, "request ended without an answer"; "request" => logged);
        logged += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(logger);
    drop(guard);
    let text = text();
    let written = text.lines().filter(|line| line.contains("request ended")).count();
    assert!(written < logged, "all {written} lines were kept in memory");
    let lost: usize = text
        .lines()
        .filter(|line| line.contains("dropped"))
        .filter_map(|line| line.split("count=").nth(1)?.split(' ').next()?.parse::<usize>().ok())
        .sum();
    let told: Vec<&str> = text.lines().filter(|line| line.contains("dropped")).collect();
    assert_eq!(written + lost, logged, "{told:?}");
}

#[test]
fn each_line_says_when_and_where() {
    let read = Arc::new(Mutex::new(Vec::new()));
    let (_resume, resumed) = mpsc::channel();
    let out = Stopped { resume: resumed, is_open: true, read: Arc::clone(&read) };
    let (logger, guard) = log::start_on(out, &Log::default(), "host-a");
    info!(logger, "started"; "zone" => "a");
    drop(logger);
    drop(guard);
    let text = String::from_utf8(read.lock().unwrap().clone()).unwrap();
    for part in ["INFO | started\t", "process=host-a", "up_ms=", "time=\"20", "zone=a"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}
