//! What a start of a server says of itself in its answers, whatever the platform's listing says.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::ArcSwapOption;

use crate::{
    backend::server::Identity,
    entry::{self, rank},
    prelude::*,
};

/// Number of starts whose notices are kept apart from the listing. The oldest are dropped first; a
/// listed server holds its own notice.
const MAX_KEPT: usize = 4_096;

/// The longest backoff that a server may ask for. A longer one is cut to it, as the
/// sender would not notice in good time that the server wants requests again.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The ends of the times that a server asked of several hosts are moved by up to this, each by its
/// own part of it, so that they do not all come back at once.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// How long after its end the host belongs to those that return to the server, at a limited rate.
const RETURN_PERIOD: Duration = Duration::from_millis(1_000);

/// The interval between requests to one server of all hosts that return to it.
const RETURN_INTERVAL: Duration = Duration::from_millis(25);

/// Number of hosts that one server may ask for backoff. Each of them checks for itself whether it
/// must back off from the server, so that one dropped here costs only a slot given out in vain.
const MAX_BACKOFF_HOSTS: usize = 128;

/// The value of [`Notice::special_until`] once the server has said that it is leaving.
const LEAVING: u64 = u64::MAX;

key! {
    /// A host that sends requests to servers.
    pub struct Sender(u64);
}

impl From<&entry::Name> for Sender {
    fn from(host: &entry::Name) -> Sender {
        Sender(rank::weight_for_hash(0, host.as_str()))
    }
}

/// What one start of a server has said of itself. All states of that start share it, so that what
/// was said outlives a change of the entry, its removal and its return.
#[derive(Debug, Default)]
pub struct Notice {
    /// Until when the server is more than a server like any other, in nanoseconds of the clock: one
    /// atomic, so that asking costs a single load while nothing was said.
    special_until: AtomicU64,
    is_kept: AtomicBool,
    /// The hosts that must back off from the server, replaced as a whole.
    backoffs: ArcSwapOption<Vec<Backoff>>,
    /// When the next request of a host that returns may follow, in nanoseconds of the clock.
    next_return: AtomicU64,
}

/// A time for which one host sends the server nothing.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    sender: Sender,
    ends: Instant,
}

impl Backoff {
    /// Whether the time and the return after it are over.
    fn is_over(&self, now: Instant) -> bool {
        now >= self.ends + RETURN_PERIOD
    }
}

impl Notice {
    /// Records that the server is leaving, which is never undone; returns whether that is news.
    pub fn record_leaving(&self) -> bool {
        self.special_until.swap(LEAVING, Ordering::SeqCst) != LEAVING
    }

    /// Whether the server has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.special_until.load(Ordering::SeqCst) == LEAVING
    }

    /// Records that the server asked `sender` for a backoff of the time `asked`, which is bounded
    /// by [`MAX_BACKOFF`], and returns when that ends. A shorter time never takes back a longer
    /// one.
    pub fn back_off(
        &self,
        identity: &Identity,
        sender: Sender,
        asked: Duration,
        now: Instant,
    ) -> Instant {
        let steps = RETURN_SPREAD.as_millis() as u64;
        let part = rank::weight_for_hash(sender.0, identity.name.as_str()) % steps;
        let ends = now + asked.min(MAX_BACKOFF) + Duration::from_millis(part);
        self.back_off_until(sender, ends, now);
        ends
    }

    /// Records that `sender` must back off from the server until `ends`, as far as [`MAX_BACKOFF`]
    /// allows.
    pub fn back_off_until(&self, sender: Sender, ends: Instant, now: Instant) {
        let ends = ends.min(now + MAX_BACKOFF + RETURN_SPREAD);
        self.backoffs.rcu(|backoffs| {
            let others = backoffs.iter().flat_map(|backoffs| backoffs.iter());
            let (own, mut others): (Vec<_>, Vec<_>) = others
                .filter(|backoff| !backoff.is_over(now))
                .copied()
                .partition(|backoff| backoff.sender == sender);
            if others.len() >= MAX_BACKOFF_HOSTS {
                others.sort_by_key(|backoff| backoff.ends);
                others.remove(0);
            }
            let longer = own.into_iter().find(|backoff| backoff.ends >= ends);
            others.push(longer.unwrap_or(Backoff { sender, ends }));
            Some(Arc::new(others))
        });
        self.special_until.fetch_max((ends + RETURN_PERIOD).as_nanos(), Ordering::SeqCst);
    }

    /// Until when `sender` is to send the server nothing; `None` if it may send.
    pub fn backoff_until(&self, sender: Sender, now: Instant) -> Option<Instant> {
        self.find_backoff(sender, now).map(|backoff| backoff.ends).filter(|ends| now < *ends)
    }

    /// Whether [`Notice::try_pass`] would admit a request of `sender`.
    pub fn is_open(&self, sender: Option<Sender>, now: Instant) -> bool {
        let backoff = sender.and_then(|sender| self.find_backoff(sender, now));
        backoff.is_none_or(|backoff| {
            now >= backoff.ends && self.next_return.load(Ordering::Relaxed) <= now.as_nanos()
        })
    }

    /// Admits one request of `sender`, or returns `false` if it must back off from the server or
    /// has just returned to it.
    pub fn try_pass(&self, sender: Option<Sender>, now: Instant) -> bool {
        let Some(backoff) = sender.and_then(|sender| self.find_backoff(sender, now)) else {
            return true;
        };
        let following = (now + RETURN_INTERVAL).as_nanos();
        let pass = |next: u64| (next <= now.as_nanos()).then_some(following);
        let pass = || self.next_return.fetch_update(Ordering::Relaxed, Ordering::Relaxed, pass);
        now >= backoff.ends && pass().is_ok()
    }

    fn find_backoff(&self, sender: Sender, now: Instant) -> Option<Backoff> {
        if now.as_nanos() >= self.special_until.load(Ordering::SeqCst) {
            return None;
        }
        let backoffs = self.backoffs.load();
        let backoff = backoffs.as_ref()?.iter().find(|backoff| backoff.sender == sender);
        backoff.filter(|backoff| !backoff.is_over(now)).copied()
    }

    /// Number of hosts of which the server has asked something.
    pub fn backoff_hosts(&self) -> usize {
        self.backoffs.load().as_ref().map_or(0, |backoffs| backoffs.len())
    }

    /// Whether [`Notices`] has the notice.
    pub fn is_kept(&self) -> bool {
        self.is_kept.load(Ordering::SeqCst)
    }
}

/// The notices of starts that have said something, listed or not.
#[derive(Debug, Default)]
pub struct Notices {
    by_start: Map<Identity, Arc<Notice>>,
    /// The starts in the order in which they were kept.
    order: VecDeque<Identity>,
}

impl Notices {
    /// The notice of this start, if one is kept.
    pub fn get(&self, identity: &Identity) -> Option<&Arc<Notice>> {
        self.by_start.get(identity)
    }

    /// Keeps a notice unless this start has one already. Returns the one that is kept.
    pub fn keep(&mut self, identity: &Identity, notice: &Arc<Notice>) -> Arc<Notice> {
        if let Some(kept) = self.by_start.get(identity) {
            return Arc::clone(kept);
        }
        while self.order.len() >= MAX_KEPT {
            let oldest = self.order.pop_front().and_then(|oldest| self.by_start.remove(&oldest));
            // Kept again once the server says something more.
            oldest.iter().for_each(|oldest| oldest.is_kept.store(false, Ordering::SeqCst));
        }
        notice.is_kept.store(true, Ordering::SeqCst);
        self.by_start.insert(identity.clone(), Arc::clone(notice));
        self.order.push_back(identity.clone());
        Arc::clone(notice)
    }

    /// Number of starts whose notices are kept.
    pub fn len(&self) -> usize {
        self.by_start.len()
    }

    /// Whether no notice is kept.
    pub fn is_empty(&self) -> bool {
        self.by_start.is_empty()
    }
}
