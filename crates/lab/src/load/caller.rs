//! One caller: asks which host to use, keeps the answer as long as it may, and sends requests.

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
    load::Planned,
};

/// Longest time to wait for a whole answer.
const PATIENCE: Duration = Duration::from_secs(90);

/// The most times a request is sent: again after a refusal that says it was not run, and, with
/// the same key, after a broken connection.
const MAX_TRIES: u32 = 4;

/// The wait before a request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Done,
    /// It was refused and said not to have run.
    NotRun(String),
    /// It was refused and may have run.
    Unknown(String),
    /// The connection to the entry host broke.
    Broken,
    /// An answer came that belongs to another request.
    Foreign,
}

/// A caller of one zone.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    authority_suffix: String,
    entries: Vec<SocketAddr>,
    located: Mutex<Located>,
    seed: u64,
}

#[derive(Debug)]
struct Located {
    hosts: Vec<SocketAddr>,
    until: Instant,
}

/// The body of a locate answer.
#[derive(Debug, Deserialize)]
struct Answer {
    hosts: Vec<SocketAddr>,
    max_age_s: u64,
}

impl Caller {
    /// One caller for each zone, who connects from an address of that zone's block.
    pub fn of_each_zone(deployment: &Deployment, ports: Ports, seed: u64) -> Vec<Arc<Caller>> {
        let count = u16::try_from(deployment.hosts().len()).unwrap_or(u16::MAX);
        let zones = u8::try_from(deployment.regions.len() * 2).unwrap_or(u8::MAX);
        let caller = |zone| Caller {
            client: Client::bound_to(Protocol::Http1, IpAddr::V4(Ipv4Addr::new(127, zone, 0, 1))),
            authority_suffix: format!("{}.example", deployment.name),
            entries: (1..=count).map(|host| ports.caller(host)).collect(),
            located: Mutex::new(Located { hosts: Vec::new(), until: Instant::now() }),
            seed,
        };
        (1..=zones).map(|zone| Arc::new(caller(zone))).collect()
    }

    /// The key of a booking.
    pub fn key(seed: u64, number: u64) -> String {
        format!("load-{seed}-{number}")
    }

    /// Sends a request until it is done or may not be sent again.
    pub async fn send(&self, request: &Planned) -> Ending {
        let mut tries = 1;
        loop {
            let ending = self.send_once(request, tries).await;
            let may_repeat = matches!(ending, Ending::NotRun(_) | Ending::Broken);
            if !may_repeat || tries == MAX_TRIES {
                return ending;
            }
            tries += 1;
            self.forget_hosts();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn send_once(&self, request: &Planned, attempt: u32) -> Ending {
        let Some(host) = self.host(attempt).await else { return Ending::Broken };
        let built = self.build(request, host);
        let whole = async {
            let (head, body) = self.client.send(built).await?.into_parts();
            let body = body.collect().await.map_err(|error| Error::Broken(error.to_string()))?;
            Ok::<_, Error>((head.status, head.headers, body.to_bytes()))
        };
        match tokio::time::timeout(PATIENCE, whole).await {
            Ok(Ok((status, headers, body))) => ending(request, status, &headers, &body),
            _ => Ending::Broken,
        }
    }

    fn build(&self, request: &Planned, host: SocketAddr) -> Request<Body> {
        let body = Bytes::from(path(request));
        let mut built = Request::new(if request.books { Body::from(body) } else { Body::empty() });
        if request.books {
            *built.method_mut() = http::Method::POST;
        }
        let uri = format!("http://{host}{}", path(request));
        *built.uri_mut() = uri.parse().unwrap_or_default();
        let authority = format!("{}.{}", request.service, self.authority_suffix);
        let headers = built.headers_mut();
        headers.insert(http::header::HOST, names::value(&authority));
        if request.books {
            let key = Caller::key(self.seed, request.number);
            headers.insert(names::IDEMPOTENCY_KEY, names::value(&key));
        }
        if let Some(run_ms) = request.run_ms {
            headers.insert("lab-run-ms", names::value(&run_ms.to_string()));
        }
        built
    }

    /// The host to use; later tries use hosts further down the answer.
    async fn host(&self, attempt: u32) -> Option<SocketAddr> {
        if let Some(host) = self.kept_host(attempt) {
            return Some(host);
        }
        for entry in &self.entries {
            let request = Request::get(format!("http://{entry}{LOCATE_PATH}"));
            let request = request.body(Body::empty()).ok()?;
            let called = self.client.call(request, Duration::from_secs(1)).await;
            let Ok((StatusCode::OK, body)) = called else { continue };
            let Ok(answer) = serde_json::from_slice::<Answer>(&body) else { continue };
            let until = Instant::now() + Duration::from_secs(answer.max_age_s);
            *self.lock() = Located { hosts: answer.hosts, until };
            return self.kept_host(attempt);
        }
        None
    }

    fn kept_host(&self, attempt: u32) -> Option<SocketAddr> {
        let located = self.lock();
        if located.until <= Instant::now() || located.hosts.is_empty() {
            return None;
        }
        Some(located.hosts[(attempt as usize - 1) % located.hosts.len()])
    }

    fn forget_hosts(&self) {
        self.lock().until = Instant::now();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Located> {
        self.located.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The path of a request, which its answer repeats.
fn path(request: &Planned) -> String {
    format!("/load/{}", request.number)
}

fn ending(request: &Planned, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Ending {
    let refusal = names::text(headers, &names::REFUSAL).unwrap_or("-").to_owned();
    match names::text(headers, &names::OUTCOME) {
        Some("done") if status.is_success() => {
            let expected = match request.books {
                true => path(request),
                false => format!("GET {}\n", path(request)),
            };
            if *body == expected.as_bytes() { Ending::Done } else { Ending::Foreign }
        }
        Some("not-run") => Ending::NotRun(refusal),
        _ => Ending::Unknown(refusal),
    }
}
