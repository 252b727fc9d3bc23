//! The queue of a pool: every call ends, no waiter is left while a slot suits it, and every slot is
//! counted once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cell::RefCell, net::Ipv4Addr, rc::Rc, sync::mpsc, thread};

use oleanderspan::{
    availability::{self, Location},
    backend::{
        Name, Pool, Sender, Server, Waiter,
        cold::Rate,
        pool::{Criteria, OverloadPolicy, Rank},
        server::Identity,
    },
    entry,
    prelude::*,
    region,
};
use proptest::prelude::*;

const OWN: region::Index = region::Index(0);
const OTHER: region::Index = region::Index(1);

/// Far beyond the time that a call takes, as a call that never returns is told from a slow one.
const HANG_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

const LIMIT: Duration = Duration::from_secs(100);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn sender(number: u64) -> Sender {
    Sender::from(&entry::Name::try_from(format!("host-{number}").as_str()).unwrap())
}

fn server(region: region::Index, number: u16, slots: u32) -> Arc<Server> {
    let name = Name::try_from(format!("server-{number}").as_str()).unwrap();
    let location = Location { zone: availability::Index(u16::from(region != OWN)), region };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, number));
    Arc::new(Server::new(Identity { name, incarnation: 1 }, address, location, slots))
}

/// A waiter that sends the server that it is granted.
struct Sent(mpsc::Sender<Arc<Server>>);

impl Waiter for Sent {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        self.0.send(server).map_err(|error| error.0)
    }
}

/// A gateway hung: a request bound to the region was compared without end with a borrowed slot,
/// while the only free slots of the region were those of a server that its host backs off from.
#[test]
fn queue_beside_a_server_to_be_backed_off_from_and_a_borrowed_one_is_left_alone() {
    let (done, has_returned) = mpsc::channel();
    thread::spawn(move || {
        let pool = Pool::for_region(OWN, OverloadPolicy::ServeUntilLimit);
        let (own, borrowed) = (server(OWN, 1, 3), server(OTHER, 2, 3));
        own.suspect();
        own.notice().back_off(&own.identity, sender(1), Duration::from_secs(1), at(1));
        pool.update(vec![Arc::clone(&own), borrowed], u32::MAX);
        let (granted, grants) = mpsc::channel();
        let criteria =
            Criteria { region: Some(OWN), sender: Some(sender(1)), ..Criteria::default() };
        let busy = server(OWN, 3, 1);
        assert!(busy.try_acquire_slot());
        pool.update([pool.servers().to_vec(), vec![busy]].concat(), u32::MAX);
        pool.enqueue_ranked(Sent(granted), Rank::default(), criteria, LIMIT, at(2));
        assert!(grants.try_recv().is_err(), "the host backs off");
        pool.serve_waiting(at(3_000));
        done.send(grants.try_recv().unwrap().identity == own.identity).unwrap();
    });
    assert_eq!(has_returned.recv_timeout(HANG_TIMEOUT), Ok(true));
}

/// What became of a waiter; `None` while it waits.
type Outcome = Rc<RefCell<Option<Option<Arc<Server>>>>>;

#[derive(Clone)]
struct Ticket {
    sender: Sender,
    outcome: Outcome,
}

impl Waiter for Ticket {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        *self.outcome.borrow_mut() = Some(Some(server));
        Ok(())
    }

    fn refuse(self) {
        *self.outcome.borrow_mut() = Some(None);
    }

    fn sender(&self) -> Option<Sender> {
        Some(self.sender)
    }
}

/// Whether the pool may hand the waiter a slot of this server now. A request goes even to the
/// server that it excludes if no other has a free slot.
fn suits(criteria: &Criteria, server: &Server, now: Instant) -> bool {
    server.free() > 0
        && criteria.allows_region_of(server)
        && server.notice().is_open(criteria.sender, now)
        && server.cold().is_open(now)
        && !server.is_avoided(now)
}

proptest! {
    /// Servers are lent, backed off from, cold, suspect, excluded and leaving, and requests bound to
    /// the region, in any order.
    #[test]
    fn queue_leaves_no_slot_unused_that_suits_a_waiter(
        kinds in proptest::collection::vec((any::<bool>(), 1_u32..4, any::<bool>()), 1..5),
        steps in proptest::collection::vec((0_u8..12, 0_usize..64, 0_u64..2_500), 1..80),
    ) {
        let pool: Pool<Ticket> = Pool::for_region(OWN, OverloadPolicy::ServeUntilLimit);
        let servers: Vec<_> = kinds.iter().zip(1..).map(|(&(is_own, slots, is_cold), number)| {
            let server = server(if is_own { OWN } else { OTHER }, number, slots);
            if is_cold {
                server.cold().limit_until(at(20_000), Rate::per_1000_s(4_500));
            }
            server
        }).collect();
        pool.update(servers.clone(), u32::MAX);
        let mut now = at(10);
        let mut waiting: Vec<(Criteria, Outcome)> = Vec::new();
        let mut held: Vec<Arc<Server>> = Vec::new();
        for (step, pick, millis) in steps {
            let server = &servers[pick % servers.len()];
            let (queued, examined) = (pool.queued() as u64, pool.examined());
            match step {
                0..=4 => {
                    let criteria = Criteria {
                        region: (step < 2).then_some(OWN),
                        excluded: (pick % 5 == 0).then(|| server.identity.name.clone()),
                        sender: Some(sender(millis % 3)),
                        ..Criteria::default()
                    };
                    if let Some(server) = pool.try_acquire_for(&criteria, now) {
                        held.push(server);
                    } else {
                        let outcome = Outcome::default();
                        waiting.push((criteria.clone(), Rc::clone(&outcome)));
                        let ticket = Ticket { sender: sender(millis % 3), outcome };
                        let limit = if pick % 7 == 0 { Duration::from_millis(300) } else { LIMIT };
                        let rank = Rank::new((pick % 4) as u8, pick % 3 == 0);
                        pool.enqueue_ranked(ticket, rank, criteria, limit, now);
                    }
                }
                5..=7 if !held.is_empty() => {
                    let server = held.swap_remove(pick % held.len());
                    pool.release(&server, now);
                }
                8 => {
                    let asked = Duration::from_millis(millis);
                    server.notice().back_off(&server.identity, sender(millis % 3), asked, now);
                    server.suspect();
                    continue;
                }
                9 if millis % 8 == 0 => {
                    server.notice().record_leaving();
                    continue;
                }
                10 => {
                    server.set_reserved((millis % 3) as u32);
                    continue;
                }
                _ => {
                    now = now + Duration::from_millis(millis / 4);
                    pool.serve_waiting(now);
                }
            }
            // A release serves the queue before and after that of its server.
            let passes = if matches!(step, 5..=7) { 2 } else { 1 };
            prop_assert!(pool.examined() - examined <= passes * (queued + 1));
            waiting.retain(|(_, outcome)| match outcome.take() {
                None => true,
                Some(granted) => {
                    held.extend(granted);
                    false
                }
            });
            if step < 5 && pool.queued() as u64 <= queued {
                // Granted without the queue; a slot may have become usable as time passed.
                continue;
            }
            for (criteria, _) in &waiting {
                let suitable = servers.iter().find(|server| suits(criteria, server, now));
                prop_assert!(suitable.is_none(), "{criteria:?} waits beside {suitable:?}");
            }
            for server in &servers {
                let granted = held.iter().filter(|held| Arc::ptr_eq(held, server)).count();
                prop_assert_eq!(server.in_flight() as usize, granted);
            }
            prop_assert_eq!(pool.limiter().in_flight() as usize, held.len());
        }
    }
}
