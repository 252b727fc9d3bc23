//! The feed from the own control daemon: snapshots in, observations out.
//!
//! While the control daemon is dead or frozen the last snapshot stays in force.

use std::fmt;

use bytes::Bytes;
use http::{Request, StatusCode};
use oleanderspan::{
    availability, backend, caller, document,
    entry::{self, Host},
    prelude::*,
    service,
    shift::{self, Vector},
    snapshot,
};
use slog::{info, warn};

use crate::{
    codec,
    entry::{State, state::Snapshot},
    http::{Body, client},
    wire,
};

/// Longest time that the control daemon keeps a question for the next snapshot open.
pub const POLL_LIMIT: Duration = Duration::from_secs(5);

/// The wait after a failed question.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Follows the control daemon at `control` for ever.
pub async fn run(state: State, control: SocketAddr) {
    let observer = tokio::spawn(report(state.clone(), control));
    let mut feed = Feed { control, seen: 0, blocks: None };
    loop {
        if let Err(error) = feed.step(&state).await {
            warn!(state.log, "no snapshot from control"; "error" => %error);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if observer.is_finished() {
            return;
        }
    }
}

/// Sends observations to the control daemon; what cannot be sent is seen again or lost.
async fn report(state: State, control: SocketAddr) {
    while let Some(observation) = state.next_observation().await {
        let Ok(body) = codec::to_wire(&observation) else { continue };
        let request =
            Request::post(format!("http://{control}/observe")).body(Body::from(Bytes::from(body)));
        let Ok(request) = request else { return };
        let _ = state.control.call(request, POLL_LIMIT).await;
    }
}

struct Feed {
    control: SocketAddr,
    seen: u64,
    blocks: Option<(String, Arc<caller::Index>)>,
}

impl Feed {
    async fn step(&mut self, state: &State) -> Result<(), Error> {
        let path = format!("/snapshot/{}", self.seen);
        let Some(body) = self.get(state, &path).await? else { return Ok(()) };
        let raw: wire::Snapshot = codec::from_wire(&body)?;
        let draft = document::Draft::try_from(&raw.document)?;
        let blocks = self.blocks(state, &raw).await?;
        self.seen = raw.sequence;
        let prior = state.snapshot();
        let changed = prior.as_ref().is_none_or(|prior| prior.version.0 != raw.version);
        let input = input(raw, draft, blocks, &state.name)?;
        if changed {
            info!(state.log, "document in force"; "version" => input.version.0);
        }
        state.publish(Snapshot::new(input, prior.as_deref()));
        Ok(())
    }

    /// The index of the blocks, fetched and built only when they changed.
    async fn blocks(
        &mut self,
        state: &State,
        raw: &wire::Snapshot,
    ) -> Result<Arc<caller::Index>, Error> {
        if let Some((hash, index)) = &self.blocks
            && *hash == raw.blocks
        {
            return Ok(Arc::clone(index));
        }
        let body = self.get(state, &format!("/blocks/{}", raw.blocks)).await?;
        let fetched: wire::Blocks = codec::from_wire(&body.ok_or(Error::NoBlocks)?)?;
        let mut whole = raw.document.clone();
        whole.blocks = fetched.blocks;
        let index = Arc::new(caller::Index::new(&document::Draft::try_from(&whole)?.blocks));
        self.blocks = Some((raw.blocks.clone(), Arc::clone(&index)));
        Ok(index)
    }

    async fn get(&self, state: &State, path: &str) -> Result<Option<Bytes>, Error> {
        let request = Request::get(format!("http://{}{path}", self.control)).body(Body::empty());
        let request = request.map_err(|_| Error::NoBlocks)?;
        let (status, body) = state.control.call(request, POLL_LIMIT * 2).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(Error::Status(status)),
        }
    }
}

/// Resolves names against the document; hosts and servers of zones it lacks are left out.
fn input(
    raw: wire::Snapshot,
    draft: document::Draft,
    blocks: Arc<caller::Index>,
    own: &entry::Name,
) -> Result<snapshot::Input, Error> {
    let zones = availability::by_name(&draft.zones);
    let hosts = raw.hosts.iter().filter_map(|host| resolve(host, &draft)).collect();
    let named = (0u16..).zip(&draft.services);
    let services: Map<&str, service::Index> =
        named.map(|(i, service)| (service.name.as_str(), service::Index(i))).collect();
    let servers = raw.servers.iter().filter_map(|server| {
        Some(snapshot::Listing {
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
    let shares = rows.map(|((vectors, failed), withheld)| {
        let vectors: Result<Vec<Vector>, shift::Error> =
            vectors.into_iter().map(Vector::partial).collect();
        Ok(snapshot::Shares { vectors: vectors?, failed, withheld })
    });
    let shares: Result<Vec<snapshot::Shares>, shift::Error> = shares.collect();
    Ok(snapshot::Input {
        version: document::Version(raw.version),
        blocks,
        hosts,
        servers,
        shares: shares?,
        own: own.clone(),
        draft: Arc::new(draft),
    })
}

/// Finds the zone of a host, or `None` if the document lacks it.
pub fn resolve(host: &wire::Host, draft: &document::Draft) -> Option<Host> {
    let zone = availability::find(&draft.zones, &host.zone)?;
    Some(Host {
        name: entry::Name::try_from(host.name.as_str()).ok()?,
        incarnation: host.incarnation(),
        state: host.state.into(),
        zone,
        region: draft.zones[usize::from(zone.0)].region,
        caller_address: host.caller_address,
        relay_address: host.relay_address,
    })
}

/// Why a snapshot did not come into force.
#[derive(Debug)]
enum Error {
    Client(client::Error),
    Status(StatusCode),
    Codec(codec::Error),
    Document(document::Error),
    Shares(shift::Error),
    NoBlocks,
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
        Error::Shares(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Client(error) => error.fmt(f),
            Error::Status(status) => write!(f, "unexpected status {status}"),
            Error::Codec(error) => error.fmt(f),
            Error::Document(error) => error.fmt(f),
            Error::Shares(error) => error.fmt(f),
            Error::NoBlocks => f.write_str("the blocks are not there"),
        }
    }
}
