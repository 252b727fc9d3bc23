//! What a host knows as the coordinator of its region.

use oleanderspan::{
    customer::{
        self, Quota,
        quota::{Amount, Authority, Book, Holder, Lease, Quorum, Report},
    },
    entry,
    prelude::*,
    region,
};

/// A book of one customer.
type CustomerBook = Book<entry::Name, region::Index>;

/// How long a report of another region's coordinator counts.
const REGION_TTL: Duration = Duration::from_millis(1_500);

/// How long another region's host may answer that it is not the coordinator before the next in rank
/// is asked: about as long as a coordinator that starts needs to be one.
const MAX_CONFLICT: Duration = Duration::from_millis(1_000);

/// After this from the first such answer, the host is asked again.
const CONFLICT_TTL: Duration = Duration::from_millis(4_000);

/// The books of all customers and who has reported.
#[derive(Debug, Default)]
pub struct Coordinator {
    books: Map<customer::Name, CustomerBook>,
    quorum: Quorum<entry::Name>,
    regions: Map<region::Index, Instant>,
    latest: Map<entry::Name, (u64, u64)>,
    authority: Option<Authority>,
    /// The regions whose answers are awaited. A second report before the answer to the first would
    /// deny what that answer brings.
    asked: Set<region::Index>,
    /// The hosts that are not coordinators by their own account, and since when.
    conflicts: Map<entry::Name, Instant>,
}

/// The hosts that a coordinator must hear of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Listed<'a> {
    /// The hosts of its region, itself included.
    pub hosts: &'a [entry::Name],
    /// The other regions that have hosts.
    pub regions: &'a [region::Index],
}

impl Coordinator {
    /// Whether it may lease more than holders have.
    pub fn is_open(&self) -> bool {
        self.authority == Some(Authority::Lease)
    }

    /// Whether counters lack what other regions may have.
    pub fn is_short(&self) -> bool {
        self.books.values().any(CustomerBook::is_short)
    }

    /// Drops the books of customers without a quota.
    pub fn retain(&mut self, has_quota: impl Fn(&customer::Name) -> bool) {
        self.books.retain(|name, _| has_quota(name));
    }

    /// The books that are in use.
    pub(super) fn books(&mut self) -> impl Iterator<Item = (&customer::Name, &mut CustomerBook)> {
        self.books.iter_mut()
    }

    /// The book of a customer, if it is in use.
    pub(super) fn book(&mut self, customer: &customer::Name) -> Option<&mut CustomerBook> {
        self.books.get_mut(customer)
    }

    /// Begins a report to another region; `false` if the answer to an earlier one is awaited.
    pub(super) fn begin_ask(&mut self, region: region::Index) -> bool {
        self.asked.insert(region)
    }

    /// Ends a report to another region, with or without an answer.
    pub(super) fn end_ask(&mut self, region: region::Index) {
        self.asked.remove(&region);
    }

    /// Records whether a host answered as a coordinator.
    pub(super) fn record_answer(&mut self, host: &entry::Name, is_coordinator: bool, now: Instant) {
        self.conflicts.retain(|_, since| now.since(*since) < CONFLICT_TTL);
        if is_coordinator {
            self.conflicts.remove(host);
        } else {
            self.conflicts.entry(host.clone()).or_insert(now);
        }
    }

    /// The hosts that are not to be asked for now, as they have denied for long to be coordinators.
    pub(super) fn denying(&self, now: Instant) -> Set<entry::Name> {
        let is_denying = |since: Instant| (MAX_CONFLICT..CONFLICT_TTL).contains(&now.since(since));
        let hosts = self.conflicts.iter().filter(|(_, since)| is_denying(**since));
        hosts.map(|(host, _)| host.clone()).collect()
    }

    /// Records that a host has reported at a time of its own; `false` if it is not to be answered: it
    /// has sent a later report already, or another host may be the coordinator of most hosts.
    pub(super) fn record(
        &mut self,
        host: &entry::Name,
        (run, sent): (u64, u64),
        region: Option<region::Index>,
        listed: Listed<'_>,
        now: Instant,
    ) -> bool {
        let latest = self.latest.insert(host.clone(), (run, sent));
        if let Some((same_run, later)) = latest
            && same_run == run
            && later > sent
        {
            self.latest.insert(host.clone(), (run, later));
            return false;
        }
        match region {
            Some(region) => {
                self.regions.insert(region, now);
            }
            None => self.quorum.record(host, now),
        }
        let is_fresh =
            |region| self.regions.get(region).is_some_and(|at| now.since(*at) < REGION_TTL);
        let others = listed.regions.iter().all(is_fresh);
        let authority = self.quorum.authority(listed.hosts, others, now);
        self.authority = Some(authority);
        authority != Authority::Nothing
    }

    /// Answers one report of a host; `region` is that of another coordinator.
    pub fn lease(
        &mut self,
        host: &entry::Name,
        region: Option<region::Index>,
        (customer, quota): (&customer::Name, Quota),
        report: &Report,
        (regions, now): (usize, Instant),
    ) -> Lease {
        let parts = u64::try_from(regions).unwrap_or(u64::MAX);
        let home = Amount::limit(quota).part(parts);
        let is_open = self.is_open();
        let book = self.books.entry(customer.clone());
        let book = book.or_insert_with(|| Book::new(home, regions.saturating_sub(1), now));
        book.set_home(home, now);
        let holder = if region.is_some() { Holder::Region } else { Holder::Counter };
        book.lease(host, holder, report, is_open, now)
    }
}
