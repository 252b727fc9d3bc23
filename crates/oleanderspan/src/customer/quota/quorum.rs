//! Whether a coordinator may lease more than its holders have.

use std::hash::Hash;

use super::LEASE_TTL;
use crate::prelude::*;

/// How long a report of a host counts as its vote.
const VOTE_TTL: Duration = Duration::from_millis(1_500);

/// After this, the leases of an earlier coordinator have expired: the last vote for it, a lease
/// that it gave then, and the transit of messages.
const TAKEOVER: Duration =
    Duration::from_millis(VOTE_TTL.as_millis() as u64 + LEASE_TTL.as_millis() as u64 + 500);

key! {
    /// What a coordinator may do.
    pub enum Authority {
        /// Nothing: another host may be the coordinator of most hosts, and lease what the leases of
        /// those that report here amount to once these have expired.
        Nothing,
        /// Renew the leases that its holders have.
        Confirm,
        /// Give any lease.
        Lease,
    }
}

/// The hosts that report to a coordinator. A host reports to one at a time, so that of two
/// coordinators in a region only one has most of them.
#[derive(Debug)]
pub struct Quorum<H> {
    votes: Map<H, Instant>,
    since: Option<Instant>,
    is_complete: bool,
}

impl<H> Default for Quorum<H> {
    fn default() -> Quorum<H> {
        Quorum { votes: Map::default(), since: None, is_complete: false }
    }
}

impl<H: Clone + Eq + Hash> Quorum<H> {
    /// Records a report.
    pub fn record(&mut self, host: &H, now: Instant) {
        self.votes.insert(host.clone(), now);
    }

    /// What the coordinator may do. It may renew leases while most of the region's hosts report to
    /// it, and give others if it knows all in force: either all hosts and other regions have
    /// reported, or the leases of an earlier coordinator have expired. `others` says whether the
    /// other regions have reported.
    pub fn authority<'a>(
        &mut self,
        hosts: impl IntoIterator<Item = &'a H>,
        others: bool,
        now: Instant,
    ) -> Authority
    where
        H: 'a,
    {
        self.votes.retain(|_, at| now.since(*at) < VOTE_TTL);
        let (mut count, mut votes) = (0, 0);
        for host in hosts {
            count += 1;
            votes += usize::from(self.votes.contains_key(host));
        }
        if votes * 2 <= count {
            self.since = None;
            self.is_complete = false;
            return Authority::Nothing;
        }
        let since = *self.since.get_or_insert(now);
        self.is_complete |= others && votes == count;
        match self.is_complete || now.since(since) >= TAKEOVER {
            true => Authority::Lease,
            false => Authority::Confirm,
        }
    }
}
