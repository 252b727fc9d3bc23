//! State shared by the tasks of the entry daemon.

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

/// The snapshot type of this daemon, whose pools queue [`slot::QueuedRequest`]s.
pub type Snapshot = snapshot::Snapshot<slot::QueuedRequest>;

/// The capacity of the queue of observations for the control daemon. Further ones are dropped, as
/// the same signs will be seen again.
const OBSERVATION_QUEUE_CAPACITY: usize = 1024;

/// A handle to the shared state. Cloning is cheap.
#[derive(Clone, Debug)]
pub struct State(Arc<Shared>);

/// The state behind each [`State`] handle.
#[derive(Debug)]
pub struct Shared {
    /// The name of this host.
    pub name: entry::Name,
    /// The monotonic clock that deadlines are measured with.
    pub clock: Monotonic,
    /// HTTP/1 connections to backend servers.
    pub servers: Client,
    /// HTTP/2 connections to the relay ports of other entry daemons.
    pub peers: Client,
    /// HTTP/2 connections to the control daemon of this host.
    pub control: Client,
    /// Claims of requests that run at most once.
    pub claims: Claims,
    /// Requests that are stored and may run later.
    pub jobs: Jobs,
    /// The logger of the daemon.
    pub log: Logger,
    /// The statsd client for metrics.
    pub metrics: Arc<StatsdClient>,
    /// Counters that the request path updates.
    pub counters: Counters,
    /// The hybrid clock that timestamps events.
    pub hybrid: HybridClock,
    process: Arc<str>,
    /// The progress of a graceful shutdown.
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
    /// Creates the state of a daemon that has no snapshot yet. Fails if the metrics cannot be set
    /// up.
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
    /// The snapshot in force, or `None` until the first one has arrived.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Replaces the snapshot in force.
    pub fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Some(Arc::new(snapshot)));
    }

    /// Queues an observation for the control daemon; drops it if the queue is full.
    pub fn observe(&self, observation: wire::Observation) {
        let _ = self.observation_sender.try_send(observation);
    }

    /// Records an event in the timeline and in the log.
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
        let events = vec![wire::EventRecord::from(&event)];
        self.observe(wire::Observation { events, ..wire::Observation::default() });
    }

    /// Waits for the next observation to send to the control daemon; `None` once the queue is
    /// closed.
    pub async fn next_observation(&self) -> Option<wire::Observation> {
        self.observations.lock().await.recv().await
    }
}
