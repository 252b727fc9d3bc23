//! Callers who send nonsense, stall or go away: a clear error, and the next request unharmed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod local;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use local::{AUTHORITY, Local};
use oleanderspan::document::raw::Limits;
use oleanderspan_lab::fleet;
use oleanderspan_node::http::server::serve;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

/// Longest time for the host to answer a raw connection.
const PATIENCE: Duration = Duration::from_secs(20);

async fn server(slots: u32) -> (SocketAddr, fleet::Server) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = fleet::Server::new(slots, Duration::from_millis(5));
    tokio::spawn(serve(listener, server.clone(), CancellationToken::new()));
    (address, server)
}

/// Sends raw bytes and returns what comes back until the host closes or falls silent.
async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

async fn assert_unharmed(local: &Local, context: &str) {
    let next = local.get("/next").await.unwrap();
    assert_eq!((next.status, &*next.body), (StatusCode::OK, &b"GET /next\n"[..]), "{context}");
}

#[tokio::test]
async fn nonsense_is_refused_and_the_next_request_is_unharmed() {
    let (address, server) = server(4).await;
    let local = Local::start(&[address], Limits::default()).await;
    let long = "x".repeat(100 << 10);
    let cases: Vec<(&str, String, &str)> = vec![
        ("no HTTP", "\u{16}\u{3}\u{1}nonsense\r\n\r\n".to_owned(), "HTTP/1.1 400"),
        ("no authority", "GET / HTTP/1.1\r\n\r\n".to_owned(), "HTTP/1.1 400"),
        ("an unknown authority", "GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), "HTTP/1.1 404"),
        ("a long head", format!("GET / HTTP/1.1\r\nhost: x\r\na: {long}\r\n\r\n"), "HTTP/1.1 431"),
        ("a long path", format!("GET /{long} HTTP/1.1\r\nhost: x\r\n\r\n"), "HTTP/1.1 4"),
        (
            "two lengths",
            format!(
                "POST / HTTP/1.1\r\nhost: {AUTHORITY}\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc"
            ),
            "HTTP/1.1 400",
        ),
        (
            "a length that is none",
            format!("POST / HTTP/1.1\r\nhost: {AUTHORITY}\r\ncontent-length: -1\r\n\r\n"),
            "HTTP/1.1 400",
        ),
        (
            "a tunnel",
            format!("CONNECT {AUTHORITY}:80 HTTP/1.1\r\nhost: {AUTHORITY}\r\n\r\n"),
            "HTTP/1.1 400",
        ),
        (
            "a locate of no address",
            "GET /.well-known/oleanderspan/locate?address=x HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
            "HTTP/1.1 400",
        ),
    ];
    for (name, bytes, expected) in cases {
        let answer = raw(local.address, bytes.as_bytes()).await;
        assert!(answer.starts_with(expected), "{name}: {answer:?}");
        assert_unharmed(&local, name).await;
    }
    let nexts = server.ledger().finished;
    assert_eq!(nexts, 9, "nonsense reached the backend server");
}

#[tokio::test]
async fn a_truncated_body_is_not_run() {
    let (address, server) = server(4).await;
    let local = Local::start(&[address], Limits::default()).await;
    let head = format!("POST /book HTTP/1.1\r\nhost: {AUTHORITY}\r\ncontent-length: 100\r\n\r\n");
    raw(local.address, format!("{head}only a part").as_bytes()).await;
    assert_unharmed(&local, "a truncated body").await;
    assert_eq!(server.ledger().begun, 1, "the truncated request was run");
}

#[tokio::test]
async fn a_stalled_body_is_refused_as_not_run_within_the_time_limit() {
    let (address, server) = server(4).await;
    let limits = Limits { request_timeout_ms: 300, ..Limits::default() };
    let local = Local::start(&[address], limits).await;
    let mut stream = TcpStream::connect(local.address).await.unwrap();
    let head = format!("POST /book HTTP/1.1\r\nhost: {AUTHORITY}\r\ncontent-length: 100\r\n\r\nx");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let read = tokio::time::timeout(PATIENCE, stream.read(&mut answer)).await.unwrap().unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("oleanderspan-outcome: not-run"), "{answer}");
    assert!(answer.contains("oleanderspan-refusal: expired"), "{answer}");
    assert_unharmed(&local, "a stalled body").await;
    assert_eq!(server.ledger().begun, 1, "the stalled request was run");
}

#[tokio::test]
async fn callers_who_go_away_give_their_slots_back() {
    let (address, server) = server(2).await;
    let local = Local::start(&[address], Limits::default()).await;
    for _ in 0..20 {
        let request = Request::get("/gone").header("lab-run-ms", 60_000);
        let call = local.call(request, Bytes::new());
        let cut = tokio::time::timeout(Duration::from_millis(30), call).await;
        assert!(cut.is_err(), "a request of a minute was answered at once");
    }
    // Were a slot lost, a request of the pool of two would wait for a minute.
    assert_unharmed(&local, "callers who went away").await;
    assert!(
        server.peak_in_flight() <= 2,
        "the server was asked to run {} at once",
        server.peak_in_flight()
    );
}

#[tokio::test]
async fn large_bodies_pass_in_both_directions() {
    let (address, _) = server(4).await;
    let local = Local::start(&[address], Limits::default()).await;
    let body = Bytes::from(vec![7_u8; 24 << 20]);
    let answer = local.call(Request::post("/large"), body.clone()).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.body == body, "the answer is not what was sent");
}

#[tokio::test]
async fn half_open_connections_do_not_stop_others() {
    let (address, _) = server(4).await;
    let local = Local::start(&[address], Limits::default()).await;
    let mut held = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(local.address).await.unwrap();
        stream.write_all(b"GET / HTT").await.unwrap();
        held.push(stream);
    }
    assert_unharmed(&local, "half-open connections").await;
}
