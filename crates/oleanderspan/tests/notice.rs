//! What servers say of themselves in their answers, beside what the platform lists.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cell::Cell, rc::Rc};

use oleanderspan::{
    availability::{self, Location},
    backend::{
        Listing, Name, Notice, Notices, Object, Pool, ReuseDistance, Server, Waiter,
        listing::Entry,
        pool::{Criteria, OverloadPolicy, Placement, Rank},
        server::Identity,
    },
    prelude::*,
    region,
};

const LOCATION: Location = Location { zone: availability::Index(0), region: region::Index(0) };

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn name() -> Name {
    Name::try_from("server-1").unwrap()
}

fn entry(born_millis: u64, slots: u32, sequence: u64) -> Entry {
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
    listing.put(&name(), entry(7, 4, 1), at(0));
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
    for next in [entry(7, 4, 2), entry(7, 6, 2), entry(7, 4, 1)] {
        let (mut listing, _) = listing_after_leaving();
        listing.put(&name(), next.clone(), at(10));
        assert!(is_leaving(&listing), "{next:?}");
        // The entry is removed, and the store comes back from an older copy.
        listing.remove(&name(), at(20));
        listing.put(&name(), next.clone(), at(100_000));
        assert!(is_leaving(&listing), "{next:?}");
    }
}

#[test]
fn only_a_new_start_ends_what_the_server_said() {
    let (mut listing, _) = listing_after_leaving();
    listing.put(&name(), entry(8, 4, 1), at(10));
    assert!(!is_leaving(&listing));
    assert!(listing.notice_of(&identity(7)).unwrap().is_leaving(), "the former start stays so");
    listing.remove(&name(), at(20));
    listing.put(&name(), entry(7, 4, 9), at(30));
    assert!(is_leaving(&listing), "the former start is back from an older copy");
}

/// An answer may arrive on a request that was sent before the entry was removed and returned.
#[test]
fn late_answer_reaches_the_state_that_is_listed_now() {
    let mut listing = Listing::default();
    listing.put(&name(), entry(7, 4, 1), at(0));
    let sent_to = Arc::clone(&listing.get(&name()).unwrap().server);
    listing.remove(&name(), at(10));
    listing.put(&name(), entry(7, 4, 2), at(20));
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
