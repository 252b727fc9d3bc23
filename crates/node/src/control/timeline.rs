//! The time line: events of this host's processes, kept in memory, stored in batches, and merged
//! over all hosts on demand; see `docs/operators/timeline.md`.

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
    control::{State, exchange, source::MAX_OBJECTS_AT_ONCE, survey},
    http::Body,
    store, wire,
};

/// Recent events that are kept in memory.
const MAX_RECENT: usize = 10_000;

/// Events that wait for the store; more are dropped, the oldest first.
const MAX_UNSAVED: usize = 10_000;

/// The most events in one batch.
const MAX_BATCH: usize = 2_000;

/// The mean time between two batches, which bounds the writes of a host.
const BATCH_INTERVAL: Duration = Duration::from_secs(5);

/// Milliseconds in the hour that names a folder of batches.
const HOUR_MILLIS: u64 = 3_600_000;

/// The events of a host.
#[derive(Debug, Default)]
pub struct Journal {
    recent: VecDeque<Event>,
    unsaved: VecDeque<Event>,
    dropped: u64,
    batches: u64,
}

/// Events that are stored together; a repetition has the same name and content.
#[derive(Clone, Debug)]
struct Batch {
    name: String,
    bytes: Vec<u8>,
}

/// The time line as far as it could be had.
#[derive(Debug)]
pub struct Merged {
    /// The events in their order.
    pub events: Vec<Event>,
    /// Peers that did not answer.
    pub silent: Vec<SocketAddr>,
}

impl Journal {
    /// Keeps an event.
    pub fn add(&mut self, event: Event) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        if self.unsaved.len() == MAX_UNSAVED {
            self.unsaved.pop_front();
            self.dropped += 1;
        }
        self.recent.push_back(event.clone());
        self.unsaved.push_back(event);
    }

    /// Recent events.
    pub fn recent(&self) -> Vec<Event> {
        self.recent.iter().cloned().collect()
    }

    /// Events that were dropped before they could be stored.
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    fn next_batch(&mut self, folder: &str) -> Option<Batch> {
        if self.unsaved.is_empty() {
            return None;
        }
        let count = self.unsaved.len().min(MAX_BATCH);
        let events: Vec<wire::EventRecord> =
            self.unsaved.drain(..count).map(|event| wire::EventRecord::from(&event)).collect();
        self.batches += 1;
        let name = format!("{folder}-{}", self.batches);
        Some(Batch { name, bytes: codec::to_wire(&events).ok()? })
    }
}

/// Stores batches for ever; while the store is away one batch waits and further events gather.
pub async fn run(state: State) {
    let mut waiting = None;
    loop {
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(BATCH_INTERVAL.mul_f64(jitter)).await;
        waiting = save(&state, waiting).await;
    }
}

/// Stores what is left at a planned stop.
pub async fn flush(state: &State) {
    if save(state, None).await.is_some() {
        warn!(state.log, "the last events were not stored");
    }
}

/// Stores the batch that waits or the next one; returns it if it has to wait.
async fn save(state: &State, waiting: Option<Batch>) -> Option<Batch> {
    let batch = waiting.or_else(|| next_batch(state))?;
    match state.store.put(&batch.name, batch.bytes.clone()).await {
        Ok(()) => None,
        Err(error) => {
            let dropped = state.lock().journal.dropped();
            debug!(state.log, "events not stored"; "error" => %error, "dropped" => dropped);
            Some(batch)
        }
    }
}

fn next_batch(state: &State) -> Option<Batch> {
    let hour = folder(state, wall_millis() / HOUR_MILLIS);
    let folder = format!("{hour}{}-{}", state.settings.host.name, state.registry.incarnation().0);
    state.lock().journal.next_batch(&folder)
}

fn folder(state: &State, hour: u64) -> String {
    format!("timeline/{}/{hour}/", state.settings.environment)
}

/// Keeps events that the own entry daemon sent.
pub fn take_over(state: &State, events: Vec<wire::EventRecord>) {
    for event in events.into_iter().filter_map(|event| Event::try_from(event).ok()) {
        state.hybrid.observe(event.stamp);
        state.lock().journal.add(event);
    }
}

/// Answers with the recent events of this host.
pub fn answer(state: &State) -> Response<Body> {
    let events = state.lock().journal.recent();
    exchange::wire(&events.iter().map(wire::EventRecord::from).collect::<Vec<_>>())
}

/// Merges the recent events of all hosts, and the batches of the last `stored_hours`.
pub async fn merged(state: &State, stored_hours: u64) -> Result<Merged, store::Error> {
    let answers = survey::ask_all::<Vec<wire::EventRecord>>(state, "/events").await;
    let mut merged = Merged { events: Vec::new(), silent: Vec::new() };
    let mut batches = vec![state.lock().journal.recent()];
    for answer in answers {
        match answer.value {
            Some(events) => batches.push(checked(events)),
            None => merged.silent.push(answer.address),
        }
    }
    let now = wall_millis() / HOUR_MILLIS;
    for hour in (now + 1).saturating_sub(stored_hours)..=now {
        if stored_hours > 0 {
            batches.append(&mut stored(state, hour).await?);
        }
    }
    merged.events = event::merge(batches);
    Ok(merged)
}

async fn stored(state: &State, hour: u64) -> Result<Vec<Vec<Event>>, store::Error> {
    let names = state.store.object_names(&folder(state, hour)).await?;
    let read = stream::iter(names).map(async |name| state.store.get(&name).await);
    let found: Vec<_> = read.buffered(MAX_OBJECTS_AT_ONCE).collect().await;
    let mut batches = Vec::new();
    for bytes in found {
        let Some(bytes) = bytes? else { continue };
        batches.push(checked(codec::from_wire(&bytes)?));
    }
    Ok(batches)
}

/// Events that this build knows; others are left out.
fn checked(events: Vec<wire::EventRecord>) -> Vec<Event> {
    events.into_iter().filter_map(|event| Event::try_from(event).ok()).collect()
}
