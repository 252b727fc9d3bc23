//! What the tasks of the control daemon share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use oleanderspan::{
    backend::{Signs, server::Identity},
    document::{
        self, ActiveDocument, Comparison, Hash, ValidatedDocument, Version, VersionedHash, raw,
    },
    event::{Event, HybridClock, Kind},
    prelude::*,
};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::{
    clock::{Monotonic, wall_millis},
    codec,
    control::{
        membership::Registry,
        parts::{self, Parts, Source},
        shares::Shares,
        timeline::Journal,
    },
    http::client::{Client, Protocol},
    settings::Settings,
    store::{self, Store},
    wire,
};

/// The time after a start in which a host hears of every peer that answers; until then a peer
/// that is behind could show it less than it had in force before.
const LEARN_TIME: Duration = Duration::from_secs(3);

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
    pub hybrid: HybridClock,
    /// The log.
    pub log: Logger,
    /// Told when something that the entry daemon must know has changed.
    pub changed: Notify,
    /// What is known of entry hosts.
    pub registry: Registry,
    /// Held by the task that gathers a document, so that no part is fetched twice.
    gathering: tokio::sync::Mutex<()>,
    inner: Mutex<Inner>,
    process: Arc<str>,
}

/// A document that was accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Its version.
    pub version: document::Version,
    /// Its content hash.
    pub hash: Hash,
    /// As it is written, without its blocks.
    pub raw: Arc<raw::Document>,
    /// As it was checked, without its blocks.
    pub draft: Arc<ValidatedDocument>,
    /// Its parts, the blocks among them.
    pub parts: Arc<Parts>,
    /// The content hash of its blocks.
    pub blocks: Hash,
}

impl Accepted {
    /// Checks a document whose parts were gathered.
    pub fn new(version: Version, environment: &str, parts: Parts) -> Result<Accepted, Error> {
        let raw = parts.without_blocks(environment)?;
        let draft = ValidatedDocument::try_from(&raw)?;
        Ok(Accepted {
            version,
            hash: parts.root(),
            blocks: parts.manifest()?.blocks,
            raw: Arc::new(raw),
            draft: Arc::new(draft),
            parts: Arc::new(parts),
        })
    }
}

/// What changes.
#[derive(Debug, Default)]
pub struct Inner {
    /// What is in force.
    pub standing: ActiveDocument,
    /// The document in force.
    pub accepted: Option<Accepted>,
    /// Whether the store told what is in force since the start.
    pub store_told: bool,
    /// Documents that were shown under a version which belongs to another.
    pub corrupt: Set<Hash>,
    /// The platform's list, as it was read last.
    pub list: store::ServerList,
    /// When and by its content which list that is.
    pub listing: wire::ListVersion,
    /// Servers that gave a sign of leaving.
    pub signs: Signs,
    /// The document's version and the list's hash whose signs have been noted.
    pub signs_source: (u64, String),
    /// Shares in force, and what moves them.
    pub shares: Shares,
    /// The latest snapshot for the entry daemon.
    pub snapshot: Option<Arc<wire::Snapshot>>,
    /// Events of this host.
    pub journal: Journal,
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
            registry: Registry::new(&settings, clock.now()),
            clock,
            hybrid: HybridClock::default(),
            changed: Notify::new(),
            gathering: tokio::sync::Mutex::default(),
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
        self.lock().journal.add(event);
    }

    /// The document in force.
    pub fn accepted(&self) -> Option<Accepted> {
        self.lock().accepted.clone()
    }

    /// Gathers and puts into force what was shown, if it is later than what is in force.
    pub async fn learn<S: Source>(&self, shown: VersionedHash, source: &S) -> Result<(), Error> {
        if self.judge(shown) != Comparison::Newer {
            return Ok(());
        }
        // Whoever gathers now puts a later version into force as well, or this one is shown again.
        let Ok(_gathering) = self.gathering.try_lock() else { return Ok(()) };
        let known = self.accepted().map(|accepted| accepted.parts);
        let mut gathered = Parts::gather(shown.document, known.as_deref(), source).await;
        if let Err(parts::Error::Mismatch(hash)) = gathered {
            self.record(Kind::Corrupt, format!("part {hash}"), "fetching the whole again");
            gathered = Parts::gather(shown.document, None, source).await;
        }
        let gathered = gathered?;
        let environment = self.settings.environment.as_str();
        let accepted = Accepted::new(shown.version, environment, gathered.parts)?;
        let (parts, bytes) = (gathered.fetched_parts, gathered.fetched_bytes);
        self.put_in_force(accepted, format!("{parts} parts, {bytes} bytes"));
        Ok(())
    }

    /// Puts a document into force whose parts are at hand, if it is later.
    pub fn take_over(&self, shown: VersionedHash, parts: Parts) -> Result<(), Error> {
        if self.judge(shown) == Comparison::Newer {
            let environment = self.settings.environment.as_str();
            let accepted = Accepted::new(shown.version, environment, parts)?;
            self.put_in_force(accepted, "accepted here".to_owned());
        }
        Ok(())
    }

    /// Judges what was shown; a contradiction is recorded once.
    fn judge(&self, shown: VersionedHash) -> Comparison {
        let (lesson, first) = {
            let mut inner = self.lock();
            let lesson = inner.standing.compare(shown);
            (lesson, lesson == Comparison::Conflict && inner.corrupt.insert(shown.document))
        };
        if first {
            let detail = format!("{} was shown and is ignored", shown.document);
            self.record(Kind::Corrupt, shown.version.to_string(), detail);
        }
        lesson
    }

    fn put_in_force(&self, accepted: Accepted, detail: String) {
        let shown = VersionedHash { version: accepted.version, document: accepted.hash };
        {
            let mut inner = self.lock();
            if inner.standing.advance(shown) != Comparison::Newer {
                return;
            }
            inner.accepted = Some(accepted);
        }
        self.record(Kind::InForce, shown.version.to_string(), detail);
        self.changed.notify_one();
        self.registry.wake();
    }

    /// Takes note that the store has told what is in force.
    pub fn note_store_told(&self) {
        let first = !std::mem::replace(&mut self.lock().store_told, true);
        if first {
            self.changed.notify_one();
        }
    }

    /// Whether this host may serve: a document is in force, and either the store has told of the
    /// latest one or every peer that answers had the time to.
    pub fn is_ready(&self) -> bool {
        let learned = self.clock.now() >= Instant::ZERO + LEARN_TIME;
        let inner = self.lock();
        inner.accepted.is_some() && (inner.store_told || learned)
    }

    /// Takes note of a sign that a server is leaving.
    pub fn note_leaving(&self, identity: Identity) {
        let subject = identity.name.to_string();
        let detail = format!("incarnation {}", identity.incarnation);
        let first = self.lock().signs.note(identity, self.clock.now());
        if first {
            self.record(Kind::ServerLeaving, subject, detail);
            self.changed.notify_one();
            self.registry.wake();
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
    /// Parts of the document could not be had.
    Parts(parts::Error),
}

impl From<parts::Error> for Error {
    fn from(error: parts::Error) -> Error {
        Error::Parts(error)
    }
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
            Error::Parts(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
