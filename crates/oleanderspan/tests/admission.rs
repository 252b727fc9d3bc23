//! Admission control: which requests are queued or refused, also in a simulated overload; and the
//! choice of a server from the pool.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cell::RefCell, net::Ipv4Addr, rc::Rc};

use oleanderspan::{
    availability::{self, Location},
    backend::{
        CacheModel, Name, Object, Pool, ReuseDistance, Server, Waiter,
        pool::{Criteria, OverloadPolicy, Rank},
        server::Identity,
    },
    prelude::*,
    region,
    request::admission::{self, Decision, Load, TimeLeft},
};

const SERVICE_TIME: Duration = Duration::from_millis(250);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn load(ahead: usize) -> Load {
    Load { ahead, slots: 4, mean_latency: SERVICE_TIME, typical_latency: SERVICE_TIME }
}

fn time(objective: u64, deadline: u64) -> TimeLeft {
    TimeLeft {
        objective: Duration::from_millis(objective),
        deadline: Duration::from_millis(deadline),
    }
}

#[test]
fn request_waits_only_while_its_objective_can_be_met() {
    let limit = Duration::from_millis(350);
    assert_eq!(admission::decide(time(600, 2_000), &load(0)), Decision::Wait { limit });
    assert_eq!(admission::decide(time(600, 2_000), &load(4)), Decision::Wait { limit });
    let decision = admission::decide(time(600, 2_000), &load(5));
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}

#[test]
fn late_request_waits_only_briefly() {
    assert!(admission::is_late(time(100, 2_000), &load(0)));
    let Decision::Wait { limit } = admission::decide(time(100, 2_000), &load(0)) else {
        panic!("a request with none ahead of it must be queued");
    };
    assert!(limit <= Duration::from_millis(200), "{limit:?}");
    assert!(matches!(admission::decide(time(100, 2_000), &load(8)), Decision::Refuse { .. }));
}

/// Guards against a route starving because its objective is shorter than any server's latency, so
/// that each of its requests ranks as late on arrival.
#[test]
fn unattainable_objective_does_not_starve_its_route() {
    let objective = admission::effective_objective(Duration::from_millis(100), SERVICE_TIME);
    let time = TimeLeft { objective, deadline: Duration::from_millis(900) };
    assert!(!admission::is_late(time, &load(0)));
    let stated = Duration::from_millis(600);
    assert_eq!(
        admission::effective_objective(stated, SERVICE_TIME),
        stated,
        "an attainable objective must not change"
    );
}

#[test]
fn requests_are_refused_without_usable_slots() {
    let load = Load { slots: 0, ..load(0) };
    assert!(matches!(admission::decide(time(600, 2_000), &load), Decision::Refuse { .. }));
}

/// Clients of the platform honour a retry time of up to a third of their time limit.
#[test]
fn retry_after_is_at_most_a_third_of_the_deadline() {
    for ahead in [6, 60, 600] {
        let Decision::Refuse { retry_after } = admission::decide(time(600, 2_000), &load(ahead))
        else {
            panic!("{ahead} ahead");
        };
        assert!(retry_after * 3 <= Duration::from_millis(2_000), "{ahead}: {retry_after:?}");
        assert!(!retry_after.is_zero());
    }
}

#[test]
fn queue_orders_by_lateness_then_priority() {
    let ranks = [Rank::new(0, false), Rank::new(2, false), Rank::new(0, true), Rank::new(9, true)];
    assert!(ranks.is_sorted(), "{ranks:?}");
    let granted = Rc::default();
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let only = server(1, 1);
    pool.update(vec![Arc::clone(&only)], u32::MAX);
    let taken = pool.try_acquire().unwrap();
    for (i, rank) in [3, 1, 2, 0].into_iter().map(|i| (i, ranks[i])) {
        let ticket = Ticket(i, Rc::clone(&granted));
        pool.enqueue_ranked(ticket, rank, Criteria::default(), Duration::from_secs(9), at(0));
    }
    assert_eq!(pool.queued_before(ranks[1], &Criteria::default()), 2);
    pool.release(&taken, at(1));
    (2..5).for_each(|ms| pool.release(&only, at(ms)));
    assert_eq!(*granted.borrow(), [0, 1, 2, 3]);
}

struct Ticket(usize, Rc<RefCell<Vec<usize>>>);

impl Waiter for Ticket {
    fn grant(self, _server: Arc<Server>) -> Result<(), Arc<Server>> {
        self.1.borrow_mut().push(self.0);
        Ok(())
    }
}

const REGION: region::Index = region::Index(0);

fn server(number: u16, slots: u32) -> Arc<Server> {
    server_in(REGION, number, slots)
}

fn server_in(region: region::Index, number: u16, slots: u32) -> Arc<Server> {
    let name = Name::try_from(format!("server-{number}").as_str()).unwrap();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, number));
    let identity = Identity { name, incarnation: 1 };
    let location = Location { zone: availability::Index(region.0), region };
    Arc::new(Server::new(identity, address, location, slots))
}

/// Simulates one minute at 150 % of capacity. Without admission control nearly all requests wait
/// until they are late; with it most of the capacity serves requests in time.
#[test]
fn sustained_overload_is_shed_so_that_admitted_requests_meet_their_objective() {
    let (in_time, late) = simulate_overload(true);
    assert!(late == 0, "{late} admitted requests were late");
    // 60 s x 4 slots / 250 ms are 960 requests.
    assert!(in_time >= 900, "{in_time} requests in time");
    let (without, _) = simulate_overload(false);
    assert!(without < 200, "without admission control, {without} requests were in time");
}

fn simulate_overload(applies_admission: bool) -> (usize, usize) {
    const SLOTS: u32 = 4;
    let objective = Duration::from_millis(600);
    let interval_ms = u64::try_from(SERVICE_TIME.as_millis()).unwrap() * 2 / 3 / u64::from(SLOTS);
    let granted: Rc<RefCell<Vec<usize>>> = Rc::default();
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    pool.update(vec![server(1, SLOTS)], u32::MAX);
    let mut running: Vec<(Instant, Arc<Server>)> = Vec::new();
    let mut arrivals = Vec::new();
    let (mut in_time, mut late, mut processed) = (0, 0, 0);
    for ms in 0..60_000 {
        let now = at(ms);
        while let Some(i) = running.iter().position(|(end, _)| *end <= now) {
            let (_, server) = running.swap_remove(i);
            pool.release(&server, now);
        }
        if ms % interval_ms == 0 {
            arrivals.push(now);
            match pool.try_acquire() {
                Some(server) => {
                    in_time += 1;
                    running.push((now + SERVICE_TIME, server));
                }
                None => {
                    let rank = Rank::new(0, false);
                    let decision = admission::decide(
                        time(600, 4_000),
                        &load(pool.queued_before(rank, &Criteria::default())),
                    );
                    let limit = match decision {
                        Decision::Wait { limit } => Some(limit),
                        Decision::Refuse { .. } => {
                            (!applies_admission).then_some(Duration::from_secs(4))
                        }
                    };
                    if let Some(limit) = limit {
                        let ticket = Ticket(arrivals.len() - 1, Rc::clone(&granted));
                        pool.enqueue_ranked(ticket, rank, Criteria::default(), limit, now);
                    }
                }
            }
        }
        for i in granted.borrow().iter().skip(processed) {
            let server = pool.servers()[0].clone();
            running.push((now + SERVICE_TIME, server));
            match now.since(arrivals[*i]) + SERVICE_TIME <= objective {
                true => in_time += 1,
                false => late += 1,
            }
        }
        processed = granted.borrow().len();
    }
    (in_time, late)
}

/// Requests for an object go to the server that holds it while that has a free slot, and to another
/// server otherwise.
#[test]
fn requests_for_one_object_prefer_the_server_that_holds_it() {
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    pool.update(vec![server(1, 2), server(2, 2)], u32::MAX);
    let wish = Criteria { object: Some(Object::from_hash(7)), ..Criteria::default() };
    let first = pool.try_acquire_for(&wish, at(0)).unwrap();
    first.record_object(Object::from_hash(7), at(0));
    let second = pool.try_acquire_for(&wish, at(0)).unwrap();
    assert_eq!(first.identity, second.identity);
    let third = pool.try_acquire_for(&wish, at(0)).unwrap();
    assert_ne!(
        first.identity, third.identity,
        "a request must not wait while another server has a free slot"
    );
}

#[test]
fn retry_goes_to_another_server() {
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let servers = vec![server(1, 2), server(2, 2)];
    pool.update(servers.clone(), u32::MAX);
    for failed in &servers {
        let wish = Criteria { excluded: Some(failed.identity.name.clone()), ..Criteria::default() };
        let chosen = pool.try_acquire_for(&wish, at(0)).unwrap();
        assert_ne!(chosen.identity, failed.identity);
    }
}

/// A request bound to its region never gets a slot borrowed from another region, not even from the
/// queue.
#[test]
fn bound_request_waits_for_a_server_of_its_region() {
    let granted = Rc::default();
    let pool: Pool<Ticket> = Pool::for_region(REGION, OverloadPolicy::ServeUntilLimit);
    let (own, other) = (server(1, 1), server_in(region::Index(1), 2, 1));
    pool.update(vec![Arc::clone(&own), Arc::clone(&other)], u32::MAX);
    let bound = Criteria { region: Some(REGION), ..Criteria::default() };
    let near = pool.try_acquire_for(&bound, at(0)).unwrap();
    assert_eq!(near.identity, own.identity);
    assert!(pool.try_acquire_for(&bound, at(0)).is_none());
    let ticket = Ticket(1, Rc::clone(&granted));
    pool.enqueue_ranked(ticket, Rank::default(), bound, Duration::from_secs(9), at(0));
    assert!(granted.borrow().is_empty(), "a bound request must not get the borrowed slot");
    pool.release(&near, at(1));
    assert_eq!(*granted.borrow(), [1]);
}

/// Requests bound to their region must not hold up those behind them when only borrowed slots are free.
#[test]
fn borrowed_slot_goes_to_the_first_request_that_may_use_it() {
    let granted = Rc::default();
    let pool: Pool<Ticket> = Pool::for_region(REGION, OverloadPolicy::ServeUntilLimit);
    let (own, other) = (server(1, 1), server_in(region::Index(1), 2, 1));
    pool.update(vec![Arc::clone(&own), Arc::clone(&other)], u32::MAX);
    let bound = Criteria { region: Some(REGION), ..Criteria::default() };
    (0..2).for_each(|_| drop(pool.try_acquire_for(&Criteria::default(), at(0)).unwrap()));
    for (number, criteria) in
        [(1, &bound), (2, &bound), (3, &Criteria::default()), (4, &Criteria::default())]
    {
        let ticket = Ticket(number, Rc::clone(&granted));
        let limit = Duration::from_secs(9);
        pool.enqueue_ranked(ticket, Rank::default(), criteria.clone(), limit, at(0));
    }
    pool.release(&other, at(1));
    assert_eq!(*granted.borrow(), [3]);
    let before = |criteria| pool.queued_before(Rank::default(), criteria);
    assert_eq!((before(&bound), before(&Criteria::default())), (2, 1));
    pool.release(&own, at(2));
    pool.release(&other, at(2));
    assert_eq!(*granted.borrow(), [3, 1, 4], "the first in the queue gets the region's own slot");
    pool.release(&other, at(3));
    let free = pool.try_acquire_for(&Criteria::default(), at(3)).unwrap();
    assert_eq!(free.identity, other.identity, "a new request need not wait behind bound ones");
    pool.release(&own, at(4));
    assert_eq!(*granted.borrow(), [3, 1, 4, 2]);
    pool.release(&own, at(5));
    assert!(pool.try_acquire_for(&bound, at(5)).is_some(), "no request waits any more");
}

/// Guards against an endless loop: the only free server of the region is one that the bound request has
/// failed on, and a borrowed server ranks before it.
#[test]
fn bound_retry_gets_the_failed_server_if_no_other_of_its_region_is_free() {
    let granted = Rc::default();
    let pool: Pool<Ticket> = Pool::for_region(REGION, OverloadPolicy::ServeUntilLimit);
    let (own, other) = (server(1, 1), server_in(region::Index(1), 2, 1));
    pool.update(vec![Arc::clone(&own), Arc::clone(&other)], u32::MAX);
    own.suspect();
    let excluded = Some(own.identity.name.clone());
    let bound = Criteria { region: Some(REGION), excluded, ..Criteria::default() };
    let ticket = Ticket(1, Rc::clone(&granted));
    pool.enqueue_ranked(ticket, Rank::default(), bound, Duration::from_secs(9), at(0));
    assert_eq!(*granted.borrow(), [1]);
    assert_eq!((own.in_flight(), other.in_flight()), (1, 0));
    assert_eq!(pool.limiter().in_flight(), 1);
}

/// A server remembers 16 objects and evicts the least recently used one.
#[test]
fn server_evicts_the_least_recently_used_object() {
    let server = server(1, 1);
    (1..=16).for_each(|hash| server.record_object(Object::from_hash(hash), at(0)));
    server.record_object(Object::from_hash(1), at(0));
    server.record_object(Object::from_hash(17), at(0));
    let warmth = CacheModel::new();
    let is_warm = |hash| warmth.is_cached(server.reuse_distance(Object::from_hash(hash)));
    assert!(is_warm(1));
    assert!(!is_warm(2));
    assert!(is_warm(17));
    assert_eq!(server.reuse_distance(Object::from_hash(99)), ReuseDistance::UNKNOWN);
}
