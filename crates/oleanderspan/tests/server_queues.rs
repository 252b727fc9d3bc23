//! Several threads queue waiters for single servers and replace the servers of the pool.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    net::Ipv4Addr,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use oleanderspan::{
    availability::{self, Location},
    backend::{
        Name, Pool, Server, Waiter,
        pool::{Criteria, OverloadPolicy, Rank},
        server::Identity,
    },
    prelude::*,
    region,
};

const THREADS: usize = 4;

/// Waiters that each thread queues.
const WAITERS: usize = 100_000;

const LIMIT: Duration = Duration::from_secs(9);

/// A waiter that has left the queue before it is granted a slot.
struct Cancelled;

impl Waiter for Cancelled {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        Err(server)
    }
}

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn server() -> Arc<Server> {
    let name = Name::try_from("server-1").unwrap();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let location = Location { zone: availability::Index(0), region: region::Index(0) };
    Arc::new(Server::new(Identity { name, incarnation: 1 }, address, location, 4))
}

/// Admission refuses requests by this number.
#[test]
fn number_of_waiters_ahead_never_exceeds_those_that_wait() {
    let pool = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let server = server();
    pool.update(vec![Arc::clone(&server)], u32::MAX);
    let most_ahead = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for _ in 0..WAITERS {
                    pool.enqueue_for_server(Cancelled, &server, Rank::default(), LIMIT, at(1));
                    let ahead = pool.queued_before(Rank::default(), &Criteria::default());
                    most_ahead.fetch_max(ahead, Ordering::Relaxed);
                }
            });
        }
    });
    let most_ahead = most_ahead.into_inner();
    assert!(most_ahead <= THREADS, "{most_ahead} waiters ahead of a request");
    assert_eq!(pool.queued_before(Rank::default(), &Criteria::default()), 0);
}

/// A waiter may be queued for a server while the pool is being updated without it.
#[test]
fn waiters_of_a_removed_server_are_not_counted() {
    let pool = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let server = server();
    while server.try_acquire_slot() {}
    pool.update(vec![Arc::clone(&server)], u32::MAX);
    thread::scope(|scope| {
        let queueing: Vec<_> = (1..THREADS)
            .map(|_| {
                scope.spawn(|| {
                    for _ in 0..WAITERS {
                        pool.enqueue_for_server(Cancelled, &server, Rank::default(), LIMIT, at(1));
                    }
                })
            })
            .collect();
        while queueing.iter().any(|thread| !thread.is_finished()) {
            pool.update(Vec::new(), u32::MAX);
            pool.update(vec![Arc::clone(&server)], u32::MAX);
        }
    });
    pool.update(Vec::new(), u32::MAX);
    assert_eq!(pool.queued_before(Rank::default(), &Criteria::default()), 0);
}
