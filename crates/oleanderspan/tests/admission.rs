//! Who waits and who is refused at once, replayed under load beyond all slots.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cell::RefCell, net::Ipv4Addr, rc::Rc};

use oleanderspan::{
    availability,
    backend::{
        CacheModel, Name, Object, Pool, ReuseDistance, Server, Waiter,
        pool::{Criteria, OverloadPolicy, Rank},
        server::Identity,
    },
    prelude::*,
    request::admission::{self, Load, Time, Verdict},
};

const WORK: Duration = Duration::from_millis(250);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn load(ahead: usize) -> Load {
    Load { ahead, slots: 4, mean_latency: WORK, typical_latency: WORK }
}

fn time(objective: u64, deadline: u64) -> Time {
    Time { objective: Duration::from_millis(objective), deadline: Duration::from_millis(deadline) }
}

#[test]
fn a_request_waits_only_while_it_can_be_in_time() {
    let limit = Duration::from_millis(350);
    assert_eq!(admission::judge(time(600, 2_000), &load(0)), Verdict::Wait { limit });
    assert_eq!(admission::judge(time(600, 2_000), &load(4)), Verdict::Wait { limit });
    let verdict = admission::judge(time(600, 2_000), &load(5));
    assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
}

#[test]
fn a_late_request_does_not_wait_long() {
    assert!(admission::is_late(time(100, 2_000), &load(0)));
    let Verdict::Wait { limit } = admission::judge(time(100, 2_000), &load(0)) else {
        panic!("a slot is about to be free");
    };
    assert!(limit <= Duration::from_millis(200), "{limit:?}");
    assert!(matches!(admission::judge(time(100, 2_000), &load(8)), Verdict::Refuse { .. }));
}

/// The load: a route whose objective is shorter than any server's work. It is not late at once.
#[test]
fn an_objective_that_no_server_reaches_does_not_starve_its_route() {
    let objective = admission::attainable(Duration::from_millis(100), WORK);
    let time = Time { objective, deadline: Duration::from_millis(900) };
    assert!(!admission::is_late(time, &load(0)));
    let stated = Duration::from_millis(600);
    assert_eq!(admission::attainable(stated, WORK), stated, "others keep theirs");
}

#[test]
fn without_servers_nobody_waits() {
    let load = Load { slots: 0, ..load(0) };
    assert!(matches!(admission::judge(time(600, 2_000), &load), Verdict::Refuse { .. }));
}

/// A refused client can come back within what it has: platforms' clients honour a third.
#[test]
fn the_time_to_come_back_is_in_reach() {
    for ahead in [6, 60, 600] {
        let Verdict::Refuse { retry_after } = admission::judge(time(600, 2_000), &load(ahead))
        else {
            panic!("{ahead} ahead");
        };
        assert!(retry_after * 3 <= Duration::from_millis(2_000), "{ahead}: {retry_after:?}");
        assert!(!retry_after.is_zero());
    }
}

#[test]
fn those_in_time_go_before_the_late_and_the_urgent_before_the_others() {
    let ranks = [Rank::new(0, false), Rank::new(2, false), Rank::new(0, true), Rank::new(9, true)];
    assert!(ranks.is_sorted(), "{ranks:?}");
    let told = Rc::default();
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let only = server(1, 1);
    pool.update(vec![Arc::clone(&only)], u32::MAX);
    let taken = pool.try_acquire().unwrap();
    for (i, rank) in [3, 1, 2, 0].into_iter().map(|i| (i, ranks[i])) {
        let ticket = Ticket(i, Rc::clone(&told));
        pool.enqueue_ranked(ticket, rank, Criteria::default(), Duration::from_secs(9), at(0));
    }
    assert_eq!(pool.queued_before(ranks[1]), 2);
    pool.release(&taken, at(1));
    (2..5).for_each(|ms| pool.release(&only, at(ms)));
    assert_eq!(*told.borrow(), [0, 1, 2, 3]);
}

struct Ticket(usize, Rc<RefCell<Vec<usize>>>);

impl Waiter for Ticket {
    fn grant(self, _server: Arc<Server>) -> Result<(), Arc<Server>> {
        self.1.borrow_mut().push(self.0);
        Ok(())
    }
}

fn server(number: u16, slots: u32) -> Arc<Server> {
    let name = Name::try_from(format!("server-{number}").as_str()).unwrap();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, number));
    let identity = Identity { name, incarnation: 1 };
    Arc::new(Server::new(identity, address, availability::Index(0), slots))
}

/// The load: half as many requests again as slots can run, for a minute. Without admission all
/// wait until they are late; with it most of what the slots can do is in time.
#[test]
fn under_lasting_overload_slots_work_for_requests_that_are_in_time() {
    let (in_time, late) = replay(true);
    assert!(late == 0, "{late} late");
    // 60 s x 4 slots / 250 ms are 960 requests.
    assert!(in_time >= 900, "{in_time} in time");
    let (without, _) = replay(false);
    assert!(without < 200, "without admission {without} would be in time");
}

fn replay(admits: bool) -> (usize, usize) {
    const SLOTS: u32 = 4;
    let objective = Duration::from_millis(600);
    let interval_ms = u64::try_from(WORK.as_millis()).unwrap() * 2 / 3 / u64::from(SLOTS);
    let told: Rc<RefCell<Vec<usize>>> = Rc::default();
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    pool.update(vec![server(1, SLOTS)], u32::MAX);
    let mut running: Vec<(Instant, Arc<Server>)> = Vec::new();
    let mut arrivals = Vec::new();
    let (mut in_time, mut late, mut seen) = (0, 0, 0);
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
                    running.push((now + WORK, server));
                }
                None => {
                    let rank = Rank::new(0, false);
                    let verdict =
                        admission::judge(time(600, 4_000), &load(pool.queued_before(rank)));
                    let limit = match verdict {
                        Verdict::Wait { limit } => Some(limit),
                        Verdict::Refuse { .. } => (!admits).then_some(Duration::from_secs(4)),
                    };
                    if let Some(limit) = limit {
                        let ticket = Ticket(arrivals.len() - 1, Rc::clone(&told));
                        pool.enqueue_ranked(ticket, rank, Criteria::default(), limit, now);
                    }
                }
            }
        }
        for i in told.borrow().iter().skip(seen) {
            let server = pool.servers()[0].clone();
            running.push((now + WORK, server));
            match now.since(arrivals[*i]) + WORK <= objective {
                true => in_time += 1,
                false => late += 1,
            }
        }
        seen = told.borrow().len();
    }
    (in_time, late)
}

/// The load: requests for a few objects on two servers. Each object's requests meet on one
/// server as long as that has a slot, and spill over otherwise.
#[test]
fn requests_for_one_object_meet_on_a_server_that_knows_it() {
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    pool.update(vec![server(1, 2), server(2, 2)], u32::MAX);
    let wish = Criteria { object: Some(Object::from_hash(7)), ..Criteria::default() };
    let first = pool.try_acquire_for(&wish, at(0)).unwrap();
    first.record_object(Object::from_hash(7), at(0));
    let second = pool.try_acquire_for(&wish, at(0)).unwrap();
    assert_eq!(first.identity, second.identity);
    let third = pool.try_acquire_for(&wish, at(0)).unwrap();
    assert_ne!(first.identity, third.identity, "a busy server is no reason to wait");
}

#[test]
fn a_retry_goes_to_another_server() {
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let servers = vec![server(1, 2), server(2, 2)];
    pool.update(servers.clone(), u32::MAX);
    for failed in &servers {
        let wish = Criteria { excluded: Some(failed.identity.name.clone()), ..Criteria::default() };
        let chosen = pool.try_acquire_for(&wish, at(0)).unwrap();
        assert_ne!(chosen.identity, failed.identity);
    }
}

/// A request that must stay in its region never gets a borrowed slot, also from the queue.
#[test]
fn a_bound_request_waits_for_a_server_of_its_region() {
    let told = Rc::default();
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let (own, other) = (server(1, 1), server(2, 1));
    other.set_borrowed(true);
    pool.update(vec![Arc::clone(&own), Arc::clone(&other)], u32::MAX);
    let bound = Criteria { is_bound: true, ..Criteria::default() };
    let near = pool.try_acquire_for(&bound, at(0)).unwrap();
    assert_eq!(near.identity, own.identity);
    assert!(pool.try_acquire_for(&bound, at(0)).is_none());
    let ticket = Ticket(1, Rc::clone(&told));
    pool.enqueue_ranked(ticket, Rank::default(), bound, Duration::from_secs(9), at(0));
    assert!(told.borrow().is_empty(), "the borrowed slot is free and must stay so");
    pool.release(&near, at(1));
    assert_eq!(*told.borrow(), [1]);
}

/// Servers that remember least recently used objects forget the oldest one first.
#[test]
fn a_server_forgets_the_object_that_was_used_longest_ago() {
    let server = server(1, 1);
    (1..=16).for_each(|hash| server.record_object(Object::from_hash(hash), at(0)));
    server.record_object(Object::from_hash(1), at(0));
    server.record_object(Object::from_hash(17), at(0));
    let warmth = CacheModel::new();
    let knows = |hash| warmth.is_cached(server.reuse_distance(Object::from_hash(hash)));
    assert!(knows(1));
    assert!(!knows(2));
    assert!(knows(17));
    assert_eq!(server.reuse_distance(Object::from_hash(99)), ReuseDistance::UNKNOWN);
}
