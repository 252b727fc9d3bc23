//! A read whose server freezes is answered by another server; a booking is never sent twice.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod local;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode};
use local::Local;
use oleanderspan::document::raw::Limits;
use oleanderspan_lab::fleet;
use oleanderspan_node::{entry::health, http::server::serve};
use tokio::{io::AsyncReadExt, net::TcpListener};
use tokio_util::sync::CancellationToken;

/// Accepts connections and requests, counts those that end with a whole head, and never answers.
async fn frozen_server() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut bytes = [0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, received)
}

async fn sound_server() -> (SocketAddr, fleet::Server) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = fleet::Server::new(64, Duration::from_millis(5));
    tokio::spawn(serve(listener, server.clone(), CancellationToken::new()));
    (address, server)
}

#[tokio::test]
async fn a_read_on_a_frozen_server_is_answered_by_another() {
    let (frozen, received) = frozen_server().await;
    let (sound, _) = sound_server().await;
    let local = Local::start(&[frozen, sound], Limits::default()).await;
    let mut slow = 0;
    for i in 0..20 {
        let path = format!("/lots/{i}");
        let began = Instant::now();
        let answer = local.get(&path).await.unwrap();
        assert_eq!((answer.status, answer.body), (StatusCode::OK, format!("GET {path}\n").into()));
        assert!(began.elapsed() < Duration::from_secs(5), "{path} took {:?}", began.elapsed());
        slow += u32::from(began.elapsed() > Duration::from_millis(400));
    }
    assert!(received.load(Ordering::SeqCst) > 0, "the frozen server was never asked");
    // After a few failures it is chosen last, so that most reads never wait for it.
    assert!(slow <= 5, "{slow} of 20 reads waited for the frozen server");
}

#[tokio::test]
async fn a_read_that_runs_long_on_a_sound_server_is_sent_once() {
    let (sound, server) = sound_server().await;
    let (other, spare) = sound_server().await;
    let local = Local::start(&[sound, other], Limits::default()).await;
    tokio::spawn(health::run(local.state.clone()));
    let long = local.call(Request::get("/long").header("lab-run-ms", 4_000), Bytes::new());
    let short = async {
        for i in 0..100 {
            local.get(&format!("/short/{i}")).await.unwrap();
        }
    };
    let (long, ()) = tokio::join!(long, short);
    assert_eq!(long.unwrap().status, StatusCode::OK);
    assert_eq!(server.ledger().begun + spare.ledger().begun, 101, "something was sent twice");
}

#[tokio::test]
async fn a_booking_on_a_frozen_server_is_sent_once_and_its_outcome_is_unknown() {
    let (frozen, received) = frozen_server().await;
    let (sound, server) = sound_server().await;
    let limits = Limits { request_timeout_ms: 1_500, ..Limits::default() };
    let local = Local::start(&[frozen, sound], limits).await;
    let mut unknown = 0;
    for i in 0..6 {
        let answer = local.call(Request::post(format!("/book/{i}")), Bytes::new()).await.unwrap();
        if answer.status != StatusCode::OK {
            assert_eq!(answer.header("oleanderspan-outcome"), "unknown");
            unknown += 1;
        }
    }
    assert!(unknown > 0, "the frozen server was never asked");
    let sent = u64::from(received.load(Ordering::SeqCst)) + server.ledger().begun;
    assert_eq!(sent, 6, "a booking was sent twice");
}
