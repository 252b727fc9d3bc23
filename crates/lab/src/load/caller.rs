//! A caller: locates its entry hosts, caches the answer for its maximum age, and sends requests.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use oleanderspan_node::{
    entry::front::LOCATE_PATH,
    http::{
        Body,
        client::{Client, Error, Protocol},
        header as names,
    },
};
use serde::Deserialize;
use tokio::time::Instant;

use crate::{
    deployment::{Deployment, Ports},
    load::PlannedRequest,
};

/// Time-out for a complete answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(90);

/// Maximum attempts of a request. It is retried after a refusal with the outcome `not-run`, and
/// with the same key after a broken connection.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer was received.
    Done,
    /// Refused with the outcome `not-run`; holds the refusal code.
    NotRun(String),
    /// Refused, and it may have run; holds the refusal code.
    Unknown(String),
    /// The connection to the entry host broke, the answer timed out, or no entry host was located.
    Broken,
    /// The answer belongs to another request.
    Foreign,
}

/// A caller that connects from the address block of one zone.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    authority_suffix: String,
    entry_hosts: Vec<SocketAddr>,
    cached: Mutex<CachedHosts>,
    seed: u64,
}

#[derive(Debug)]
struct CachedHosts {
    hosts: Vec<SocketAddr>,
    expires_at: Instant,
}

/// The body of a locate answer.
#[derive(Debug, Deserialize)]
struct LocateResponse {
    hosts: Vec<SocketAddr>,
    max_age_s: u64,
}

impl Caller {
    /// One caller for each zone, with a source address from the zone's block.
    pub fn of_each_zone(deployment: &Deployment, ports: Ports, seed: u64) -> Vec<Arc<Caller>> {
        let count = u16::try_from(deployment.hosts().len()).unwrap_or(u16::MAX);
        let zones = u8::try_from(deployment.regions.len() * 2).unwrap_or(u8::MAX);
        let caller = |zone| Caller {
            client: Client::bound_to(Protocol::Http1, IpAddr::V4(Ipv4Addr::new(127, zone, 0, 1))),
            authority_suffix: format!("{}.example", deployment.name),
            entry_hosts: (1..=count).map(|host| ports.caller(host)).collect(),
            cached: Mutex::new(CachedHosts { hosts: Vec::new(), expires_at: Instant::now() }),
            seed,
        };
        (1..=zones).map(|zone| Arc::new(caller(zone))).collect()
    }

    /// The idempotency key of a booking; the audit reads the number back from it.
    pub fn idempotency_key(seed: u64, number: u64) -> String {
        format!("load-{seed}-{number}")
    }

    /// Sends a request and retries it while that is safe, up to `MAX_ATTEMPTS`.
    pub async fn send(&self, request: &PlannedRequest) -> Outcome {
        let mut attempt = 1;
        loop {
            let outcome = self.send_once(request, attempt).await;
            let may_retry = matches!(outcome, Outcome::NotRun(_) | Outcome::Broken);
            if !may_retry || attempt == MAX_ATTEMPTS {
                return outcome;
            }
            attempt += 1;
            self.expire_cached_hosts();
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn send_once(&self, request: &PlannedRequest, attempt: u32) -> Outcome {
        let Some(host) = self.host(attempt).await else { return Outcome::Broken };
        let http_request = self.build_request(request, host);
        let exchange = async {
            let (head, body) = self.client.send(http_request).await?.into_parts();
            let body = body.collect().await.map_err(|error| Error::Broken(error.to_string()))?;
            Ok::<_, Error>((head.status, head.headers, body.to_bytes()))
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(Ok((status, headers, body))) => response_outcome(request, status, &headers, &body),
            _ => Outcome::Broken,
        }
    }

    fn build_request(&self, request: &PlannedRequest, host: SocketAddr) -> Request<Body> {
        let body = Bytes::from(path(request));
        let mut http_request =
            Request::new(if request.is_booking { Body::from(body) } else { Body::empty() });
        if request.is_booking {
            *http_request.method_mut() = http::Method::POST;
        }
        let uri = format!("http://{host}{}", path(request));
        *http_request.uri_mut() = uri.parse().unwrap_or_default();
        let authority = format!("{}.{}", request.service, self.authority_suffix);
        let headers = http_request.headers_mut();
        headers.insert(http::header::HOST, names::value(&authority));
        if request.is_booking {
            let key = Caller::idempotency_key(self.seed, request.number);
            headers.insert(names::IDEMPOTENCY_KEY, names::value(&key));
        }
        if let Some(run_ms) = request.run_ms {
            headers.insert("lab-run-ms", names::value(&run_ms.to_string()));
        }
        http_request
    }

    /// The entry host for an attempt; each attempt uses the next host of the locate answer.
    async fn host(&self, attempt: u32) -> Option<SocketAddr> {
        if let Some(host) = self.cached_host(attempt) {
            return Some(host);
        }
        for entry in &self.entry_hosts {
            let request = Request::get(format!("http://{entry}{LOCATE_PATH}"));
            let request = request.body(Body::empty()).ok()?;
            let response = self.client.call(request, Duration::from_secs(1)).await;
            let Ok((StatusCode::OK, body)) = response else { continue };
            let Ok(located) = serde_json::from_slice::<LocateResponse>(&body) else { continue };
            let expires_at = Instant::now() + Duration::from_secs(located.max_age_s);
            *self.lock() = CachedHosts { hosts: located.hosts, expires_at };
            return self.cached_host(attempt);
        }
        None
    }

    fn cached_host(&self, attempt: u32) -> Option<SocketAddr> {
        let cached = self.lock();
        if cached.expires_at <= Instant::now() || cached.hosts.is_empty() {
            return None;
        }
        Some(cached.hosts[(attempt as usize - 1) % cached.hosts.len()])
    }

    fn expire_cached_hosts(&self) {
        self.lock().expires_at = Instant::now();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CachedHosts> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The path of a request; its answer echoes it, which detects answers to other requests.
fn path(request: &PlannedRequest) -> String {
    format!("/load/{}", request.number)
}

fn response_outcome(
    request: &PlannedRequest,
    status: StatusCode,
    headers: &HeaderMap,
    body: &Bytes,
) -> Outcome {
    let refusal = names::text(headers, &names::REFUSAL).unwrap_or("-").to_owned();
    match names::text(headers, &names::OUTCOME) {
        Some("done") if status.is_success() => {
            let expected = match request.is_booking {
                true => path(request),
                false => format!("GET {}\n", path(request)),
            };
            if *body == expected.as_bytes() { Outcome::Done } else { Outcome::Foreign }
        }
        Some("not-run") => Outcome::NotRun(refusal),
        _ => Outcome::Unknown(refusal),
    }
}
