//! What servers say in their answers, at 80 hosts that ask one of them for slots, in virtual time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cell::RefCell, collections::BTreeMap};

use oleanderspan::{
    availability::{self, Location},
    backend::{
        Name, Pool, Sender, Server, Waiter,
        pool::{Criteria, OverloadPolicy},
        server::Identity,
    },
    entry,
    entry::membership::Random,
    prelude::*,
    region,
    request::admission,
};

const LOCATION: Location = Location { zone: availability::Index(0), region: region::Index(0) };

const HOSTS: usize = 80;
const SERVERS: u16 = 40;
const SLOTS: u32 = 8;

/// New requests in a millisecond, over all hosts: three of eight slots are busy.
const REQUESTS_PER_MS: usize = 6;

/// How long a server takes for a request, and for a rejection.
const SERVICE_MS: u64 = 20;
const REJECTION_MS: u64 = 1;

/// How often a client comes back.
const MAX_RETURNS: u32 = 4;

/// How long a backoff servers ask for.
const ASKED: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

struct Ticket;

impl Waiter for Ticket {
    fn grant(self, _server: Arc<Server>) -> Result<(), Arc<Server>> {
        Ok(())
    }
}

struct Lcg(u64);

impl Random for Lcg {
    fn below(&mut self, bound: usize) -> usize {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }
}

/// An arrival at a server.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: u64,
    host: usize,
    server: usize,
}

/// What a server answers at a time.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Served,
    /// 503 with `Retry-After`.
    Unavailable,
    /// A success that says that the server is leaving.
    Leaving,
}

/// Plays requests of all hosts until `end`. What a server says takes until the host's next request to
/// reach the host that gives out slots.
fn play(end: u64, answer: impl Fn(usize, u64) -> Answer) -> Vec<Arrival> {
    let pool: Pool<Ticket> = Pool::with_overload(OverloadPolicy::ServeUntilLimit);
    let server = |number: u16| {
        let name = Name::try_from(format!("server-{number}").as_str()).unwrap();
        let identity = Identity { name, incarnation: 1 };
        Arc::new(Server::new(identity, SocketAddr::from(([127, 0, 0, 1], number)), LOCATION, SLOTS))
    };
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    pool.update(servers.clone(), u32::MAX);
    let senders: Vec<Sender> = (0..HOSTS)
        .map(|host| Sender::from(&entry::Name::try_from(format!("host-{host}").as_str()).unwrap()))
        .collect();
    let random = RefCell::new(Lcg(7));
    let pick = |bound| random.borrow_mut().below(bound);
    let mut arrivals = Vec::new();
    // Releases, and clients that come back: the host that they ask and how often they have.
    let mut releases: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut returns: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    // By host, what it has heard from servers and not reported yet.
    let mut unreported: Vec<Vec<(usize, Option<Instant>)>> = vec![Vec::new(); HOSTS];
    for now in 0..end {
        for server in releases.remove(&now).unwrap_or_default() {
            pool.release(&servers[server], at(now));
        }
        let mut requests = returns.remove(&now).unwrap_or_default();
        requests.extend([0; REQUESTS_PER_MS]);
        for tries in requests {
            let host = pick(HOSTS);
            let sender = senders[host];
            for (server, ends) in unreported[host].drain(..) {
                let notice = servers[server].notice();
                match ends {
                    Some(ends) => notice.back_off_until(sender, ends, at(now)),
                    None => assert!(notice.record_leaving() || notice.is_leaving()),
                }
            }
            let criteria = Criteria { sender: Some(sender), ..Criteria::default() };
            let Some(granted) = pool.try_acquire_for(&criteria, at(now)) else {
                // All servers have asked for backoff, or all slots are taken.
                let ends = servers.iter().map(|server| criteria.backoff_until(server, at(now)));
                let shortest =
                    ends.collect::<Option<Vec<_>>>().and_then(|ends| ends.into_iter().min());
                let wait = shortest.map_or(Duration::from_millis(50), |ends| ends.since(at(now)));
                let wait = admission::spread_return(wait, &mut *random.borrow_mut());
                if tries < MAX_RETURNS {
                    let back = now + 1 + wait.as_millis() as u64;
                    returns.entry(back).or_default().push(tries + 1);
                }
                continue;
            };
            let server = servers.iter().position(|server| Arc::ptr_eq(server, &granted)).unwrap();
            arrivals.push(Arrival { at: now, host, server });
            let answer = answer(server, now);
            let held = if answer == Answer::Unavailable { REJECTION_MS } else { SERVICE_MS };
            releases.entry(now + held).or_default().push(server);
            match answer {
                Answer::Served => {}
                Answer::Unavailable => {
                    // The notice of the asked host's own, with the end as that host works it out.
                    let own = oleanderspan::backend::Notice::default();
                    let ends = own.back_off(&granted.identity, sender, ASKED, at(now));
                    unreported[host].push((server, Some(ends)));
                }
                Answer::Leaving => unreported[host].push((server, None)),
            }
        }
    }
    arrivals
}

/// All servers reject for a second; then they serve again.
#[test]
fn hosts_come_back_to_a_whole_service_without_a_storm() {
    const BEGIN: u64 = 500;
    const END: u64 = 1_500;
    let answer =
        |_, now| if (BEGIN..END).contains(&now) { Answer::Unavailable } else { Answer::Served };
    let arrivals = play(8_000, answer);
    // Neither host sends a server more than the request that it was told at, within the time asked.
    let mut told: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let asked = ASKED.as_millis() as u64;
    for arrival in &arrivals {
        let pair = (arrival.host, arrival.server);
        if let Some(told_at) = told.get(&pair) {
            let passed = arrival.at - told_at;
            assert!(passed >= asked, "{pair:?} after {passed} ms");
        }
        if (BEGIN..END).contains(&arrival.at) {
            told.insert(pair, arrival.at);
        }
    }
    // In the first half second that a server has requests again they come one by one, though the
    // clients that were sent away come back beside the new ones; later its slots bound them.
    for server in 0..usize::from(SERVERS) {
        let back: Vec<u64> = arrivals
            .iter()
            .filter(|a| a.server == server && a.at >= BEGIN + asked)
            .map(|a| a.at)
            .collect();
        let count = |from: u64| back.iter().filter(|at| (from..from + 50).contains(*at)).count();
        let peak = (back[0]..back[0] + 450).map(count).max().unwrap();
        assert!(peak <= 2, "{peak} requests within 50 ms at server {server}");
    }
    // And all are served again.
    let late = arrivals.iter().filter(|a| a.at >= 7_000).count();
    assert!(late >= 1_000 * REQUESTS_PER_MS * 95 / 100, "{late}");
}

/// A fifth of the servers leave and say so in their answers only.
#[test]
fn servers_that_leave_unlisted_get_few_requests_from_80_hosts() {
    const BEGIN: u64 = 500;
    let leaving = |server: usize| server.is_multiple_of(5);
    let answer = |server, now| {
        if leaving(server) && now >= BEGIN { Answer::Leaving } else { Answer::Served }
    };
    let arrivals = play(3_000, answer);
    let after: Vec<_> = arrivals.iter().filter(|a| leaving(a.server) && a.at >= BEGIN).collect();
    let last = after.iter().map(|a| a.at).max().unwrap_or_default();
    println!("{} requests, the last {} ms after", after.len(), last - BEGIN);
    // Until the first host that was told asks for its next slot; each host asks each 40 ms.
    assert!(last <= BEGIN + 1_000, "the last came {} ms after the first answer", last - BEGIN);
    assert!(after.len() <= 8 * 20, "{} requests reached the eight servers", after.len());
}
