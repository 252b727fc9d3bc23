//! Follows a topic of the platform's store: from the store itself, from the host that reads it for
//! the zone, or from any host that has read a later change.

use futures_util::{StreamExt, stream::FuturesUnordered};
use oleanderspan::{
    entry::{
        self, Version,
        journal::Entry,
        lag::Missing,
        membership::jitter,
        roster::{Candidate, Peer},
    },
    prelude::*,
};
use slog::{info, warn};

use crate::{
    clock::ThreadRandom,
    gateway::{
        Source, State, feed,
        source::{Error, Page, Row, Rows, Topic},
    },
};

/// The interval between calls for a whole topic while none of them is answered. A store that was
/// silent answers only calls sent after that, and a slow one still answers the first.
const RESEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum time for which a long poll stays open at the store.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// The delay before the first retry after a failed call to the store.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest delay between retries, so that a recovery of the store is noticed within a second.
pub const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long this host reads from the store itself after the host that reads for it has failed.
const DIRECT_READ_PERIOD: Duration = Duration::from_millis(3_000);

/// Rows of a topic and where this host has them from.
#[derive(Debug)]
pub struct Update<'a> {
    /// The rows, in the order of the store's answer.
    pub rows: Vec<Row>,
    /// The store's version that the rows reflect.
    pub version: Version,
    /// Whether the rows are the whole topic rather than changes.
    pub is_full: bool,
    /// Whether the store has come back from an older copy, so that rows may be missing.
    pub is_restored: bool,
    /// The host that read the rows from the store, for logs; `None` for this host.
    pub reader: Option<&'a entry::Name>,
}

/// Reads a topic in full and then follows its changes; never returns.
pub async fn follow<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    apply: impl Fn(&State, Update<'_>),
) {
    let mut follower = Follower::new(state, source, topic);
    loop {
        follower.step(&apply).await;
    }
}

/// The progress of this host in following a topic.
struct Follower<'a, S> {
    state: &'a State,
    source: &'a S,
    topic: Topic,
    /// Up to where the topic has been read; `None` if it must be read in full.
    position: Option<Version>,
    /// The era of the latest full read.
    era: Option<u64>,
    /// Since when the store has not answered this host. Until it does, the store is asked for the
    /// whole topic, which it answers at once, while a long poll would return with the next change.
    unavailable_since: Option<Instant>,
    backoff: Duration,
    /// Until when the host that reads for the zone is not asked.
    direct_until: Instant,
    /// The host that has read a later change, to be asked once.
    hint: Option<entry::Name>,
    /// How long this host has waited since the store's latest answer.
    pause: Duration,
    /// Whether the store has told of changes, or a call was given up, since the latest poll that
    /// ended without changes. Further changes are likely then, and other hosts ask for them at the
    /// same moment, so that all of their polls may be lost together.
    is_active: bool,
}

impl<'a, S: Source> Follower<'a, S> {
    fn new(state: &'a State, source: &'a S, topic: Topic) -> Follower<'a, S> {
        Follower {
            state,
            source,
            topic,
            position: None,
            era: None,
            unavailable_since: None,
            backoff: MIN_BACKOFF,
            direct_until: Instant::ZERO,
            hint: None,
            pause: Duration::ZERO,
            is_active: true,
        }
    }

    /// Reads the next changes from another host or from the store.
    async fn step(&mut self, apply: &impl Fn(&State, Update<'_>)) {
        if let Some(after) = self.position {
            let hinted = self.hint.take();
            let hinted = hinted.and_then(|host| self.state.view().roster.peer(&host).cloned());
            if let Some(peer) = hinted {
                if self.read_from_peer(&peer, after, apply).await {
                    return;
                }
            } else if let Some(reader) = self.reader() {
                self.state.feed(self.topic).stop();
                if !self.read_from_peer(&reader, after, apply).await {
                    self.direct_until = self.state.clock.now() + DIRECT_READ_PERIOD;
                } else if let Some(since) = self.unavailable_since.take() {
                    self.log_recovery(since, "another host reads it");
                }
                return;
            }
        }
        self.read_from_store(apply).await;
    }

    /// Reads the changes after a version from another host; returns whether it had an answer.
    async fn read_from_peer(
        &mut self,
        peer: &Peer,
        after: Version,
        apply: &impl Fn(&State, Update<'_>),
    ) -> bool {
        let (state, topic) = (self.state, self.topic);
        let read = fetch(state, self.source, topic, after, peer);
        match self.unless_late(after, self.max_lag(), read).await {
            Some(Ok((version, rows))) => {
                self.position = Some(version);
                feed::record_answer(state, topic, version, rows.latest);
                let (is_full, is_restored, reader) = (false, false, Some(&peer.name));
                apply(state, Update { rows: rows.rows, version, is_full, is_restored, reader });
                true
            }
            Some(Err(reason)) => {
                info!(state.log, "cannot read changes from peer; reading from the store";
                    "topic" => topic.as_str(),
                    "reader" => %peer.name, "reason" => %reason);
                false
            }
            None => false,
        }
    }

    async fn read_from_store(&mut self, apply: &impl Fn(&State, Update<'_>)) {
        let (state, topic) = (self.state, self.topic);
        let began = state.clock.now();
        let wait = self.poll_timeout();
        let after = self.position.filter(|_| self.unavailable_since.is_none());
        let read = call(state, self.source, topic, after, wait);
        let max_lag = self.max_lag();
        let read = async {
            match self.position {
                Some(position) => self.unless_late(position, max_lag, read).await,
                None => Some(read.await),
            }
        };
        let read = unless_lost(state, topic, began, read);
        let read = tokio::select! {
            biased;
            read = read => read,
            earlier = needed_by_others(state, topic, after) => {
                info!(state.log, "another host lacks changes before the journal; reading them again";
                    "topic" => topic.as_str(), "after" => earlier.number, "era" => earlier.era);
                self.position = Some(earlier);
                return;
            }
        };
        match read {
            Some(Ok(Answer { sent_at, version, rows })) => {
                self.backoff = MIN_BACKOFF;
                if let Some(since) = self.unavailable_since.take() {
                    self.log_recovery(since, "it answers this host");
                    accept_missing_servers(state);
                    state.silence.send_modify(|silence| silence.record_end(sent_at));
                }
                self.is_active = !rows.rows.is_empty();
                let is_restored = self.record_era(version);
                self.position = Some(version);
                feed::record_answer(state, topic, version, rows.latest);
                // Lets further changes accumulate: each batch costs every reading host one call.
                let has_waited = state.clock.now().since(began) >= wait;
                self.pause = match rows.rows.is_empty() && has_waited {
                    true => Duration::ZERO,
                    false => topic.batch_interval(state.view().roster.expected_readers() + 1),
                };
                let (is_full, reader) = (after.is_none(), None);
                apply(state, Update { rows: rows.rows, version, is_full, is_restored, reader });
                tokio::time::sleep(self.pause).await;
            }
            Some(Err(Error::HistoryTruncated)) => {
                info!(state.log, "store cannot resume the topic; reading it in full";
                    "topic" => topic.as_str(),
                    "version" => after.map(|version| version.number),
                    "reason" => "the store no longer has the changes since that version");
                self.position = None;
            }
            Some(Err(Error::Unavailable(reason))) => {
                state.feed(topic).stop();
                // The store may still answer the host that reads for the zone.
                self.direct_until = self.direct_until.min(state.clock.now());
                if self.unavailable_since.is_none() {
                    warn!(state.log, "store does not answer"; "topic" => topic.as_str(),
                        "reason" => reason);
                    self.unavailable_since = Some(state.clock.now());
                }
                tokio::time::sleep(jitter(self.backoff, &mut ThreadRandom)).await;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
            None => self.is_active = true,
        }
    }

    /// Waits for an answer, or returns `None` once other hosts have read a later change for so long
    /// that this host's own call must have failed without a sign.
    async fn unless_late<T>(
        &mut self,
        position: Version,
        max_lag: Duration,
        read: impl Future<Output = T>,
    ) -> Option<T> {
        let (state, topic) = (self.state, self.topic);
        let missing = tokio::select! {
            biased;
            read = read => return Some(read),
            missing = state.feed(topic).wait_until_late(max_lag, state.clock) => missing,
        };
        let Missing { version, host, retries, .. } = missing;
        info!(state.log, "another host has read a later change; asking it and the store again";
            "topic" => topic.as_str(), "version" => position.number, "era" => position.era,
            "later" => version.number, "later_era" => version.era, "host" => %host,
            "retries" => retries);
        self.direct_until = state.clock.now() + DIRECT_READ_PERIOD;
        // Changes cannot be followed into a later era.
        self.position = self.position.filter(|position| position.era == version.era);
        self.hint = Some(host);
        None
    }

    /// The host that reads the topic on behalf of this one, or `None` if this host reads the store
    /// itself.
    fn reader(&self) -> Option<Peer> {
        let now = self.state.clock.now();
        if now < self.direct_until {
            return None;
        }
        let settings = &self.state.settings;
        let (name, zone, millicores) = (&settings.host, settings.zone, settings.millicores);
        let own = Candidate { name, zone, millicores };
        self.state.view().roster.reader(own, self.topic.as_str(), now).cloned()
    }

    /// How long the next poll stays open at the store. In a zone with a shared reader it is short,
    /// so that the reader can vouch for the store, and the others return to the reader. Elsewhere
    /// one host of the region confirms that the store answers, and reports if it did not.
    fn poll_timeout(&self) -> Duration {
        let settings = &self.state.settings;
        let now = self.state.clock.now();
        let view = self.state.view();
        let roster = &view.roster;
        if roster.shares_reader(settings.zone, now) {
            let interval = self.topic.confirmation_interval();
            return interval.saturating_sub(self.pause).max(MIN_POLL_TIMEOUT);
        }
        let confirms = self.topic == Topic::Operator && roster.confirms_store(&settings.host, now);
        self.topic.poll_timeout(self.is_active || confirms || roster.is_alone(now))
    }

    /// How long this host waits for a change that another host has already read.
    fn max_lag(&self) -> Duration {
        self.topic.max_lag(self.state.view().roster.expected_readers() + 1)
    }

    /// Returns whether the store has started a new era since the last answer, with rows missing
    /// that it had before.
    fn record_era(&mut self, version: Version) -> bool {
        let before = self.era.replace(version.era);
        let is_restored = before.is_some_and(|before| before != version.era);
        if is_restored {
            info!(self.state.log, "store came back from an older copy";
                "topic" => self.topic.as_str(), "era" => version.era,
                "version" => version.number);
            if self.topic == Topic::Servers {
                accept_missing_servers(self.state);
            }
        }
        is_restored
    }

    fn log_recovery(&self, since: Instant, reason: &'static str) {
        let outage = self.state.clock.now().since(since);
        info!(self.state.log, "store answers again"; "topic" => self.topic.as_str(),
            "reason" => reason, "away_ms" => outage.as_millis());
    }
}

/// Waits until another host needs changes before the position of this host's poll, and returns the
/// version after which it needs them. A call for the whole topic is not interrupted.
async fn needed_by_others(state: &State, topic: Topic, position: Option<Version>) -> Version {
    match position {
        Some(position) => state.feed(topic).wait_until_needed(position).await,
        None => std::future::pending().await,
    }
}

/// Lets servers that the store does not list stay in use until they have had the time to register
/// again.
fn accept_missing_servers(state: &State) {
    state.update(|view, now| {
        view.listing.store_recovered(now);
        false
    });
}

/// Waits for an answer to a call sent at `sent_at`, or returns `None` once the store is known to
/// have been silent since.
async fn unless_lost<T>(
    state: &State,
    topic: Topic,
    sent_at: Instant,
    answer: impl Future<Output = Option<T>>,
) -> Option<T> {
    let mut silence = state.silence.subscribe();
    tokio::select! {
        biased;
        answer = answer => answer,
        // Fails only if the sender is gone, which `state` owns.
        _ = silence.wait_for(|silence| silence.may_have_lost(sent_at)) => {
            info!(state.log, "store was silent meanwhile; repeating the call";
                "topic" => topic.as_str(),
                "waited_ms" => state.clock.now().since(sent_at).as_millis());
            None
        }
    }
}

/// An answer of the store.
struct Answer {
    /// When the call that it answers was sent.
    sent_at: Instant,
    version: Version,
    rows: Rows,
}

/// Reads all rows of a topic, and asks again while there is no answer. Returns the first answer and
/// when its call was sent.
async fn list<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
) -> (Instant, Result<Vec<Page>, Error>) {
    let mut calls = FuturesUnordered::new();
    loop {
        let sent_at = state.clock.now();
        calls.push(async move { (sent_at, source.list(topic).await) });
        // The first call ends by its own time-out at the latest, which bounds their number.
        if let Ok(Some(answer)) = tokio::time::timeout(RESEND_INTERVAL, calls.next()).await {
            return answer;
        }
    }
}

/// Reads a topic in full if `after` is `None`, otherwise its changes since that version, and
/// publishes them to the other hosts of the zone.
async fn call<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    after: Option<Version>,
    wait: Duration,
) -> Result<Answer, Error> {
    let Some(after) = after else {
        let (sent_at, pages) = list(state, source, topic).await;
        let pages = pages?;
        let version = pages.first().map_or(Version::default(), |page| page.version);
        if pages.iter().any(|page| page.version.era != version.era) {
            return Err(Error::HistoryTruncated);
        }
        let mut rows = Rows::default();
        for page in pages {
            let page = source.decode(topic, &page.bytes)?;
            rows.rows.extend(page.rows);
            rows.latest = rows.latest.max(page.latest);
        }
        state.feed(topic).restart(version, state.clock.now() + topic.confirmation_validity());
        return Ok(Answer { sent_at, version, rows });
    };
    let sent_at = state.clock.now();
    let page = source.follow(topic, after.number, wait).await?;
    // The store has come back from an older copy. Its numbers may have passed the one asked for, so
    // that the page lacks the changes below it.
    if page.version.era != after.era {
        return Err(Error::HistoryTruncated);
    }
    let rows = source.decode(topic, &page.bytes)?;
    let version = page.version;
    let entry = Entry { after, version, page: page.bytes };
    state.feed(topic).push(entry, state.clock.now() + topic.confirmation_validity());
    Ok(Answer { sent_at, version, rows })
}

/// Fetches the changes after a version from another host.
async fn fetch<S: Source>(
    state: &State,
    source: &S,
    topic: Topic,
    after: Version,
    peer: &Peer,
) -> Result<(Version, Rows), feed::Error> {
    let Some(page) = feed::fetch(state, peer, topic, after).await? else {
        return Ok((after, Rows::default()));
    };
    let rows = source.decode(topic, &page.bytes);
    let rows = rows.map_err(|error| feed::Error::Malformed(error.to_string()))?;
    Ok((page.version, rows))
}
