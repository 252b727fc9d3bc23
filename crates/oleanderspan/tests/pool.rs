//! A pool grants slots in order, and refuses stale waiters under overload.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cell::RefCell, net::Ipv4Addr, rc::Rc};

use oleanderspan::{
    availability::{self, Location},
    backend::{Name, Pool, Server, Waiter, server::Identity},
    prelude::*,
    region,
};

#[derive(Debug, PartialEq)]
enum Outcome {
    Granted(u32),
    Refused(u32),
}

struct Ticket(u32, Rc<RefCell<Vec<Outcome>>>);

impl Waiter for Ticket {
    fn grant(self, _server: Arc<Server>) -> Result<(), Arc<Server>> {
        self.1.borrow_mut().push(Outcome::Granted(self.0));
        Ok(())
    }

    fn refuse(self) {
        self.1.borrow_mut().push(Outcome::Refused(self.0));
    }
}

/// Where the servers run.
const LOCATION: Location = Location { zone: availability::Index(0), region: region::Index(0) };

const LIMIT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn server(number: u16, slots: u32) -> Arc<Server> {
    let name = Name::try_from(format!("server-{number}").as_str()).unwrap();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, number));
    let identity = Identity { name, incarnation: 1 };
    Arc::new(Server::new(identity, address, LOCATION, slots))
}

#[test]
fn waiters_are_granted_in_order() {
    let pool = Pool::new();
    pool.update(vec![server(1, 1)], 1);
    let outcomes = Rc::default();
    let taken = pool.try_acquire().unwrap();
    (1..=3).for_each(|i| pool.enqueue(Ticket(i, Rc::clone(&outcomes)), LIMIT, at(0)));
    assert!(pool.try_acquire().is_none());
    (0..3).for_each(|_| pool.release(&taken, at(10)));
    assert_eq!(*outcomes.borrow(), [Outcome::Granted(1), Outcome::Granted(2), Outcome::Granted(3)]);
    pool.release(&taken, at(10));
    assert_eq!(pool.limiter().in_flight(), 0);
}

#[test]
fn overload_sheds_all_but_recent_waiters() {
    let pool = Pool::new();
    pool.update(vec![server(1, 1)], 1);
    let outcomes = Rc::default();
    let taken = pool.try_acquire().unwrap();
    for (i, since) in [(1, 0), (2, 1_000), (3, 1_890), (4, 1_895)] {
        pool.enqueue(Ticket(i, Rc::clone(&outcomes)), LIMIT, at(since));
    }
    pool.release(&taken, at(1_900));
    assert_eq!(*outcomes.borrow(), [Outcome::Refused(1), Outcome::Refused(2), Outcome::Granted(3)]);
    assert_eq!(pool.queued(), 1);
}

#[test]
fn a_long_wait_below_the_overload_threshold_sheds_no_waiters() {
    let pool = Pool::new();
    pool.update(vec![server(1, 1)], 1);
    let outcomes = Rc::default();
    let taken = pool.try_acquire().unwrap();
    pool.enqueue(Ticket(1, Rc::clone(&outcomes)), LIMIT, at(0));
    pool.release(&taken, at(1_700));
    assert_eq!(*outcomes.borrow(), [Outcome::Granted(1)]);
}

#[test]
fn a_slow_server_is_chosen_last_and_one_long_request_makes_no_server_slow() {
    let pool: Pool<Ticket> = Pool::new();
    let (slow, fast) = (server(1, 2), server(2, 2));
    pool.update(vec![Arc::clone(&slow), Arc::clone(&fast)], 4);
    let usual = Duration::from_millis(20);
    (0..20).for_each(|_| [&slow, &fast].iter().for_each(|server| pool.observe(server, usual)));
    pool.observe(&fast, usual * 50);
    (0..3).for_each(|_| pool.observe(&slow, usual * 10));
    let chosen: Vec<u16> = (0..4).map(|_| pool.try_acquire().unwrap().address.port()).collect();
    assert_eq!(chosen, [2, 2, 1, 1]);
}

/// Two equal servers alternate, also if each slot is released before the next request.
#[test]
fn equal_servers_alternate() {
    let servers = [server(1, 4), server(2, 4)];
    let pool: Pool<Ticket> = Pool::new();
    pool.update(servers.to_vec(), u32::MAX);
    let mut taken = [0, 0];
    for _ in 0..20 {
        let chosen = pool.try_acquire().unwrap();
        taken[usize::from(chosen.identity == servers[1].identity)] += 1;
        pool.release(&chosen, Instant::ZERO);
    }
    assert_eq!(taken, [10, 10]);
}
