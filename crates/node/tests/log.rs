//! Logging does not block its callers while the output is blocked.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    io,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use oleanderspan_node::{log, settings::log::Log};
use slog::info;

/// More lines than the queue and the buffers can hold.
const LINES: usize = 50_000;

/// Output that blocks on the first write until the test resumes it.
struct PausedWriter {
    resume: mpsc::Receiver<()>,
    is_resumed: bool,
    read: Arc<Mutex<Vec<u8>>>,
}

impl io::Write for PausedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_resumed {
            // Fails if the test has already ended and dropped the sender.
            self.is_resumed = self.resume.recv().is_ok();
        }
        self.read.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_does_not_block_loggers_and_dropped_lines_are_counted() {
    let (resume, resumed) = mpsc::channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let out = PausedWriter { resume: resumed, is_resumed: false, read: Arc::clone(&read) };
    let (logger, guard) = log::start_with_writer(out, &Log::default(), "flooded");
    let (done, finished) = mpsc::channel();
    let writer = std::thread::spawn(move || {
        (0..LINES).for_each(|i| info!(logger, "request ended without a response"; "request" => i));
        done.send(()).unwrap();
        logger
    });
    let result = finished.recv_timeout(Duration::from_secs(20));
    assert!(result.is_ok(), "logging blocked the calling thread for 20 s");
    resume.send(()).unwrap();
    let logger = writer.join().unwrap();
    // The number of dropped lines is logged with the first line that fits into the queue again. That
    // report may take the last place, so that its own line is dropped too: once a line has been written
    // after it, all are accounted for.
    let text = || String::from_utf8(read.lock().unwrap().clone()).unwrap();
    let began = std::time::Instant::now();
    let mut logged = LINES;
    let is_accounted = |text: &str, logged: usize| {
        let last = format!("request={}\n", logged - 1);
        text.find("dropped").is_some_and(|report| text[report..].contains(&last))
    };
    while !is_accounted(&text(), logged) && began.elapsed() < Duration::from_secs(10) {
        info!(logger, "request ended without a response"; "request" => logged);
        logged += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(logger);
    drop(guard);
    let text = text();
    let written = text.lines().filter(|line| line.contains("request ended")).count();
    assert!(written < logged, "no line was dropped: all {written} lines were queued in memory");
    let dropped: usize = text
        .lines()
        .filter(|line| line.contains("dropped"))
        .filter_map(|line| line.split("count=").nth(1)?.split(' ').next()?.parse::<usize>().ok())
        .sum();
    let reports: Vec<&str> = text.lines().filter(|line| line.contains("dropped")).collect();
    assert_eq!(written + dropped, logged, "{reports:?}");
}

#[test]
fn each_line_has_time_and_process() {
    let read = Arc::new(Mutex::new(Vec::new()));
    let (_resume, resumed) = mpsc::channel();
    let out = PausedWriter { resume: resumed, is_resumed: true, read: Arc::clone(&read) };
    let (logger, guard) = log::start_with_writer(out, &Log::default(), "host-a");
    info!(logger, "started"; "zone" => "a");
    drop(logger);
    drop(guard);
    let text = String::from_utf8(read.lock().unwrap().clone()).unwrap();
    for part in ["INFO | started\t", "process=host-a", "up_ms=", "time=\"20", "zone=a"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}
