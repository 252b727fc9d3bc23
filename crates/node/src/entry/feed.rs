//! The connection to the control daemon of this host: receives snapshots and sends observations.
//!
//! The last snapshot stays in force while the control daemon is down or frozen.

use std::{collections::BTreeMap, fmt};

use bytes::Bytes;
use http::{Request, StatusCode};
use oleanderspan::{
    availability, backend, caller,
    document::{self, raw},
    entry::{self, Host},
    event::{HybridTimestamp, Kind},
    prelude::*,
    service,
    shift::{self, Vector, controller::SILENCE_TIMEOUT},
    snapshot,
};
use slog::{info, warn};

use crate::{
    codec,
    control::{
        parts::{self, Parts},
        source,
    },
    entry::{State, state::Snapshot},
    http::{Body, client},
    wire,
};

/// The timeout of a request for the next snapshot. The control daemon holds such a request open for
/// one second.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for sending an observation.
const OBSERVATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The delay between the first answer of a control daemon that was silent and the return of callers
/// to this host.
const RESUME_DELAY: Duration = Duration::from_secs(1);

/// The delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Polls the control daemon at `control` for snapshots and sends it observations until the task
/// is aborted.
pub async fn run(state: State, control: SocketAddr) {
    let observation_sender = tokio::spawn(send_observations(state.clone(), control));
    let mut feed = Feed {
        control,
        last_sequence: 0,
        blocks: None,
        latest: None,
        answered_at: state.clock.now(),
    };
    loop {
        if let Err(error) = feed.poll(&state).await {
            warn!(state.log, "no snapshot from control daemon; last one stays in force, retrying";
                "error" => %error);
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if observation_sender.is_finished() {
            return;
        }
    }
}

/// Sends observations to the control daemon. Events are retried until it has accepted them; other
/// observations are sent once, as they will be made again or are soon outdated.
async fn send_observations(state: State, control: SocketAddr) {
    while let Some(observation) = state.next_observation().await {
        let Ok(body) = codec::to_wire(&observation).map(Bytes::from) else { continue };
        let must_deliver = !observation.events.is_empty();
        while !send_observation(&state, control, body.clone()).await && must_deliver {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn send_observation(state: &State, control: SocketAddr, body: Bytes) -> bool {
    let request = Request::post(format!("http://{control}/observe")).body(Body::from(body));
    let Ok(request) = request else { return false };
    let answered = state.control.call(request, OBSERVATION_TIMEOUT).await;
    answered.is_ok_and(|(status, _)| status.is_success())
}

struct Feed {
    control: SocketAddr,
    last_sequence: u64,
    blocks: Option<BlockIndex>,
    latest: Option<snapshot::Input>,
    answered_at: Instant,
}

/// The blocks of client addresses in force, and the index built from them.
struct BlockIndex {
    parts: Parts,
    sites: BTreeMap<String, raw::Site>,
    index: Arc<caller::Index>,
}

impl BlockIndex {
    fn new(parts: Parts, sites: BTreeMap<String, raw::Site>) -> Result<BlockIndex, Error> {
        let mut blocks = Vec::new();
        for bucket in parts.buckets(parts.root())? {
            let bucket: BTreeMap<String, String> = parts.read(&bucket)?;
            blocks.append(&mut caller::Block::check_all(&bucket, &sites)?);
        }
        let index = Arc::new(caller::Index::new(&blocks));
        Ok(BlockIndex { parts, sites, index })
    }
}

impl Feed {
    /// Polls for the next snapshot. While the control daemon is silent, callers are sent to other
    /// hosts, as those may shift traffic shares without this host learning of it.
    async fn poll(&mut self, state: &State) -> Result<(), Error> {
        let answered = self.fetch_next(state).await;
        let now = state.clock.now();
        let is_silent = answered.is_err() && now.since(self.answered_at) >= SILENCE_TIMEOUT;
        if answered.is_ok() {
            self.answered_at = now;
        }
        let is_stale = self.latest.as_ref().is_some_and(|latest| latest.is_stale);
        if is_silent && !is_stale {
            self.set_stale(state, true);
        }
        if answered.is_ok() && is_stale {
            // Gives the control daemon time to find out how long it was paused.
            tokio::time::sleep(RESUME_DELAY).await;
            self.fetch_next(state).await?;
            self.set_stale(state, false);
        }
        answered
    }

    /// Publishes the latest snapshot again, marked as stale or current.
    fn set_stale(&mut self, state: &State, is_stale: bool) {
        let Some(latest) = &mut self.latest else { return };
        latest.is_stale = is_stale;
        let prior = state.snapshot();
        state.publish(Snapshot::new(latest.clone(), prior.as_deref()));
        info!(state.log, "silence of control daemon began or ended; snapshot republished";
            "silent" => is_stale);
    }

    async fn fetch_next(&mut self, state: &State) -> Result<(), Error> {
        let path = format!("/snapshot/{}", self.last_sequence);
        let Some(body) = self.get(state, &path, SNAPSHOT_TIMEOUT).await? else { return Ok(()) };
        let raw: wire::Snapshot = codec::from_wire(&body)?;
        let document = document::ValidatedDocument::try_from(&raw.document)?;
        let blocks = self.blocks(state, &raw).await?;
        self.last_sequence = raw.sequence;
        state.hybrid.observe(HybridTimestamp::from_u64(raw.stamp));
        let prior = state.snapshot();
        let changed = prior.as_ref().is_none_or(|prior| prior.version.0 != raw.version);
        let input = input(raw, document, blocks, &state.name)?;
        if changed {
            state.record(Kind::InForce, input.version.to_string(), "");
        }
        self.latest = Some(input.clone());
        state.publish(Snapshot::new(input, prior.as_deref()));
        Ok(())
    }

    /// Returns the index of address blocks. It is rebuilt only after a change, fetching only the
    /// parts that this host does not have.
    async fn blocks(
        &mut self,
        state: &State,
        raw: &wire::Snapshot,
    ) -> Result<Arc<caller::Index>, Error> {
        if let Some(blocks) = &self.blocks
            && blocks.parts.root() == raw.blocks
            && blocks.sites == raw.document.sites
        {
            return Ok(Arc::clone(&blocks.index));
        }
        let control = source::Peer { client: &state.control, address: self.control };
        let known = self.blocks.as_ref().map(|blocks| &blocks.parts);
        let parts = Parts::load_blocks(raw.blocks, known, &control).await?.parts;
        let blocks = BlockIndex::new(parts, raw.document.sites.clone())?;
        let index = Arc::clone(&blocks.index);
        self.blocks = Some(blocks);
        Ok(index)
    }

    async fn get(
        &self,
        state: &State,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<Bytes>, Error> {
        let request = Request::get(format!("http://{}{path}", self.control)).body(Body::empty());
        let request = request.map_err(|error| Error::Request(error.to_string()))?;
        let (status, body) = state.control.call(request, timeout).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(Error::Status(status)),
        }
    }
}

/// Resolves names against the document. Hosts and servers of zones that the document lacks are left
/// out.
fn input(
    raw: wire::Snapshot,
    document: document::ValidatedDocument,
    blocks: Arc<caller::Index>,
    own: &entry::Name,
) -> Result<snapshot::Input, Error> {
    let zones = availability::index_by_name(&document.zones);
    let hosts = raw.hosts.iter().filter_map(|host| resolve_host(host, &document)).collect();
    let indexed = (0u16..).zip(&document.services);
    let services: Map<&str, service::Index> =
        indexed.map(|(i, service)| (service.name.as_str(), service::Index(i))).collect();
    let servers = raw.servers.iter().filter_map(|server| {
        Some(snapshot::ListedServer {
            identity: backend::server::Identity {
                name: backend::Name::try_from(server.name.as_str()).ok()?,
                incarnation: server.incarnation,
            },
            address: server.address,
            service: *services.get(server.service.as_str())?,
            zone: *zones.get(server.zone.as_str())?,
            leaving: server.leaving,
        })
    });
    let servers = servers.collect();
    let rows = raw.shares.into_iter().zip(raw.failed).zip(raw.withheld);
    let routing = rows.map(|((vectors, failed_regions), reserved_slots)| {
        let shares_by_origin: Result<Vec<Vector>, shift::Error> =
            vectors.into_iter().map(Vector::partial).collect();
        Ok(snapshot::Routing {
            shares_by_origin: shares_by_origin?,
            failed_regions,
            reserved_slots,
        })
    });
    let routing: Result<Vec<snapshot::Routing>, shift::Error> = routing.collect();
    Ok(snapshot::Input {
        version: document::Version(raw.version),
        blocks,
        hosts,
        servers,
        routing: routing?,
        own: own.clone(),
        is_stale: false,
        document: Arc::new(document),
    })
}

/// Resolves the zone of a host. Returns `None` if the document lacks the zone or the host name is
/// invalid.
pub fn resolve_host(host: &wire::Host, document: &document::ValidatedDocument) -> Option<Host> {
    let zone = availability::find(&document.zones, &host.zone)?;
    Some(Host {
        name: entry::Name::try_from(host.name.as_str()).ok()?,
        incarnation: host.incarnation(),
        state: host.state.into(),
        zone,
        region: document.zones[usize::from(zone.0)].region,
        caller_address: host.caller_address,
        relay_address: host.relay_address,
    })
}

/// The reason why a snapshot was not put into force.
#[derive(Debug)]
enum Error {
    Client(client::Error),
    Status(StatusCode),
    Codec(codec::Error),
    Document(document::Error),
    Shift(shift::Error),
    Parts(parts::Error),
    Request(String),
}

impl From<parts::Error> for Error {
    fn from(error: parts::Error) -> Error {
        Error::Parts(error)
    }
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Error {
        Error::Client(error)
    }
}

impl From<codec::Error> for Error {
    fn from(error: codec::Error) -> Error {
        Error::Codec(error)
    }
}

impl From<document::Error> for Error {
    fn from(error: document::Error) -> Error {
        Error::Document(error)
    }
}

impl From<shift::Error> for Error {
    fn from(error: shift::Error) -> Error {
        Error::Shift(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Client(error) => error.fmt(f),
            Error::Status(status) => write!(f, "control daemon answered with status {status}"),
            Error::Codec(error) => error.fmt(f),
            Error::Document(error) => error.fmt(f),
            Error::Shift(error) => error.fmt(f),
            Error::Parts(error) => error.fmt(f),
            Error::Request(reason) => f.write_str(reason),
        }
    }
}
