//! One request from end to end over separate processes, for both deployments.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use bytes::Bytes;
use common::Bench;
use http::{Request, StatusCode};
use oleanderspan_lab::deployment::{BUREAU, CUPRUL, Deployment};

async fn serves_from_end_to_end(deployment: &'static Deployment) {
    let bench = Bench::start(&format!("path-{}", deployment.name), deployment);
    bench.install().await;

    let locate = "/.well-known/oleanderspan/locate?address=127.1.0.9";
    let located = bench.get(bench.ports.caller(8), "-", locate).await.unwrap();
    let answer: serde_json::Value = serde_json::from_slice(&located.body).unwrap();
    let first: std::net::SocketAddr = answer["hosts"][0].as_str().unwrap().parse().unwrap();
    assert!([bench.ports.caller(1), bench.ports.caller(2)].contains(&first), "{first} is not near");
    assert_eq!(located.header("cache-control"), "private, max-age=5");

    for service in deployment.services {
        let authority = bench.authority(service.name);
        let answer = bench.get(first, &authority, "/lots/7").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.body, "GET /lots/7\n");
        assert_eq!(answer.header("oleanderspan-outcome"), "done");

        let booking = Request::post("/bookings").header("host", authority);
        let body = Bytes::from_static(b"{\"slot\":4}");
        let answer = bench.send(first, booking, body.clone()).await.unwrap();
        assert_eq!((answer.status, answer.body), (StatusCode::OK, body));
    }

    let refused = bench.get(first, "nobody.example", "/").await.unwrap();
    assert_eq!(refused.status, StatusCode::NOT_FOUND);
    assert_eq!(refused.header("oleanderspan-outcome"), "not-run");
    assert_eq!(refused.header("oleanderspan-refusal"), "no-service");
}

#[tokio::test]
async fn cuprul_is_served_from_end_to_end() {
    serves_from_end_to_end(&CUPRUL).await;
}

#[tokio::test]
async fn bureau_is_served_from_end_to_end() {
    serves_from_end_to_end(&BUREAU).await;
}
