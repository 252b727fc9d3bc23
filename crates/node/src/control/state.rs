//! What the tasks of the control daemon share.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use oleanderspan::{
    backend::{Signs, server::Identity},
    document::{self, Draft, raw},
    event::{Event, Hybrid, Kind},
    prelude::*,
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::{
    clock::{Monotonic, wall_millis},
    codec,
    control::{membership::Roster, shares::Shares},
    http::client::{Client, Protocol},
    settings::Settings,
    store::{self, Store},
    wire,
};

/// Events that are kept in memory.
const MAX_EVENTS: usize = 10_000;

/// What the tasks share; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct State(Arc<Shared>);

/// The one copy behind every [`State`].
#[derive(Debug)]
pub struct Shared {
    /// The settings of the host.
    pub settings: Settings,
    /// The platform's service.
    pub store: Store,
    /// Connections to other control daemons.
    pub peers: Client,
    /// The clock of rules.
    pub clock: Monotonic,
    /// The clock of events.
    pub hybrid: Hybrid,
    /// The log.
    pub log: Logger,
    /// Told when something that the entry daemon must know has changed.
    pub changed: Notify,
    /// What is known of entry hosts.
    pub roster: Roster,
    inner: Mutex<Inner>,
    process: Arc<str>,
}

/// A document that was accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Its version.
    pub version: document::Version,
    /// Its content hash.
    pub hash: String,
    /// As it is written.
    pub raw: Arc<raw::Document>,
    /// As it was checked.
    pub draft: Arc<Draft>,
    /// The content hash of its blocks.
    pub blocks: String,
}

impl Accepted {
    /// Checks a document that the store or a peer holds.
    pub fn new(
        version: document::Version,
        hash: String,
        raw: raw::Document,
    ) -> Result<Accepted, Error> {
        let draft = Draft::try_from(&raw)?;
        let blocks = codec::hash(&codec::to_wire(&raw.blocks)?);
        Ok(Accepted { version, hash, raw: Arc::new(raw), draft: Arc::new(draft), blocks })
    }
}

/// What changes.
#[derive(Debug, Default)]
pub struct Inner {
    /// The document in force.
    pub accepted: Option<Accepted>,
    /// The platform's list, as it was read last.
    pub list: store::List,
    /// When and by its content which list that is.
    pub listing: wire::Listing,
    /// Servers that gave a sign of leaving.
    pub signs: Signs,
    /// The document's version and the list's hash whose signs have been noted.
    pub signs_source: (u64, String),
    /// Shares in force, and what moves them.
    pub shares: Shares,
    /// The latest snapshot for the entry daemon.
    pub snapshot: Option<Arc<wire::Snapshot>>,
    /// Recent events of this process.
    pub events: VecDeque<Event>,
}

impl std::ops::Deref for State {
    type Target = Shared;

    fn deref(&self) -> &Shared {
        &self.0
    }
}

impl State {
    /// The state of a daemon that has learned nothing yet.
    pub fn start(settings: Settings, log: Logger) -> State {
        let process = format!("{}/control", settings.host.name).into();
        let clock = Monotonic::start();
        let state = State(Arc::new(Shared {
            store: Store::new(&settings.platform),
            peers: Client::new(Protocol::Http2),
            roster: Roster::new(&settings, clock.now()),
            clock,
            hybrid: Hybrid::default(),
            changed: Notify::new(),
            inner: Mutex::default(),
            process,
            settings,
            log,
        }));
        state.record(Kind::Started, "", "");
        state
    }
}

impl Shared {
    /// Locks what changes; a panic elsewhere leaves it whole, as every change is one step.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event in the time line and in the log.
    pub fn record(&self, kind: Kind, subject: impl Into<String>, detail: impl Into<String>) {
        let event = Event {
            stamp: self.hybrid.tick(wall_millis()),
            process: Arc::clone(&self.process),
            kind,
            subject: subject.into(),
            detail: detail.into(),
        };
        info!(self.log, "event"; "kind" => kind.as_str(), "subject" => &event.subject,
            "detail" => &event.detail);
        let mut inner = self.lock();
        if inner.events.len() == MAX_EVENTS {
            inner.events.pop_front();
        }
        inner.events.push_back(event);
    }

    /// Puts an accepted document into force unless a later one is.
    pub fn put_in_force(&self, accepted: Accepted) {
        let version = accepted.version;
        {
            let mut inner = self.lock();
            if inner.accepted.as_ref().is_some_and(|current| current.version >= version) {
                return;
            }
            inner.accepted = Some(accepted);
        }
        self.record(Kind::InForce, version.to_string(), "");
        self.changed.notify_one();
        self.roster.hurry();
    }

    /// Takes note of a sign that a server is leaving.
    pub fn note_leaving(&self, identity: Identity) {
        let subject = identity.name.to_string();
        let detail = format!("incarnation {}", identity.incarnation);
        let first = self.lock().signs.note(identity, self.clock.now());
        if first {
            self.record(Kind::ServerLeaving, subject, detail);
            self.changed.notify_one();
            self.roster.hurry();
        }
    }
}

/// Why a document could not be taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The document has faults.
    Document(document::Error),
    /// The bytes are no document.
    Codec(codec::Error),
    /// The platform's service failed.
    Store(store::Error),
}

impl From<document::Error> for Error {
    fn from(error: document::Error) -> Error {
        Error::Document(error)
    }
}

impl From<codec::Error> for Error {
    fn from(error: codec::Error) -> Error {
        Error::Codec(error)
    }
}

impl From<store::Error> for Error {
    fn from(error: store::Error) -> Error {
        Error::Store(error)
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Document(error) => error.fmt(f),
            Error::Codec(error) => error.fmt(f),
            Error::Store(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
