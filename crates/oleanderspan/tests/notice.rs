//! What servers say of themselves in their answers, beside what the platform lists.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use oleanderspan::{
    availability::{self, Location},
    backend::{
        Listing, Name, Notice, Notices, Object, Pool, ReuseDistance, Sender, Server, Waiter,
        listing::Entry,
        notice::MAX_BACKOFF,
        pool::{Criteria, OverloadPolicy, Placement, Rank},
        server::Identity,
    },
    entry,
    prelude::*,
    region,
};
use proptest::prelude::*;

const LOCATION: Location = Location { zone: availability::Index(0), region: region::Index(0) };

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn name() -> Name {
    Name::try_from("server-1").unwrap()
}

fn listed(born_millis: u64, slots: u32, sequence: u64) -> Entry {
    Entry {
        service: "shop".try_into().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        location: LOCATION,
        slots,
        is_leaving: false,
        cold_left: Duration::ZERO,
        born_millis,
        sequence,
    }
}

fn identity(incarnation: u64) -> Identity {
    Identity { name: name(), incarnation }
}

/// A listing with one server that has said that it is leaving.
fn listing_after_leaving() -> (Listing, Arc<Server>) {
    let mut listing = Listing::default();
    listing.put(&name(), listed(7, 4, 1), at(0));
    let server = Arc::clone(&listing.get(&name()).unwrap().server);
    assert!(server.notice().record_leaving(), "the first time is news");
    assert!(!server.notice().record_leaving(), "the second is not");
    listing.keep_notice(&server.identity, server.notice());
    (listing, server)
}

fn is_leaving(listing: &Listing) -> bool {
    listing.get(&name()).unwrap().server.is_leaving()
}

#[test]
fn no_entry_of_the_same_start_revokes_what_the_server_said() {
    for next in [listed(7, 4, 2), listed(7, 6, 2), listed(7, 4, 1)] {
        let (mut listing, _) = listing_after_leaving();
        listing.put(&name(), next.clone(), at(10));
        assert!(is_leaving(&listing), "{next:?}");
        // The entry is removed, the store comes back from an older copy, and the server writes again.
        listing.remove(&name(), at(20));
        listing.put(&name(), next.clone(), at(100_000));
        assert!(listing.get(&name()).is_none(), "{next:?}");
        listing.put(&name(), Entry { sequence: 3, ..next.clone() }, at(100_010));
        assert!(is_leaving(&listing), "{next:?}");
    }
}

#[test]
fn only_a_new_start_ends_what_the_server_said() {
    let (mut listing, _) = listing_after_leaving();
    listing.put(&name(), listed(8, 4, 1), at(10));
    assert!(!is_leaving(&listing));
    assert!(listing.notice_of(&identity(7)).unwrap().is_leaving(), "the former start stays so");
    listing.remove(&name(), at(20));
    listing.put(&name(), listed(7, 4, 9), at(30));
    assert!(listing.get(&name()).is_none(), "an older copy does not bring the former start back");
}

/// An answer may arrive on a request that was sent before the entry was removed and returned.
#[test]
fn late_answer_reaches_the_state_that_is_listed_now() {
    let mut listing = Listing::default();
    listing.put(&name(), listed(7, 4, 1), at(0));
    let sent_to = Arc::clone(&listing.get(&name()).unwrap().server);
    listing.remove(&name(), at(10));
    listing.put(&name(), listed(7, 4, 2), at(20));
    sent_to.notice().record_leaving();
    let shared = listing.keep_notice(&sent_to.identity, sent_to.notice());
    shared.record_leaving();
    assert!(is_leaving(&listing));
}

#[test]
fn kept_notices_are_bounded() {
    const STARTS: u64 = 20_000;
    let mut notices = Notices::default();
    let notice = Arc::<Notice>::default();
    for start in 0..STARTS {
        let own = if start == 0 { Arc::clone(&notice) } else { Arc::default() };
        notices.keep(&identity(start), &own);
        notices.keep(&identity(start), &Arc::default());
    }
    assert!(notices.len() < 5_000, "{}", notices.len());
    assert!(notices.get(&identity(STARTS - 1)).is_some(), "the latest is kept");
    assert!(notices.get(&identity(0)).is_none() && !notice.is_kept(), "the oldest is not");
}

/// A waiter that notes how its wait ended: `Some(true)` with a slot, `Some(false)` without.
#[derive(Clone, Default)]
struct Ticket(Rc<Cell<Option<bool>>>);

impl Waiter for Ticket {
    fn grant(self, _server: Arc<Server>) -> Result<(), Arc<Server>> {
        self.0.set(Some(true));
        Ok(())
    }

    fn refuse(self) {
        self.0.set(Some(false));
    }
}

/// A request that waited for the server that has cached its object waited on until its limit.
#[test]
fn waiters_of_a_server_that_says_it_leaves_are_refused_at_its_next_released_slot() {
    let pool = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let address = "127.0.0.1:9".parse().unwrap();
    let server = Arc::new(Server::new(identity(7), address, LOCATION, 1));
    pool.update(vec![Arc::clone(&server)], u32::MAX);
    let object = Object::from_hash(3);
    server.record_object(object, at(0));
    let latency = Duration::from_millis(100);
    pool.observe_for_object(&server, Some(ReuseDistance::from_count(0)), latency);
    let criteria = Criteria { object: Some(object), ..Criteria::default() };
    let long = Duration::from_secs(10);
    let place = |now| pool.place(&criteria, Rank::default(), long, now);
    assert!(matches!(place(at(1)), Placement::Taken(_)));
    assert!(matches!(place(at(2)), Placement::ServerQueue(_)));
    let ticket = Ticket::default();
    pool.enqueue_for_server(ticket.clone(), &server, Rank::default(), long, at(2));
    server.notice().record_leaving();
    pool.release(&server, at(3));
    assert_eq!(ticket.0.get(), Some(false));
    assert!(matches!(place(at(4)), Placement::AnyServer));
    assert_eq!(server.in_flight(), 0);
}

/// The longest time by which the end of a backoff is moved, so that hosts do not all come back at once.
const SPREAD_MILLIS: u64 = 500;

fn sender(host: &str) -> Sender {
    Sender::from(&entry::Name::try_from(host).unwrap())
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn only_the_host_that_was_asked_backs_off_and_for_no_less_than_the_time_asked() {
    let notice = Notice::default();
    let (own, other) = (sender("host-1"), sender("host-2"));
    assert!(notice.is_open(Some(own), at(0)));
    notice.back_off(&identity(7), own, seconds(2), at(100));
    // A shorter time asked later takes nothing back.
    notice.back_off(&identity(7), own, seconds(1), at(200));
    for now in (100..2_100).step_by(50).map(at) {
        assert!(!notice.is_open(Some(own), now) && !notice.try_pass(Some(own), now), "{now:?}");
        assert!(notice.backoff_until(own, now).is_some(), "{now:?}");
        assert!(notice.is_open(Some(other), now) && notice.is_open(None, now), "{now:?}");
    }
    let end = at(2_100 + SPREAD_MILLIS);
    assert!(notice.backoff_until(own, end).is_none() && notice.try_pass(Some(own), end));
}

#[test]
fn time_asked_is_bounded() {
    let notice = Notice::default();
    notice.back_off(&identity(7), sender("host-1"), Duration::MAX, at(0));
    let limit = MAX_BACKOFF.as_millis() as u64;
    assert!(notice.backoff_until(sender("host-1"), at(limit - 1)).is_some());
    assert!(notice.backoff_until(sender("host-1"), at(limit + SPREAD_MILLIS)).is_none());
}

#[test]
fn leaving_outlasts_a_time_asked_before_or_after() {
    let notice = Notice::default();
    notice.back_off(&identity(7), sender("host-1"), seconds(1), at(0));
    notice.record_leaving();
    notice.back_off(&identity(7), sender("host-1"), seconds(1), at(0));
    assert!(notice.is_leaving());
}

/// 80 hosts whose times end together: none sends before its end, and they come back one by one.
#[test]
fn hosts_return_to_a_server_spread_out_after_their_backoff() {
    const HOSTS: usize = 80;
    let notice = Notice::default();
    let hosts: Vec<Sender> = (0..HOSTS).map(|n| sender(&format!("host-{n}"))).collect();
    hosts.iter().for_each(|host| {
        notice.back_off(&identity(7), *host, seconds(2), at(0));
    });
    assert_eq!(notice.backoff_hosts(), HOSTS);
    // Each host tries all the time.
    let mut passed = Vec::new();
    for now in 0..2_500 {
        passed.extend(
            hosts.iter().filter(|host| notice.try_pass(Some(**host), at(now))).map(|_| now),
        );
    }
    assert!(passed[0] >= 2_000);
    let in_window = |from: u64| passed.iter().filter(|at| (from..from + 50).contains(*at)).count();
    let peak = (2_000..2_450).map(in_window).max().unwrap();
    assert!(peak <= 2, "{peak} requests within 50 ms");
    let late = passed.iter().filter(|at| **at >= 2_400).count();
    assert!(late >= 3, "{late} requests at the end");
}

#[test]
fn state_kept_for_a_server_is_bounded() {
    let notice = Notice::default();
    for host in 0..10_000 {
        notice.back_off(&identity(7), sender(&format!("host-{host}")), seconds(60), at(0));
    }
    assert!(notice.backoff_hosts() <= 128, "{}", notice.backoff_hosts());
    notice.back_off(&identity(7), sender("host-1"), seconds(1), at(100_000));
    assert_eq!(notice.backoff_hosts(), 1, "what is over is dropped");
}

/// A waiter of a host that must back off from servers.
#[derive(Clone)]
struct HostTicket(Ticket, Sender);

impl Waiter for HostTicket {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        self.0.grant(server)
    }

    fn refuse(self) {
        self.0.refuse();
    }

    fn sender(&self) -> Option<Sender> {
        Some(self.1)
    }
}

/// Two servers with one slot each, both taken.
fn busy_pool() -> (Pool<HostTicket>, Vec<Arc<Server>>) {
    let pool = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let server = |number: u16| {
        let name = Name::try_from(format!("server-{number}").as_str()).unwrap();
        let identity = Identity { name, incarnation: 1 };
        Arc::new(Server::new(identity, SocketAddr::from(([127, 0, 0, 1], number)), LOCATION, 1))
    };
    let servers = vec![server(1), server(2)];
    pool.update(servers.clone(), u32::MAX);
    servers.iter().for_each(|_| assert!(pool.try_acquire().is_some()));
    (pool, servers)
}

#[test]
fn queued_requests_of_a_host_pass_over_the_server_that_it_backs_off_from() {
    let (pool, servers) = busy_pool();
    let own = sender("host-1");
    let enqueue = |sender: Sender, now| {
        let ticket = Ticket::default();
        let criteria = Criteria { sender: Some(sender), ..Criteria::default() };
        let waiter = HostTicket(ticket.clone(), sender);
        pool.enqueue_ranked(waiter, Rank::default(), criteria, seconds(10), now);
        ticket.0
    };
    let first = enqueue(own, at(0));
    let second = enqueue(sender("host-2"), at(0));
    servers[0].notice().back_off(&servers[0].identity, own, seconds(2), at(1));
    pool.release(&servers[0], at(2));
    assert_eq!((first.get(), second.get()), (None, Some(true)), "the other host takes the slot");
    pool.release(&servers[1], at(3));
    assert_eq!(first.get(), Some(true), "the first takes that of the other server");
    // With all servers to be backoff, a request that waits ends at once.
    let third = enqueue(own, at(4));
    servers[1].notice().back_off(&servers[1].identity, own, seconds(2), at(5));
    pool.release(&servers[1], at(6));
    assert_eq!(third.get(), Some(false));
    assert_eq!(servers[1].in_flight(), 0);
}

/// A change of the servers refused all waiters whose host had been asked for time long before.
#[test]
fn requests_wait_on_while_the_servers_change_once_the_time_asked_is_over() {
    let (pool, servers) = busy_pool();
    let own = sender("host-1");
    for server in &servers {
        server.notice().back_off(&server.identity, own, seconds(1), at(0));
    }
    let ticket = || HostTicket(Ticket::default(), own);
    let (common, single) = (ticket(), ticket());
    let criteria = Criteria { sender: Some(own), ..Criteria::default() };
    pool.enqueue_ranked(common.clone(), Rank::default(), criteria, seconds(10), at(9_000));
    pool.enqueue_for_server(single.clone(), &servers[0], Rank::default(), seconds(10), at(9_000));
    let joined = {
        let identity = Identity { name: Name::try_from("server-3").unwrap(), incarnation: 1 };
        let server = Server::new(identity, "127.0.0.1:3".parse().unwrap(), LOCATION, 1);
        server.notice().back_off(&server.identity, own, seconds(1), at(0));
        Arc::new(server)
    };
    servers[0].release_slot();
    pool.update([servers.clone(), vec![joined]].concat(), u32::MAX);
    assert_eq!((common.0.0.get(), single.0.0.get()), (None, None));
    pool.serve_waiting(at(9_010));
    assert_eq!((common.0.0.get(), single.0.0.get()), (Some(true), Some(true)));
}

proptest! {
    /// Whatever entries, removals, restarts, answers and grants come in whatever order, no request of
    /// a host is placed on, or accepted for, a start that has told it that it is leaving or for how
    /// long it wants nothing.
    #[test]
    fn no_request_reaches_a_server_against_what_it_said(
        steps in proptest::collection::vec((0_u8..9, 0_u64..4, 0_u64..4_000), 1..60),
    ) {
        let mut listing = Listing::default();
        let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
        let own = sender("host-1");
        let mut now = at(0);
        let mut sequence = 0;
        // What this host was told, by start.
        let mut leaving = BTreeSet::new();
        let mut backoff: BTreeMap<u64, Instant> = BTreeMap::new();
        // Servers of requests that are under way, whose answers are yet to come.
        let mut sent: Vec<Arc<Server>> = Vec::new();
        for (step, start, millis) in steps {
            match step {
                0 | 1 => {
                    sequence += 1;
                    // An entry of some start, at times with other slots; also from an older copy.
                    let slots = 1 + u32::try_from(millis % 3).unwrap();
                    listing.put(&name(), listed(start, slots, sequence * u64::from(step)), now);
                }
                2 => {
                    listing.remove(&name(), now);
                }
                3 => listing.store_recovered(now),
                4 => {
                    listing.expire(now);
                }
                5 => now = now + Duration::from_millis(millis),
                // The answer to a request that is under way.
                6 | 7 if !sent.is_empty() => {
                    let server = sent.swap_remove(usize::try_from(millis).unwrap() % sent.len());
                    let start = server.identity.incarnation;
                    let shared = if step == 6 {
                        leaving.insert(start);
                        server.notice().record_leaving();
                        listing.keep_notice(&server.identity, server.notice())
                    } else {
                        let asked = seconds(1 + millis % 4);
                        let ends = server.notice().back_off(&server.identity, own, asked, now);
                        let end = backoff.entry(start).or_insert(now + asked);
                        *end = (*end).max(now + asked);
                        let shared = listing.keep_notice(&server.identity, server.notice());
                        shared.back_off_until(own, ends, now);
                        shared
                    };
                    if step == 6 {
                        shared.record_leaving();
                    }
                    pool.release(&server, now);
                }
                _ => {
                    // Another host grants a slot of some start, whatever this one knows.
                    let address = "127.0.0.1:9".parse().unwrap();
                    let notice = listing.notice_of(&identity(start)).unwrap_or_default();
                    let granted = Server::new(identity(start), address, LOCATION, 1);
                    let granted = granted.with_notice(notice);
                    let is_accepted = granted.accepts_requests()
                        && granted.notice().backoff_until(own, now).is_none();
                    let is_told = leaving.contains(&start)
                        || backoff.get(&start).is_some_and(|end| now < *end);
                    prop_assert!(!(is_accepted && is_told), "granted start {start} at {now:?}");
                }
            }
            let servers = listing.get(&name()).map(|listed| Arc::clone(&listed.server));
            pool.update(servers.into_iter().collect(), u32::MAX);
            let criteria = Criteria { sender: Some(own), ..Criteria::default() };
            if let Some(server) = pool.try_acquire_for(&criteria, now) {
                let start = server.identity.incarnation;
                prop_assert!(!leaving.contains(&start), "start {start} has said that it leaves");
                let end = backoff.get(&start).copied().unwrap_or(at(0));
                prop_assert!(now >= end, "start {start} has asked for backoff until {end:?}");
                sent.push(server);
            }
        }
    }
}
