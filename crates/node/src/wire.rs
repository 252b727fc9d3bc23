//! Encoded form of the messages between the processes of oleanderspan.

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

/// Active state of a host, sent by its control daemon to its entry daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of the snapshot, incremented by the control daemon.
    pub sequence: u64,
    /// Latest hybrid logical timestamp of the control daemon.
    #[serde(default)]
    pub stamp: u64,
    /// Version of the active document.
    pub version: u64,
    /// The active document, without its blocks.
    pub document: raw::Document,
    /// Content hash of the blocks; the entry daemon fetches only the parts that changed.
    pub blocks: Hash,
    /// Entry hosts, except those in state `Gone`.
    pub hosts: Vec<Host>,
    /// Backend servers of all services.
    pub servers: Vec<Server>,
    /// Active shares in parts per million, indexed by service, region of the caller, target region.
    pub shares: Vec<Vec<Vec<u32>>>,
    /// Whether a region has failed, indexed by service and region.
    pub failed: Vec<Vec<bool>>,
    /// Slots that the host must keep reserved where it dispatches, indexed by service and region.
    pub withheld: Vec<Vec<u32>>,
}

/// Parts of a document, in the order in which their hashes were requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parts {
    /// Encoded parts, each identified by its content hash.
    pub parts: Vec<Blob>,
}

/// An entry host, as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Host name, unique in the environment.
    pub name: String,
    /// Latest known start of the host; a later start has a greater number.
    pub incarnation: u64,
    /// Membership state.
    pub state: HostState,
    /// Name of the host's availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other entry daemons, which relay requests.
    pub relay_address: SocketAddr,
    /// Address for other control daemons.
    pub peer_address: SocketAddr,
}

/// Membership state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It has not received the active state yet.
    Starting,
    /// It serves callers.
    Live,
    /// It did not respond to recent probes.
    Suspect,
    /// It is shutting down and gets no new callers.
    Leaving,
    /// It has left, or its failure is confirmed.
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
    /// Start of the host to which the state refers.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Server name.
    pub name: String,
    /// Latest known start of the server; a later start has a greater number.
    pub incarnation: u64,
    /// Name of the service that the server runs.
    pub service: String,
    /// Name of the server's availability zone.
    pub zone: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Whether any host has observed a sign that this start of the server is leaving.
    pub leaving: bool,
}

/// Report of an entry daemon to its control daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Observation {
    /// Servers that showed a sign of leaving.
    pub leaving: Vec<Sign>,
    /// Whether the entry daemon is shutting down.
    pub stopping: bool,
    /// Events of the entry daemon, for the timeline.
    #[serde(default)]
    pub events: Vec<EventRecord>,
    /// Requests in flight and queued; `None` if this report does not include them.
    pub loads: Option<Vec<Load>>,
}

/// Load that an entry daemon measures for one service in one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Service name.
    pub service: String,
    /// Region name.
    pub region: String,
    /// Whether the host dispatches requests to servers of this region.
    pub dispatches: bool,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Limit on the requests in flight.
    pub limit: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
}

/// Active shares of a host, keyed by name; shares of zero are omitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Region of the host.
    pub region: String,
    /// Shares in parts per million, keyed by service, region of the caller, target region.
    pub services: BTreeMap<String, BTreeMap<String, BTreeMap<String, u32>>>,
}

/// Section of a message about the distribution of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Distribution {
    /// Active shares of the sender; `None` until it has any.
    pub shares: Option<Shares>,
    /// Load measured by the sender's entry daemon.
    pub loads: Vec<Load>,
}

/// A sign that a backend server is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sign {
    /// Server name.
    pub server: String,
    /// Start of the server that is leaving.
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

/// Section of a message about servers that are leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signs {
    /// Recent signs.
    pub recent: Vec<Sign>,
    /// Digest of all signs of listed servers; hosts whose digests differ exchange all of them.
    pub digest: u64,
}

/// Section of a message about entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sending host.
    pub from: Host,
    /// Hosts whose state changed recently.
    pub changes: Vec<Host>,
    /// Digest of all hosts known to the sender.
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

/// Identifies the list of backend servers that a host has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Hybrid logical timestamp at which a host read it from the platform; 0 before the first list.
    pub stamp: u64,
    /// Content hash of the list, in hexadecimal.
    pub hash: String,
}

/// Identifies the document that is active on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveDocument {
    /// Document version; 0 before the first document.
    pub version: u64,
    /// Content hash of the document; `None` before the first document.
    pub document: Option<Hash>,
}

/// Message of an exchange between control daemons; request and response have the same form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender and its knowledge of other hosts.
    pub members: Gossip,
    /// Latest hybrid logical timestamp of the sender.
    pub stamp: u64,
    /// Environment that the sender serves.
    pub environment: String,
    /// The sender's active document.
    pub document: ActiveDocument,
    /// Servers that are leaving.
    pub signs: Signs,
    /// The sender's list of backend servers.
    pub listing: ListVersion,
    /// The sender's shares and load.
    pub distribution: Distribution,
}

/// Encoded event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Hybrid logical timestamp of the event.
    pub stamp: u64,
    /// Process that recorded the event, such as `host-1/control`.
    pub process: String,
    /// Name of the event kind.
    pub kind: String,
    /// Object that the event is about, such as a host or a server.
    pub subject: String,
    /// Further details as text.
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

/// Error: the name of an event kind that this build does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKind(pub String);
