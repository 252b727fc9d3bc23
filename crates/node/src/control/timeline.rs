//! Timeline: events of this host's processes, kept in memory, stored in batches, and merged over
//! all hosts on demand; see `docs/operators/timeline.md`.

use std::collections::VecDeque;

use futures_util::{StreamExt, stream};
use http::Response;
use oleanderspan::{
    event::{self, Event},
    prelude::*,
};
use slog::{debug, warn};

use crate::{
    clock::wall_millis,
    codec,
    control::{State, exchange, peer_query, source::MAX_OBJECTS_AT_ONCE},
    http::Body,
    store, wire,
};

/// Maximum number of recent events kept in memory.
const MAX_RECENT_EVENTS: usize = 10_000;

/// Maximum number of events waiting to be stored; beyond it, the oldest are dropped.
const MAX_UNSAVED_EVENTS: usize = 10_000;

/// Maximum number of events in a batch.
const MAX_BATCH_EVENTS: usize = 2_000;

/// Mean interval between two batches, which limits the write rate of a host.
const BATCH_INTERVAL: Duration = Duration::from_secs(5);

/// Batches are stored in one folder for each hour.
const MILLIS_PER_HOUR: u64 = 3_600_000;

/// Events of the processes of this host.
#[derive(Debug, Default)]
pub struct Journal {
    recent: VecDeque<Event>,
    unsaved: VecDeque<Event>,
    dropped: u64,
    batches: u64,
}

/// Events that are stored together. A retry has the same name and content, so it is idempotent.
#[derive(Clone, Debug)]
struct Batch {
    name: String,
    bytes: Vec<u8>,
}

/// Timeline merged from the hosts that answered.
#[derive(Debug)]
pub struct Merged {
    /// Events, sorted by time stamp.
    pub events: Vec<Event>,
    /// Peer addresses of hosts that did not answer.
    pub silent: Vec<SocketAddr>,
}

impl Journal {
    /// Adds an event to the recent ones and to those waiting to be stored.
    pub fn add(&mut self, event: Event) {
        if self.recent.len() == MAX_RECENT_EVENTS {
            self.recent.pop_front();
        }
        if self.unsaved.len() == MAX_UNSAVED_EVENTS {
            self.unsaved.pop_front();
            self.dropped += 1;
        }
        self.recent.push_back(event.clone());
        self.unsaved.push_back(event);
    }

    /// The recent events, in the order in which they were added.
    pub fn recent(&self) -> Vec<Event> {
        self.recent.iter().cloned().collect()
    }

    /// Number of events that were dropped before they could be stored.
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    fn next_batch(&mut self, folder: &str) -> Option<Batch> {
        if self.unsaved.is_empty() {
            return None;
        }
        let count = self.unsaved.len().min(MAX_BATCH_EVENTS);
        let events: Vec<wire::EventRecord> =
            self.unsaved.drain(..count).map(|event| wire::EventRecord::from(&event)).collect();
        self.batches += 1;
        let name = format!("{folder}-{}", self.batches);
        Some(Batch { name, bytes: codec::to_wire(&events).ok()? })
    }
}

/// Stores batches without end. While the store is unavailable, one batch is retried and later
/// events wait.
pub async fn run(state: State) {
    let mut unsaved_batch = None;
    loop {
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(BATCH_INTERVAL.mul_f64(jitter)).await;
        unsaved_batch = save(&state, unsaved_batch).await;
    }
}

/// Stores one batch of the remaining events at a planned stop, with one attempt.
pub async fn flush(state: &State) {
    if save(state, None).await.is_some() {
        warn!(state.log, "storing the last timeline events failed at shutdown; they are lost");
    }
}

/// Stores `unsaved_batch`, or else the next one; returns the batch if it could not be stored.
async fn save(state: &State, unsaved_batch: Option<Batch>) -> Option<Batch> {
    let batch = unsaved_batch.or_else(|| next_batch(state))?;
    match state.store.put(&batch.name, batch.bytes.clone()).await {
        Ok(()) => None,
        Err(error) => {
            let dropped = state.lock().journal.dropped();
            debug!(state.log, "storing timeline events failed; the batch will be retried";
                "error" => %error, "dropped" => dropped);
            Some(batch)
        }
    }
}

fn next_batch(state: &State) -> Option<Batch> {
    let hour = folder(state, wall_millis() / MILLIS_PER_HOUR);
    let folder = format!("{hour}{}-{}", state.settings.host.name, state.registry.incarnation().0);
    state.lock().journal.next_batch(&folder)
}

fn folder(state: &State, hour: u64) -> String {
    format!("timeline/{}/{hour}/", state.settings.environment)
}

/// Adds events that the entry daemon of this host sent; events of unknown kinds are skipped.
pub fn add_events(state: &State, events: Vec<wire::EventRecord>) {
    for event in events.into_iter().filter_map(|event| Event::try_from(event).ok()) {
        state.hybrid.observe(event.stamp);
        state.lock().journal.add(event);
    }
}

/// Answers with the recent events of this host.
pub fn answer(state: &State) -> Response<Body> {
    let events = state.lock().journal.recent();
    exchange::wire_response(&events.iter().map(wire::EventRecord::from).collect::<Vec<_>>())
}

/// Merges the recent events of all hosts and the stored events of the last `stored_hours`, the
/// current hour included. Fails if stored events cannot be read.
pub async fn merge(state: &State, stored_hours: u64) -> Result<Merged, store::Error> {
    let answers = peer_query::query_all::<Vec<wire::EventRecord>>(state, "/events").await;
    let mut merged = Merged { events: Vec::new(), silent: Vec::new() };
    let mut batches = vec![state.lock().journal.recent()];
    for answer in answers {
        match answer.value {
            Some(events) => batches.push(parse_events(events)),
            None => merged.silent.push(answer.address),
        }
    }
    let now = wall_millis() / MILLIS_PER_HOUR;
    for hour in (now + 1).saturating_sub(stored_hours)..=now {
        if stored_hours > 0 {
            batches.append(&mut stored_batches(state, hour).await?);
        }
    }
    merged.events = event::merge(batches);
    Ok(merged)
}

async fn stored_batches(state: &State, hour: u64) -> Result<Vec<Vec<Event>>, store::Error> {
    let names = state.store.object_names(&folder(state, hour)).await?;
    let read = stream::iter(names).map(async |name| state.store.get(&name).await);
    let found: Vec<_> = read.buffered(MAX_OBJECTS_AT_ONCE).collect().await;
    let mut batches = Vec::new();
    for bytes in found {
        let Some(bytes) = bytes? else { continue };
        batches.push(parse_events(codec::from_wire(&bytes)?));
    }
    Ok(batches)
}

/// Decodes events; those of kinds that this build does not know are skipped.
fn parse_events(events: Vec<wire::EventRecord>) -> Vec<Event> {
    events.into_iter().filter_map(|event| Event::try_from(event).ok()).collect()
}
