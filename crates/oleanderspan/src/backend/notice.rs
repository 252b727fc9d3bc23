//! What a start of a server says of itself in its answers, whatever the platform's listing says.

use std::{
    collections::VecDeque,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use crate::{backend::server::Identity, prelude::*};

/// Number of starts whose notices are kept apart from the listing. The oldest are dropped first; a
/// listed server holds its own notice.
const MAX_KEPT: usize = 4_096;

/// The value of [`Notice::closed_until`] once the server has said that it is leaving.
const LEAVING: u64 = u64::MAX;

/// What one start of a server has said of itself. All states of that start share it, so that what
/// was said outlives a change of the entry, its removal and its return.
#[derive(Debug, Default)]
pub struct Notice {
    /// One atomic, so that asking costs a single load.
    closed_until: AtomicU64,
    is_kept: AtomicBool,
}

impl Notice {
    /// Records that the server is leaving, which is never undone; returns whether that is news.
    pub fn record_leaving(&self) -> bool {
        self.closed_until.swap(LEAVING, Ordering::SeqCst) != LEAVING
    }

    /// Whether the server has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.closed_until.load(Ordering::SeqCst) == LEAVING
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
