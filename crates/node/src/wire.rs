//! What our own processes send each other, as it is encoded.

mod blob;

use std::{collections::BTreeMap, net::SocketAddr};

use oleanderspan::{
    availability, backend,
    document::{Hash, raw},
    entry::{
        self, Member,
        host::{Incarnation, State},
    },
    event::{Event, HybridTimestamp, Kind},
    name, region, service,
    shift::{
        ServiceStatement, Statement,
        statement::{OriginStatement, Share},
    },
};
use serde::{Deserialize, Serialize};

pub use blob::Blob;

/// What is in force on a host, from its control daemon to its entry daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Counts the snapshots of one control daemon.
    pub sequence: u64,
    /// The latest stamp of the control daemon.
    #[serde(default)]
    pub stamp: u64,
    /// The version of the document in force.
    pub version: u64,
    /// The document in force, without its blocks.
    pub document: raw::Document,
    /// The content hash of the blocks, of which only parts that changed are fetched.
    pub blocks: Hash,
    /// Entry hosts that are not gone.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Shares in force, in parts per million: by service, by region of the caller, by region.
    pub shares: Vec<Vec<Vec<u32>>>,
    /// Regions that failed: by service, by region.
    pub failed: Vec<Vec<bool>>,
    /// Places that the host must leave free where it dispatches: by service, by region.
    pub withheld: Vec<Vec<u32>>,
}

/// Parts of a document, in the order in which their hashes were asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parts {
    /// The parts.
    pub parts: Vec<Blob>,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its latest start.
    pub incarnation: u64,
    /// What is known of it.
    pub state: HostState,
    /// The name of its zone.
    pub zone: String,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other entry daemons reach it.
    pub relay_address: SocketAddr,
    /// Where other control daemons reach it.
    pub peer_address: SocketAddr,
}

/// What is known of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It has not learned what is in force yet.
    Starting,
    /// It serves callers.
    Live,
    /// It did not answer lately.
    Suspect,
    /// It takes no new callers.
    Leaving,
    /// It is gone.
    Gone,
}

impl From<HostState> for State {
    fn from(state: HostState) -> State {
        match state {
            HostState::Starting => State::Starting,
            HostState::Live => State::Live,
            HostState::Suspect => State::Suspect,
            HostState::Leaving => State::Leaving,
            HostState::Gone => State::Gone,
        }
    }
}

impl From<State> for HostState {
    fn from(state: State) -> HostState {
        match state {
            State::Starting => HostState::Starting,
            State::Live => HostState::Live,
            State::Suspect => HostState::Suspect,
            State::Leaving => HostState::Leaving,
            State::Gone => HostState::Gone,
        }
    }
}

impl From<&Member> for Host {
    fn from(member: &Member) -> Host {
        Host {
            name: member.name.to_string(),
            incarnation: member.incarnation.0,
            state: member.state.into(),
            zone: member.zone.to_string(),
            caller_address: member.caller_address,
            relay_address: member.relay_address,
            peer_address: member.peer_address,
        }
    }
}

impl TryFrom<&Host> for Member {
    type Error = name::Error;

    fn try_from(raw: &Host) -> Result<Member, name::Error> {
        Ok(Member {
            name: entry::Name::try_from(raw.name.as_str())?,
            incarnation: raw.incarnation(),
            state: raw.state.into(),
            zone: availability::Name::try_from(raw.zone.as_str())?,
            caller_address: raw.caller_address,
            relay_address: raw.relay_address,
            peer_address: raw.peer_address,
        })
    }
}

impl Host {
    /// The start that this was said of.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its latest start.
    pub incarnation: u64,
    /// The name of its service.
    pub service: String,
    /// The name of its zone.
    pub zone: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether any sign of leaving was seen.
    pub leaving: bool,
}

/// What an entry daemon saw, for its control daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Observation {
    /// Servers that gave a sign of leaving.
    pub leaving: Vec<Sign>,
    /// Whether the entry daemon was told to stop.
    pub stopping: bool,
    /// Events of the entry daemon.
    #[serde(default)]
    pub events: Vec<EventRecord>,
    /// What it counts in flight, if this is a report of that.
    pub loads: Option<Vec<Load>>,
}

/// What an entry daemon counts for one service in one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The name of the service.
    pub service: String,
    /// The name of the region.
    pub region: String,
    /// Whether the host dispatches there.
    pub dispatches: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// The most that it admits.
    pub limit: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// Shares in force on a host, by name; those of zero are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// The region of the host.
    pub region: String,
    /// In parts per million: by service, by region of the caller, by region.
    pub services: BTreeMap<String, BTreeMap<String, BTreeMap<String, u32>>>,
}

/// What a message says of how requests are distributed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Distribution {
    /// The shares that the sender has in force, once it has any.
    pub shares: Option<Shares>,
    /// What the sender counts in flight.
    pub loads: Vec<Load>,
}

/// A sign of leaving of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sign {
    /// The name of the server.
    pub server: String,
    /// The start that leaves.
    pub incarnation: u64,
}

impl From<&backend::server::Identity> for Sign {
    fn from(identity: &backend::server::Identity) -> Sign {
        Sign { server: identity.name.to_string(), incarnation: identity.incarnation }
    }
}

impl TryFrom<&Sign> for backend::server::Identity {
    type Error = name::Error;

    fn try_from(raw: &Sign) -> Result<backend::server::Identity, name::Error> {
        let name = backend::Name::try_from(raw.server.as_str())?;
        Ok(backend::server::Identity { name, incarnation: raw.incarnation })
    }
}

/// What a message says of servers that are leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signs {
    /// Signs that were seen lately.
    pub recent: Vec<Sign>,
    /// The digest of all signs of listed servers.
    pub digest: u64,
}

/// What a message says of entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: Host,
    /// Hosts that changed lately.
    pub changes: Vec<Host>,
    /// The digest of all hosts that the sender knows.
    pub digest: u64,
}

impl From<&entry::membership::Gossip> for Gossip {
    fn from(gossip: &entry::membership::Gossip) -> Gossip {
        Gossip {
            from: Host::from(&gossip.from),
            changes: gossip.changes.iter().map(Host::from).collect(),
            digest: gossip.digest,
        }
    }
}

impl TryFrom<&Gossip> for entry::membership::Gossip {
    type Error = name::Error;

    fn try_from(raw: &Gossip) -> Result<entry::membership::Gossip, name::Error> {
        Ok(entry::membership::Gossip {
            from: Member::try_from(&raw.from)?,
            changes: raw.changes.iter().map(Member::try_from).collect::<Result<_, _>>()?,
            digest: raw.digest,
        })
    }
}

/// Which list of backend servers a host has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// When a host read it from the platform, in hybrid logical time; 0 before the first one.
    pub stamp: u64,
    /// The content hash of the list.
    pub hash: String,
}

/// What a host has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveDocument {
    /// The version; 0 before the first document.
    pub version: u64,
    /// The content hash of that document.
    pub document: Option<Hash>,
}

/// One exchange between control daemons; the answer has the same form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender, and what it knows of the others.
    pub members: Gossip,
    /// Its latest stamp.
    pub stamp: u64,
    /// The environment it serves.
    pub environment: String,
    /// What it has in force.
    pub document: ActiveDocument,
    /// Servers that are leaving.
    pub signs: Signs,
    /// Its list of backend servers.
    pub listing: ListVersion,
    /// How it distributes requests.
    pub distribution: Distribution,
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When, in hybrid logical time.
    pub stamp: u64,
    /// The process.
    pub process: String,
    /// The name of the kind.
    pub kind: String,
    /// To what or whom.
    pub subject: String,
    /// How.
    pub detail: String,
}

impl From<&Event> for EventRecord {
    fn from(event: &Event) -> EventRecord {
        EventRecord {
            stamp: event.stamp.as_u64(),
            process: event.process.to_string(),
            kind: event.kind.as_str().to_owned(),
            subject: event.subject.clone(),
            detail: event.detail.clone(),
        }
    }
}

impl TryFrom<EventRecord> for Event {
    type Error = UnknownKind;

    fn try_from(raw: EventRecord) -> Result<Event, UnknownKind> {
        let kind = Kind::ALL.into_iter().find(|kind| kind.as_str() == raw.kind);
        Ok(Event {
            stamp: HybridTimestamp::from_u64(raw.stamp),
            process: raw.process.into(),
            kind: kind.ok_or(UnknownKind(raw.kind))?,
            subject: raw.subject,
            detail: raw.detail,
        })
    }
}

impl From<&Statement> for Shares {
    fn from(statement: &Statement) -> Shares {
        let vector = |statement: &OriginStatement| {
            let shares = statement.shares.iter().map(|share| (share.region.to_string(), share.ppm));
            (statement.origin.to_string(), shares.collect())
        };
        let service = |statement: &ServiceStatement| {
            (statement.service.to_string(), statement.vectors.iter().map(vector).collect())
        };
        Shares {
            region: statement.region.to_string(),
            services: statement.services.iter().map(service).collect(),
        }
    }
}

impl TryFrom<&Shares> for Statement {
    type Error = name::Error;

    fn try_from(raw: &Shares) -> Result<Statement, name::Error> {
        let share = |(region, ppm): (&String, &u32)| {
            Ok(Share { region: region::Name::try_from(region.as_str())?, ppm: *ppm })
        };
        let vector = |(origin, shares): (&String, &BTreeMap<String, u32>)| {
            let shares: Result<Vec<Share>, name::Error> = shares.iter().map(share).collect();
            Ok(OriginStatement {
                origin: region::Name::try_from(origin.as_str())?,
                shares: shares?,
            })
        };
        let services = raw.services.iter().map(|(service, vectors)| {
            let vectors: Result<Vec<OriginStatement>, name::Error> =
                vectors.iter().map(vector).collect();
            Ok(ServiceStatement {
                service: service::Name::try_from(service.as_str())?,
                vectors: vectors?,
            })
        });
        let services: Result<Vec<ServiceStatement>, name::Error> = services.collect();
        Ok(Statement { region: region::Name::try_from(raw.region.as_str())?, services: services? })
    }
}

/// A kind of event that this build does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKind(pub String);
