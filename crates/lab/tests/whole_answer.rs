//! A caller gets the whole answer to its own request, or learns that it did not.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod local;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use local::{Answer, Local};
use oleanderspan::document::raw::Limits;
use oleanderspan_lab::fleet;
use oleanderspan_node::http::{client::Error, server::serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

const BODY: &str = "0123456789abcdefghij";

/// How the raw server frames its answer.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    Close,
}

fn answer(framing: Framing) -> Vec<u8> {
    let length = BODY.len();
    let text = match framing {
        Framing::Length => format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{BODY}"),
        Framing::Chunked => {
            let (a, b) = BODY.split_at(7);
            format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                 {:x}\r\n{a}\r\n{:x}\r\n{b}\r\n0\r\n\r\n",
                a.len(),
                b.len()
            )
        }
        Framing::Close => format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{BODY}"),
    };
    text.into_bytes()
}

/// Reads the head of a request; `None` when the connection has ended.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// A server that sends the first `bytes` of its answer and then closes the connection.
async fn cutting_server(answer: Vec<u8>, bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let part = answer[..bytes].to_vec();
            tokio::spawn(async move {
                let Some(head) = read_head(&mut stream).await else { return };
                // Unread bytes would turn the close into a reset, which is easier to notice.
                if head.starts_with("POST") && stream.read_u8().await.is_err() {
                    return;
                }
                let _ = stream.write_all(&part).await;
            });
        }
    });
    address
}

/// A whole answer has the whole body; anything else must be seen as broken or refused.
fn assert_whole_or_broken(result: &Result<Answer, Error>, context: &str) -> bool {
    match result {
        Ok(answer) if answer.status == StatusCode::OK => {
            assert_eq!(answer.body, BODY, "{context}: a cut answer ended cleanly");
            true
        }
        Ok(answer) => {
            assert_eq!(answer.header("oleanderspan-outcome"), "unknown", "{context}");
            false
        }
        Err(_) => false,
    }
}

#[tokio::test]
async fn an_answer_cut_at_any_byte_never_ends_cleanly() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        let answer = answer(framing);
        for bytes in 0..=answer.len() {
            let server = cutting_server(answer.clone(), bytes).await;
            let local = Local::start(&[server], Limits::default()).await;
            let result = local.call(Request::post("/book"), Bytes::from_static(b"x")).await;
            let whole = assert_whole_or_broken(&result, &format!("{framing:?} at byte {bytes}"));
            let complete = bytes == answer.len() && !matches!(framing, Framing::Close);
            assert_eq!(whole, complete, "{framing:?} at byte {bytes}: {result:?}");
        }
    }
}

#[tokio::test]
async fn a_read_whose_answer_is_cut_in_its_head_is_retried_elsewhere() {
    let whole = answer(Framing::Length);
    let head = whole.len() - BODY.len();
    for bytes in 0..head {
        let cut = cutting_server(whole.clone(), bytes).await;
        let good = cutting_server(whole.clone(), whole.len()).await;
        let local = Local::start(&[cut, good], Limits::default()).await;
        let result = local.get("/lots/7").await.unwrap();
        assert_eq!((result.status, result.body), (StatusCode::OK, Bytes::from(BODY)));
    }
}

/// A server that answers the path it was asked for, after as many milliseconds as it names.
async fn echoing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = fleet::Server::new(64, Duration::from_millis(1));
    tokio::spawn(serve(listener, server, CancellationToken::new()));
    address
}

#[tokio::test]
async fn answers_out_of_order_reach_their_own_callers() {
    let servers = [echoing_server().await, echoing_server().await];
    let local = Local::start(&servers, Limits::default()).await;
    let local = &local;
    let one = async |i: u64| {
        // Later requests are answered earlier, and every fifth caller goes away.
        let run_ms = (i * 7_919) % 40;
        let request = Request::get(format!("/lots/{i}")).header("lab-run-ms", run_ms);
        let call = local.call(request, Bytes::new());
        if i.is_multiple_of(5) {
            let _ = tokio::time::timeout(Duration::from_millis(run_ms / 2), call).await;
            return;
        }
        assert_eq!(call.await.unwrap().body, format!("GET /lots/{i}\n"));
    };
    for round in 0..10 {
        let calls: Vec<_> = (0..60).map(|i| Box::pin(one(round * 60 + i))).collect();
        let mut calls = calls;
        // Polls all of them side by side on one task.
        std::future::poll_fn(|context| {
            calls.retain_mut(|call| call.as_mut().poll(context).is_pending());
            if calls.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
        })
        .await;
    }
}

#[tokio::test]
async fn a_late_answer_never_reaches_the_next_caller() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(head) = read_head(&mut stream).await {
                    let path = head.split(' ').nth(1).unwrap().to_owned();
                    if path == "/late" {
                        tokio::time::sleep(Duration::from_millis(300)).await;
                    }
                    let length = path.len();
                    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let limits = Limits { request_timeout_ms: 150, ..Limits::default() };
    let local = Local::start(&[server], limits).await;
    for i in 0..20 {
        let late = local.call(Request::post("/late"), Bytes::new()).await.unwrap();
        assert_eq!(late.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(late.header("oleanderspan-outcome"), "unknown");
        let path = format!("/prompt/{i}");
        for _ in 0..3 {
            assert_eq!(local.get(&path).await.unwrap().body, path);
        }
    }
}
