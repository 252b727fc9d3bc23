//! One entry host within the test's process, for faults that need a backend server of the
//! test's own making.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its own part")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oleanderspan::{
    backend, caller,
    document::{ValidatedDocument, Version, raw},
    entry::{self, Host, host},
    service, snapshot,
};
use oleanderspan_lab::deployment::{CUPRUL, Ports};
use oleanderspan_node::{
    entry::{State, front::Front, state::Snapshot},
    http::{
        Body,
        client::{Client, Error, Protocol},
        server::serve,
    },
    settings::{Raw, Settings},
};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The authority of the one service.
pub const AUTHORITY: &str = "stockview.cuprul.example";

/// An entry host that dispatches to the given servers.
pub struct Local {
    pub address: SocketAddr,
    pub state: State,
    pub client: Client,
}

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

impl Local {
    /// Starts the host; every request of the service goes to `servers`.
    pub async fn start(servers: &[SocketAddr], limits: raw::Limits) -> Local {
        let settings = settings();
        let state = State::start(&settings, Logger::root(Discard, o!())).unwrap();
        state.publish(Snapshot::new(input(servers, limits, &settings), None));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, Front(state.clone()), CancellationToken::new()));
        Local { address, state, client: Client::new(Protocol::Http1) }
    }

    /// Sends a request and returns the head of its answer.
    pub async fn send(
        &self,
        builder: http::request::Builder,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = builder.body(Body::from(body)).unwrap();
        let path = request.uri().path_and_query().unwrap().clone();
        *request.uri_mut() = format!("http://{}{path}", self.address).parse().unwrap();
        if !request.headers().contains_key(header::HOST) {
            request.headers_mut().insert(header::HOST, AUTHORITY.parse().unwrap());
        }
        self.client.send(request).await
    }

    /// Sends a request and reads its whole answer.
    pub async fn call(
        &self,
        builder: http::request::Builder,
        body: Bytes,
    ) -> Result<Answer, Error> {
        let whole = async {
            let (head, body) = self.send(builder, body).await?.into_parts();
            let body = body.collect().await.map_err(|error| Error::Broken(error.to_string()))?;
            Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
        };
        tokio::time::timeout(Duration::from_secs(30), whole).await.unwrap_or(Err(Error::TimedOut))
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Result<Answer, Error> {
        self.call(Request::get(path), Bytes::new()).await
    }
}

/// The settings of the host.
fn settings() -> Settings {
    let settings = CUPRUL.settings(1, "production", Ports { base: 7_000 });
    let raw: Raw = serde_json::from_value(settings).unwrap();
    Settings::try_from(raw).unwrap()
}

/// The snapshot of a document with other limits that follows `prior`, without servers.
pub fn snapshot(limits: raw::Limits, prior: Option<&Snapshot>) -> Snapshot {
    Snapshot::new(input(&[], limits, &settings()), prior)
}

fn input(servers: &[SocketAddr], limits: raw::Limits, settings: &Settings) -> snapshot::Input {
    let mut document = CUPRUL.document("production");
    document.services.retain(|name, _| name == "stockview");
    let service = document.services.get_mut("stockview").unwrap();
    service.slots_per_instance = 64;
    service.limits = limits;
    let draft = ValidatedDocument::try_from(&document).unwrap();
    let zone = oleanderspan::availability::find(&draft.zones, "ro-sud-a").unwrap();
    let listed = (0u64..).zip(servers).map(|(i, address)| snapshot::ListedServer {
        identity: backend::server::Identity {
            name: backend::Name::try_from(format!("server-{i}").as_str()).unwrap(),
            incarnation: 1,
        },
        address: *address,
        service: service::Index(0),
        zone,
        leaving: false,
    });
    let region = draft.zones[usize::from(zone.0)].region;
    let own = Host {
        name: entry::Name::try_from(settings.host.name.as_str()).unwrap(),
        incarnation: host::Incarnation(1),
        state: host::State::Live,
        zone,
        region,
        caller_address: settings.entry.caller_address,
        relay_address: settings.entry.relay_address,
    };
    let home = oleanderspan::shift::Vector::only(region, draft.regions.len());
    snapshot::Input {
        version: Version(1),
        blocks: Arc::new(caller::Index::new(&draft.blocks)),
        hosts: vec![own.clone()],
        servers: listed.collect(),
        is_stale: false,
        routing: vec![snapshot::Routing {
            shares_by_origin: vec![home; draft.regions.len()],
            failed_regions: Vec::new(),
            reserved_slots: Vec::new(),
        }],
        own: own.name,
        document: Arc::new(draft),
    }
}
