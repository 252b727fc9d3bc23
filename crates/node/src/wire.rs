//! What our own processes send each other, as it is encoded.

mod blob;

use std::net::SocketAddr;

use oleanderspan::{
    document::{Hash, raw},
    entry::host::{Incarnation, State},
    event::{Event, Kind, Stamp},
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
    /// Servers that gave a sign of leaving, with their incarnation.
    pub leaving: Vec<(String, u64)>,
    /// Events of the entry daemon.
    #[serde(default)]
    pub events: Vec<Happening>,
}

/// One exchange between control daemons; the answer has the same form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: Host,
    /// Its latest stamp.
    pub stamp: u64,
    /// The environment it serves.
    pub environment: String,
    /// The version in force there.
    pub version: u64,
    /// The content hash of that document.
    pub document: Option<Hash>,
    /// Servers that are leaving, with their incarnation.
    pub leaving: Vec<(String, u64)>,
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Happening {
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

impl From<&Event> for Happening {
    fn from(event: &Event) -> Happening {
        Happening {
            stamp: event.stamp.get(),
            process: event.process.to_string(),
            kind: event.kind.as_str().to_owned(),
            subject: event.subject.clone(),
            detail: event.detail.clone(),
        }
    }
}

impl TryFrom<Happening> for Event {
    type Error = UnknownKind;

    fn try_from(raw: Happening) -> Result<Event, UnknownKind> {
        let kind = Kind::ALL.into_iter().find(|kind| kind.as_str() == raw.kind);
        Ok(Event {
            stamp: Stamp::from_number(raw.stamp),
            process: raw.process.into(),
            kind: kind.ok_or(UnknownKind(raw.kind))?,
            subject: raw.subject,
            detail: raw.detail,
        })
    }
}

/// A kind of event that this build does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKind(pub String);
