//! What the tasks of the entry daemon share.

use std::{io, sync::Arc};

use arc_swap::ArcSwapOption;
use cadence::StatsdClient;
use oleanderspan::{
    entry,
    event::{Event, HybridClock, Kind},
    snapshot,
};
use slog::{Logger, info};
use tokio::sync::mpsc;

use crate::{
    clock::{Monotonic, wall_millis},
    entry::{claims::Claims, counters::Counters, jobs::Jobs, slot, stop::Stop},
    http::client::{Client, Protocol},
    metrics,
    settings::Settings,
    store::Store,
    wire,
};

/// The snapshot that requests of this daemon read.
pub type Snapshot = snapshot::Snapshot<slot::QueuedRequest>;

/// Observations that may wait for the control daemon; more are dropped, as it will see the
/// same signs again.
const OBSERVATION_QUEUE_CAPACITY: usize = 1024;

/// What the tasks share; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct State(Arc<Shared>);

/// The one copy behind every [`State`].
#[derive(Debug)]
pub struct Shared {
    /// The name of this host.
    pub name: entry::Name,
    /// The clock of deadlines.
    pub clock: Monotonic,
    /// Connections to backend servers.
    pub servers: Client,
    /// Connections to other entry daemons.
    pub peers: Client,
    /// Connections to the own control daemon.
    pub control: Client,
    /// Claims of requests that run at most once.
    pub claims: Claims,
    /// Requests that may wait.
    pub jobs: Jobs,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Arc<StatsdClient>,
    /// What requests count.
    pub counters: Counters,
    /// The clock of events.
    pub hybrid: HybridClock,
    process: Arc<str>,
    /// How far a planned stop has come.
    pub stop: Stop,
    snapshot: ArcSwapOption<Snapshot>,
    observation_sender: mpsc::Sender<wire::Observation>,
    observations: tokio::sync::Mutex<mpsc::Receiver<wire::Observation>>,
}

impl std::ops::Deref for State {
    type Target = Shared;

    fn deref(&self) -> &Shared {
        &self.0
    }
}

impl State {
    /// The state of a daemon that has no snapshot yet.
    pub fn start(settings: &Settings, log: Logger) -> io::Result<State> {
        let (observation_sender, observations) = mpsc::channel(OBSERVATION_QUEUE_CAPACITY);
        let store = Store::new(&settings.platform);
        let host = settings.host.name.as_str();
        Ok(State(Arc::new(Shared {
            claims: Claims::start(&store, &settings.environment, host),
            jobs: Jobs::start(store, host),
            name: settings.host.name.clone(),
            clock: Monotonic::start(),
            servers: Client::new(Protocol::Http1),
            peers: Client::new(Protocol::Http2),
            control: Client::new(Protocol::Http2),
            metrics: metrics::start(settings.metrics.as_ref())?,
            counters: Counters::new(),
            log,
            hybrid: HybridClock::default(),
            process: format!("{}/entry", settings.host.name).into(),
            snapshot: ArcSwapOption::empty(),
            observation_sender,
            observations: tokio::sync::Mutex::new(observations),
            stop: Stop::default(),
        })))
    }
}

impl Shared {
    /// The snapshot in force, or `None` before the first one came.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Puts a snapshot into force.
    pub fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Some(Arc::new(snapshot)));
    }

    /// Tells the control daemon what was seen.
    pub fn observe(&self, observation: wire::Observation) {
        let _ = self.observation_sender.try_send(observation);
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
        let events = vec![wire::Happening::from(&event)];
        self.observe(wire::Observation { events, ..wire::Observation::default() });
    }

    /// The next observation for the control daemon.
    pub async fn next_observation(&self) -> Option<wire::Observation> {
        self.observations.lock().await.recv().await
    }
}
