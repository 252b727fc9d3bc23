//! Serves the store's changes that one host of a zone reads to the other hosts; see
//! [`oleanderspan::entry::journal`].

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use http::{Response, StatusCode};
use oleanderspan::{
    entry::{
        self, Lag, Version,
        journal::{Entry, Journal, Next},
        lag::Missing,
        roster::Peer,
    },
    prelude::*,
};
use tokio::sync::watch;

use crate::{
    clock::Monotonic,
    gateway::{
        State,
        message::{self, Change, FOLLOW_PATH, Follow},
        source::{Page, Topic},
        state::Shared,
    },
    http::{Body, header as names},
};

/// Additional time after [`Topic::feed_timeout`] for the response to arrive. A host that takes
/// longer is too busy to read for others.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// How long a host whose latest answer of the store no longer counts waits for the next one before
/// it sends those that ask it to the store.
const EXPIRY_GRACE: Duration = Duration::from_millis(200);

/// How long a host waits for the store's answer when another one asks for changes that come before
/// its journal.
const REREAD_TIMEOUT: Duration = Duration::from_millis(500);

/// The journal of one topic, and the long polls that wait for its changes.
#[derive(Debug)]
pub struct Feed {
    journal: watch::Sender<Journal<Bytes>>,
    /// When the store, or the host that reads it, last answered this host, in nanoseconds.
    answered_nanos: AtomicU64,
    lag: watch::Sender<Lag>,
    /// The version after which another host needs changes that come before the journal.
    needed: watch::Sender<Option<Version>>,
}

impl Default for Feed {
    fn default() -> Feed {
        Feed {
            journal: watch::Sender::new(Journal::default()),
            answered_nanos: AtomicU64::new(Instant::ZERO.as_nanos()),
            lag: watch::Sender::default(),
            needed: watch::Sender::default(),
        }
    }
}

impl Feed {
    fn record_answer(&self, version: Version, latest: u64, now: Instant) {
        self.answered_nanos.store(now.as_nanos(), Ordering::Relaxed);
        let latest = Version { number: latest, ..version };
        self.lag.send_modify(|lag| lag.advance(version, latest));
    }

    /// Waits until this host has missed a change for so long that its own poll must have failed
    /// without a sign, and returns the change. The time then starts again.
    pub async fn wait_until_late(&self, max_lag: Duration, clock: Monotonic) -> Missing {
        let mut lag = self.lag.subscribe();
        loop {
            let missing = lag.borrow_and_update().missing().cloned();
            let now = clock.now();
            let waits = missing.as_ref().map(|missing| missing.due_at(max_lag).since(now));
            if let (Some(missing), Some(Duration::ZERO)) = (missing, waits) {
                self.lag.send_modify(|lag| lag.retry(now));
                return missing;
            }
            let changed = lag.changed();
            match waits {
                // Fails only if the sender is gone, which `self` owns.
                None => drop(changed.await),
                Some(waits) => drop(tokio::time::timeout(waits, changed).await),
            }
        }
    }

    /// Waits until another host needs changes before `position` of the same era, and returns the
    /// version after which it needs them.
    pub async fn wait_until_needed(&self, position: Version) -> Version {
        let mut needed = self.needed.subscribe();
        loop {
            // Taken at once, as each request costs one call of the store.
            let earlier = self
                .needed
                .borrow()
                .filter(|needed| needed.era == position.era && *needed < position);
            if let Some(earlier) = earlier {
                self.needed.send_replace(None);
                return earlier;
            }
            // Fails only if the sender is gone, which `self` owns.
            let _ = needed.changed().await;
        }
    }

    /// Whether the journal is of the same era as `version`. Changes are handed on within one era only.
    fn is_in_era(&self, version: Version) -> bool {
        self.journal.borrow().version().is_some_and(|reached| reached.era == version.era)
    }

    /// Asks the task that follows the store to read the changes after a version once more, and waits
    /// until the journal has them.
    async fn reread(&self, after: Version, clock: Monotonic) -> Next<Bytes> {
        let mut journal = self.journal.subscribe();
        self.needed.send_modify(|needed| {
            *needed = Some(needed.map_or(after, |needed| needed.min(after)));
        });
        let has_changes = |journal: &Journal<Bytes>| {
            !matches!(journal.next(after, clock.now()), Next::Truncated | Next::Inactive)
        };
        let next = tokio::time::timeout(REREAD_TIMEOUT, journal.wait_for(has_changes)).await;
        match next {
            Ok(Ok(journal)) => journal.next(after, clock.now()),
            // The sender of the journal, which `self` owns, is never gone.
            Ok(Err(_)) | Err(_) => Next::Truncated,
        }
    }

    /// Time since the last answer, or since the start of this process if there was none.
    pub fn silence(&self, now: Instant) -> Duration {
        now.since(Instant::from_nanos(self.answered_nanos.load(Ordering::Relaxed)))
    }

    /// Appends the next changes that this host has read from the store, or the answer that there
    /// are none; it counts until `valid_until`.
    pub fn push(&self, entry: Entry<Bytes>, valid_until: Instant) {
        self.journal.send_modify(|journal| journal.push(entry, valid_until));
    }

    /// Restarts the journal at `version` after this host has read the topic in full. The answer
    /// counts until `valid_until`.
    pub fn restart(&self, version: Version, valid_until: Instant) {
        self.journal.send_modify(|journal| journal.reset(version, valid_until));
    }

    /// Deactivates the journal, because this host no longer reads the topic or the store does not
    /// answer. Pending long polls end.
    pub fn stop(&self) {
        self.journal.send_if_modified(Journal::stop);
    }

    /// Waits up to `timeout` for the changes after a version, but no longer than the latest answer
    /// of the store counts.
    async fn next(&self, after: Version, timeout: Duration, clock: Monotonic) -> Next<Bytes> {
        let mut journal = self.journal.subscribe();
        let began = clock.now();
        loop {
            let now = clock.now();
            let (next, valid_until) = {
                let journal = journal.borrow_and_update();
                (journal.next(after, now), journal.valid_until())
            };
            let ends = match (&next, valid_until) {
                (Next::UpToDate, Some(valid_until)) => valid_until.min(began + timeout),
                // A change reaches all hosts at about the same time, so another one may ask for the
                // next change before this host has read the current one.
                (Next::Inactive, Some(valid_until)) => valid_until.max(began) + EXPIRY_GRACE,
                _ => return next,
            };
            if now >= ends {
                return next;
            }
            let changed = tokio::time::timeout(ends.since(now), journal.changed()).await;
            if let Ok(Err(_)) = changed {
                // Unreachable: `self` owns the sender.
                return Next::Inactive;
            }
        }
    }
}

/// Records that the store, or the host that reads it, has answered this host: it has read the topic
/// up to `version`, and `latest` is the number of the latest change in the answer, or 0.
///
/// A poll for another topic may stay open although the store has started a new era meanwhile, which
/// this answer shows.
pub fn record_answer(state: &Shared, topic: Topic, version: Version, latest: u64) {
    let now = state.clock.now();
    state.feed(topic).record_answer(version, latest, now);
    let era_start = Version { number: 0, ..version };
    for other in Topic::ALL.into_iter().filter(|other| *other != topic) {
        let lag = &state.feed(other).lag;
        lag.send_if_modified(|lag| lag.record_report(&state.settings.host, era_start, now));
    }
}

/// The latest changes that this host has read, for other hosts.
pub fn latest_changes(state: &Shared) -> Vec<Change> {
    let change = |topic: Topic| {
        let Version { era, number: version } = state.feed(topic).lag.borrow().latest();
        (version > 0).then(|| Change { topic: topic.as_str().to_owned(), version, era })
    };
    Topic::ALL.into_iter().filter_map(change).collect()
}

/// Records the latest changes that another host has read.
pub fn record_changes(state: &Shared, host: &entry::Name, changes: &[Change]) {
    let now = state.clock.now();
    for change in changes {
        let topic = Topic::ALL.into_iter().find(|topic| topic.as_str() == change.topic);
        let Some(topic) = topic else { continue };
        let version = Version { era: change.era, number: change.version };
        state.feed(topic).lag.send_if_modified(|lag| lag.record_report(host, version, now));
    }
}

/// Answers another host's long poll for changes: 200 with the next page, 204 if there are none yet,
/// 410 if they are no longer available, and 503 if this host does not read the topic.
pub async fn serve<G>(state: &State, follow: &Follow) -> Response<Body<G>> {
    let topic = Topic::ALL.into_iter().find(|topic| topic.as_str() == follow.topic);
    let after = Version { era: follow.era, number: follow.after };
    let next = match topic {
        Some(topic) => {
            let feed = state.feed(topic);
            match feed.next(after, topic.feed_timeout(), state.clock).await {
                // The store may be silent to the host that asks, but not to this one.
                Next::Truncated if feed.is_in_era(after) => feed.reread(after, state.clock).await,
                next => next,
            }
        }
        None => Next::Inactive,
    };
    let (status, body) = match &next {
        Next::Entry(entry) => (StatusCode::OK, entry.page.clone()),
        Next::UpToDate => (StatusCode::NO_CONTENT, Bytes::new()),
        Next::Truncated => (StatusCode::GONE, Bytes::new()),
        Next::Inactive => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    if let Next::Entry(entry) = next {
        let version = names::value(&entry.version.number.to_string());
        response.headers_mut().insert(names::VERSION, version);
    }
    response
}

/// Fetches the changes after version `after` from the host that reads the topic, or `None` if there
/// are none yet.
pub async fn fetch(
    state: &State,
    reader: &Peer,
    topic: Topic,
    after: Version,
) -> Result<Option<Page>, Error> {
    let Version { era, number } = after;
    let follow = Follow { topic: topic.as_str().to_owned(), after: number, era };
    let request = message::request(reader.address, FOLLOW_PATH, &follow);
    let request = request.map_err(|error| Error::Unavailable(error.to_string()))?;
    let received =
        state.peer_client.call_with_head(request, topic.feed_timeout() + RESPONSE_MARGIN).await;
    let (head, bytes) = received.map_err(|error| Error::Unavailable(error.to_string()))?;
    match head.status {
        StatusCode::OK => {
            let version = names::number(&head.headers, &names::VERSION);
            let version = version
                .ok_or_else(|| Error::Malformed("response has no version header".to_owned()))?;
            // Changes are handed on within one era only.
            Ok(Some(Page { version: Version { era, number: version }, bytes }))
        }
        StatusCode::NO_CONTENT => Ok(None),
        StatusCode::GONE => Err(Error::Truncated),
        status => Err(Error::Unavailable(format!("status {status}"))),
    }
}

/// Why changes could not be fetched from another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The host did not answer, or does not read the topic.
    Unavailable(String),
    /// The host no longer has changes that old.
    Truncated,
    /// The response could not be decoded.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unavailable(reason) => write!(f, "host did not serve changes: {reason}"),
            Error::Truncated => f.write_str("the host no longer has the requested changes"),
            Error::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
