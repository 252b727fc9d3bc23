//! A fake of the platform's service: a transactional table, an object store and a list of backend
//! servers that can lag, with fault injection.

use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderspan_node::{
    codec,
    http::{Body, server::Handler, server::serve},
    store::{Conflict, Expect, Keys, Row, Rows, Server, ServerList, Transaction},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Faults to inject; all are off by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuse every call with status 503.
    #[serde(rename = "away")]
    pub unavailable: bool,
    /// Delay every call by this time, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes, in percent, that take effect but are never answered.
    pub lost_answers_percent: u8,
    /// Apply the next write without answering it, and refuse every call after it.
    #[serde(rename = "away_after_write")]
    pub unavailable_after_write: bool,
    /// Number of next writes that take effect but are never answered.
    pub lose_next_answers: u32,
    /// Number of next writes that take effect after `late_ms` and are never answered.
    pub late_next_writes: u32,
    /// Delay of the writes of `late_next_writes`, in milliseconds.
    pub late_ms: u64,
    /// Serve the list of servers as it was this many milliseconds ago.
    pub list_lag_ms: u64,
}

/// Number of calls by kind since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Transactions, including those refused by a conflict.
    pub transactions: u64,
    /// Rows written by transactions.
    pub rows: u64,
    /// Row reads by key.
    pub reads: u64,
    /// Row scans by key prefix.
    pub scans: u64,
    /// Calls that store, read or list objects.
    pub objects: u64,
    /// Reads of the server list.
    pub lists: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    /// Every version of the server list with its creation time, to serve the list with a lag.
    list_history: Vec<(Option<Instant>, ServerList)>,
    faults: Faults,
    counts: Counts,
}

/// The fake platform; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Platform(Arc<Mutex<State>>);

/// Serves the fake platform until the process ends, with the servers of `file` as its initial list.
pub async fn run(address: SocketAddr, file: Option<&Path>) -> io::Result<()> {
    let platform = Platform::default();
    if let Some(file) = file {
        let servers: Vec<Server> = codec::from_json(&fs::read(file)?).map_err(io::Error::other)?;
        servers.into_iter().for_each(|server| platform.register(server));
    }
    let listener = TcpListener::bind(address).await?;
    serve(listener, platform, CancellationToken::new()).await;
    Ok(())
}

impl Platform {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Adds a server to the list, or replaces the one of the same name.
    pub fn register(&self, server: Server) {
        let mut state = self.lock();
        let mut list = state.list_history.last().map(|(_, list)| list.clone()).unwrap_or_default();
        list.servers.retain(|listed| listed.name != server.name);
        list.servers.push(server);
        list.servers.sort_by(|a, b| a.name.cmp(&b.name));
        state.list_history.push((Some(Instant::now()), list));
    }

    /// A copy of the call counts.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// All rows of the table, in the order of their keys.
    pub fn rows(&self) -> Vec<Row> {
        self.lock().rows.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Consumes one use of a counted fault; returns whether the fault applies to this call.
    fn consume_fault(&self, counter: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut state = self.lock();
        let remaining = counter(&mut state.faults);
        let is_active = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_active
    }

    fn transact(&self, transaction: &Transaction) -> Result<(), Conflict> {
        let mut state = self.lock();
        state.counts.transactions += 1;
        let is_expected = |rows: &BTreeMap<String, Row>, key: &str, expect| match expect {
            Expect::Absent => !rows.contains_key(key),
            Expect::Version(version) => rows.get(key).is_some_and(|row| row.version == version),
        };
        let conflicts = transaction.writes.iter();
        let conflicts =
            conflicts.filter(|write| !is_expected(&state.rows, &write.key, write.expect));
        let keys: Vec<String> = conflicts.map(|write| write.key.clone()).collect();
        if !keys.is_empty() {
            return Err(Conflict { keys });
        }
        for write in &transaction.writes {
            let version = state.rows.get(&write.key).map_or(0, |row| row.version) + 1;
            let row = Row { key: write.key.clone(), version, value: write.value.clone() };
            state.rows.insert(write.key.clone(), row);
            state.counts.rows += 1;
        }
        Ok(())
    }

    fn read(&self, keys: &Keys) -> Rows {
        let mut state = self.lock();
        state.counts.reads += 1;
        Rows { rows: keys.keys.iter().filter_map(|key| state.rows.get(key).cloned()).collect() }
    }

    fn scan(&self, prefix: &str) -> Rows {
        let mut state = self.lock();
        state.counts.scans += 1;
        let found = state.rows.range(prefix.to_owned()..);
        let found = found.take_while(|(key, _)| key.starts_with(prefix));
        Rows { rows: found.map(|(_, row)| row.clone()).collect() }
    }

    fn object_names(&self, prefix: &str) -> Vec<String> {
        let mut state = self.lock();
        state.counts.objects += 1;
        let found = state.objects.range(prefix.to_owned()..);
        found.map(|(name, _)| name.clone()).take_while(|name| name.starts_with(prefix)).collect()
    }

    fn list(&self) -> ServerList {
        let mut state = self.lock();
        state.counts.lists += 1;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let is_visible = |at: &Option<Instant>| at.is_none_or(|at| at.elapsed() >= lag);
        let visible = state.list_history.iter().rev().find(|(at, _)| is_visible(at));
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn call(&self, method: &Method, path: &str, body: &Bytes) -> Response<Body> {
        match (method, path) {
            (&Method::POST, "/v1/table/transact") => match decode(body) {
                Some(transaction) => match self.transact(&transaction) {
                    Ok(()) => json(StatusCode::OK, &()),
                    Err(conflict) => json(StatusCode::CONFLICT, &conflict),
                },
                None => status(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "/v1/table/read") => match decode(body) {
                Some(keys) => json(StatusCode::OK, &self.read(&keys)),
                None => status(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "/v1/servers") => json(StatusCode::OK, &self.list()),
            _ => self.call_with_name(method, path, body),
        }
    }

    fn call_with_name(&self, method: &Method, path: &str, body: &Bytes) -> Response<Body> {
        if let Some(prefix) = path.strip_prefix("/v1/table/scan/") {
            return json(StatusCode::OK, &self.scan(prefix));
        }
        if let Some(prefix) = path.strip_prefix("/v1/names/") {
            return json(StatusCode::OK, &self.object_names(prefix));
        }
        let Some(name) = path.strip_prefix("/v1/objects/") else {
            return status(StatusCode::NOT_FOUND);
        };
        let mut state = self.lock();
        state.counts.objects += 1;
        if *method == Method::PUT {
            state.objects.insert(name.to_owned(), body.clone());
            return status(StatusCode::NO_CONTENT);
        }
        match state.objects.get(name) {
            Some(bytes) => Response::new(Body::from(bytes.clone())),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    /// Serves the control endpoints of tests and scripts, which faults do not affect.
    fn call_test_endpoint(&self, path: &str, body: &Bytes) -> Option<Response<Body>> {
        let answer = match path {
            "/lab/faults" => match decode(body) {
                Some(faults) => {
                    self.set_faults(faults);
                    status(StatusCode::NO_CONTENT)
                }
                None => status(StatusCode::BAD_REQUEST),
            },
            "/lab/servers" => match decode(body) {
                Some(server) => {
                    self.register(server);
                    status(StatusCode::NO_CONTENT)
                }
                None => status(StatusCode::BAD_REQUEST),
            },
            "/lab/counts" => json(StatusCode::OK, &self.counts()),
            _ => return None,
        };
        Some(answer)
    }
}

impl Handler for Platform {
    type Guard = ();

    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else { return status(StatusCode::BAD_REQUEST) };
        let body = body.to_bytes();
        if let Some(answer) = self.call_test_endpoint(head.uri.path(), &body) {
            return answer;
        }
        let faults = self.lock().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.unavailable {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let is_write = head.uri.path() == "/v1/table/transact";
        if is_write && self.consume_fault(|faults| &mut faults.late_next_writes) {
            let (platform, delay) = (self.clone(), Duration::from_millis(faults.late_ms));
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                platform.call(&Method::POST, "/v1/table/transact", &body);
            });
            std::future::pending::<()>().await;
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let answer = self.call(&head.method, head.uri.path(), &body);
        if is_write && faults.unavailable_after_write {
            self.lock().faults.unavailable = true;
            std::future::pending::<()>().await;
        }
        let is_chosen = rand::random_range(0..100) < faults.lost_answers_percent;
        let is_answer_lost =
            || is_chosen || self.consume_fault(|faults| &mut faults.lose_next_answers);
        if is_write && is_answer_lost() {
            std::future::pending::<()>().await;
        }
        answer
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    codec::from_json(body).ok()
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = code;
    response
}

fn json<T: Serialize>(code: StatusCode, value: &T) -> Response<Body> {
    let body = codec::to_json(value).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    *response.status_mut() = code;
    response
}
