//! The share of every region keeps to the caps over all hosts together, in virtual time.
//!
//! The hosts run the real decisions (`shift::Controller`). The model around them is the worst that
//! the brief allows: documents and failures become known up to three seconds apart, exchanges
//! get lost, hosts die and their callers jump to others at once, hosts are paused, and the store
//! may be away all the time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleanderspan::{
    clock::Instant,
    document::{ValidatedDocument, Version, raw},
    entry,
    region::{self, Headroom},
    shift::{
        Controller, Statement, Vector,
        controller::{Inputs, PEER_WAIT, Recorded, SILENCE_TIMEOUT},
    },
};
use oleanderspan_lab::deployment::CUPRUL;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(250);
const LEARNING: Duration = Duration::from_secs(3);
const LONGEST_PAUSE: Duration = Duration::from_secs(120);
const REGIONS: usize = 3;
const SERVICE: &str = "stockview";

/// What can go wrong in a run.
#[derive(Clone, Copy)]
struct Faults {
    /// Kills and pauses for each host and second, in percent.
    per_second: f64,
    /// The store answers starting hosts.
    store: bool,
    /// One host in four learns of a document only after this time.
    late: Duration,
}

struct Host {
    name: entry::Name,
    region: usize,
    board: Controller,
    state: State,
    learned: Vec<Instant>,
    failure_seen: Vec<Duration>,
    weight: f64,
    last: Vec<Vector>,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Up,
    Frozen { since: Instant, until: Instant },
    Dead { until: Instant },
}

struct World {
    rng: ChaCha8Rng,
    now: Instant,
    faults: Faults,
    drafts: Vec<Arc<ValidatedDocument>>,
    hosts: Vec<Host>,
    failed: [Option<(Instant, Instant)>; REGIONS],
    headroom: [Headroom; REGIONS],
    history: Vec<(Instant, [[f64; REGIONS]; REGIONS])>,
}

/// Caps of planned shifts, in percent and seconds.
const CAPS: [(u8, u32); 3] = [(20, 60), (50, 10), (10, 30)];

fn routes(seed: u64, from_sud: [u8; REGIONS]) -> Arc<ValidatedDocument> {
    let (cap_percent, window_s) = CAPS[seed as usize % CAPS.len()];
    let mut raw: raw::Document = CUPRUL.document("production");
    raw.services.retain(|name, _| name == SERVICE);
    let names = raw.regions.keys().cloned();
    let sud: BTreeMap<String, u8> = names.zip(from_sud).filter(|(_, share)| *share > 0).collect();
    let service = raw.services.get_mut(SERVICE).unwrap();
    service.routes.insert("ro-sud".to_owned(), sud);
    service.shift = raw::Cap { cap_percent, window_s };
    Arc::new(ValidatedDocument::try_from(&raw).unwrap())
}

impl World {
    fn new(seed: u64, faults: Faults, first: Arc<ValidatedDocument>) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = CUPRUL.hosts().into_iter().map(|host| {
            let region = first.regions.iter().position(|r| host.zone.starts_with(r.name.as_str()));
            let region = region.unwrap();
            Host {
                name: entry::Name::try_from(host.name.as_str()).unwrap(),
                region,
                board: Controller::new(Instant::ZERO),
                state: State::Up,
                learned: vec![Instant::ZERO],
                failure_seen: (0..REGIONS).map(|_| LEARNING.mul_f64(rng.random())).collect(),
                weight: 1.0,
                last: Vec::new(),
            }
        });
        let hosts = hosts.collect();
        World {
            now: Instant::ZERO,
            faults,
            drafts: vec![first],
            hosts,
            failed: [None; REGIONS],
            headroom: [Headroom::Available; REGIONS],
            history: Vec::new(),
            rng,
        }
    }

    /// Accepts a document, which hosts learn at different times.
    fn accept(&mut self, draft: Arc<ValidatedDocument>) {
        self.drafts.push(draft);
        for host in &mut self.hosts {
            let late = if self.rng.random_bool(0.25) { self.faults.late } else { Duration::ZERO };
            host.learned.push(self.now + late + LEARNING.mul_f64(self.rng.random()));
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.break_things();
            self.exchange();
            for host in 0..self.hosts.len() {
                self.tick(host);
            }
            self.move_callers();
            self.measure();
        }
    }

    fn break_things(&mut self) {
        let now = self.now;
        for host in &mut self.hosts {
            match host.state {
                State::Frozen { until, .. } if now >= until => host.state = State::Up,
                State::Dead { until } if now >= until => {
                    host.board = Controller::new(now);
                    host.state = State::Up;
                }
                _ => {}
            }
        }
        let chance = self.faults.per_second / 100.0 * TICK.as_secs_f64();
        for i in 0..self.hosts.len() {
            if self.rng.random_bool(chance) {
                self.break_host(i);
            }
        }
        // All hosts but one of a region die or freeze at once, so that all callers change to that one.
        if self.rng.random_bool(chance) {
            let spared = self.rng.random_range(0..self.hosts.len());
            let region = self.hosts[spared].region;
            let near = (0..self.hosts.len()).filter(|i| self.hosts[*i].region == region);
            let is_kill = self.rng.random_bool(0.5);
            for i in near.filter(|i| *i != spared).collect::<Vec<_>>() {
                if is_kill { self.kill(i) } else { self.freeze(i) }
            }
        }
    }

    fn break_host(&mut self, i: usize) {
        if self.hosts[i].state == State::Up && self.rng.random_bool(0.5) {
            self.freeze(i);
        } else {
            self.kill(i);
        }
    }

    fn freeze(&mut self, i: usize) {
        if self.hosts[i].state == State::Up {
            let until = self.now + LONGEST_PAUSE.mul_f64(self.rng.random());
            self.hosts[i].state = State::Frozen { since: self.now, until };
        }
    }

    /// Kills a host, but never the last one that serves.
    fn kill(&mut self, i: usize) {
        let serves = |host: &Host| host.state == State::Up && host.board.is_in_force();
        let others =
            self.hosts.iter().enumerate().filter(|(other, host)| *other != i && serves(host));
        if others.count() > 0 && !matches!(self.hosts[i].state, State::Dead { .. }) {
            let until = self.now + Duration::from_secs(20).mul_f64(self.rng.random());
            self.hosts[i].state = State::Dead { until };
        }
    }

    fn exchange(&mut self) {
        let said: Vec<Option<Statement>> = self
            .hosts
            .iter()
            .map(|host| host.board.statement().filter(|_| host.state == State::Up))
            .collect();
        let names: Vec<entry::Name> = self.hosts.iter().map(|host| host.name.clone()).collect();
        for (i, host) in self.hosts.iter_mut().enumerate() {
            for (peer, statement) in said.iter().enumerate().filter(|(peer, _)| *peer != i) {
                let arrives = self.rng.random_bool(0.5) && host.state == State::Up;
                if let Some(statement) = statement.clone().filter(|_| arrives) {
                    host.board.record_peer(names[peer].clone(), statement, self.now);
                }
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let (now, host) = (self.now, &mut self.hosts[index]);
        if host.state != State::Up {
            return;
        }
        let version = host.learned.iter().rposition(|at| now >= *at).unwrap();
        if self.faults.store && !host.board.is_in_force() {
            host.board.set_recorded(Recorded::Nothing);
        }
        let failed = self.failed.iter().zip(&host.failure_seen).map(|(failure, delay)| {
            failure.is_some_and(|(from, to)| now >= from + *delay && now < to + *delay)
        });
        let view = Inputs {
            version: Version(version as u64 + 1),
            document: &self.drafts[version],
            own: region::Index(host.region as u16),
            failed: &[failed.collect()],
            headroom: &[self.headroom.to_vec()],
        };
        host.board.tick(&view, now);
        let service = &view.document.services[0].name;
        if host.board.is_in_force() {
            host.last = host.board.vectors(service);
        }
    }

    /// Callers leave a dead host at once, and a silent one as their cached answers run out.
    fn move_callers(&mut self) {
        let max_age = self.drafts[0].locate.max_age;
        let back = TICK.as_secs_f64() / max_age.as_secs_f64();
        for host in &mut self.hosts {
            host.weight = match host.state {
                State::Dead { .. } => 0.0,
                State::Frozen { since, .. } => {
                    let silent = self.now.since(since);
                    let gone = silent.saturating_sub(SILENCE_TIMEOUT).as_secs_f64();
                    host.weight.min((1.0 - gone / max_age.as_secs_f64()).max(0.0))
                }
                State::Up if host.board.is_in_force() => (host.weight + back).min(1.0),
                State::Up => 0.0,
            };
        }
    }

    fn measure(&mut self) {
        let mut shares = [[0.0; REGIONS]; REGIONS];
        for (origin, shares) in shares.iter_mut().enumerate() {
            let serves = |host: &&Host| host.weight > 0.0 && !host.last.is_empty();
            let near: Vec<&Host> =
                self.hosts.iter().filter(serves).filter(|host| host.region == origin).collect();
            let all: Vec<&Host> = self.hosts.iter().filter(serves).collect();
            let hosts = if near.is_empty() { all } else { near };
            if hosts.is_empty() {
                return;
            }
            let whole: f64 = hosts.iter().map(|host| host.weight).sum();
            for host in hosts {
                for (share, ppm) in shares.iter_mut().zip(host.last[origin].shares()) {
                    *share += f64::from(*ppm) * host.weight / whole;
                }
            }
        }
        self.history.push((self.now, shares));
    }

    /// The greatest rise of any region's share between two points at most `window` apart.
    fn greatest_rise(&self, window: Duration, from: Instant) -> f64 {
        let mut greatest: f64 = 0.0;
        let history: Vec<_> = self.history.iter().filter(|(at, _)| *at >= from).collect();
        for (i, (start, first)) in history.iter().enumerate() {
            let within = history[i..].iter().take_while(|(at, _)| at.since(*start) <= window);
            for (_, last) in within {
                let pairs = first.iter().flatten().zip(last.iter().flatten());
                greatest = pairs.map(|(a, b)| b - a).fold(greatest, f64::max);
            }
        }
        greatest
    }

    fn is_settled(&self) -> bool {
        let routes = &self.drafts.last().unwrap().services[0].routes;
        self.hosts.iter().filter(|host| host.state == State::Up).all(|host| host.last == *routes)
    }

    fn quiet(&mut self) {
        self.faults.per_second = 0.0;
    }
}

/// Regions by name are ro-est, ro-sud, ro-vest.
const AT_HOME: [u8; REGIONS] = [0, 100, 0];

const NO_FAULTS: Faults = Faults { per_second: 0.0, store: true, late: Duration::ZERO };

/// Starts hosts that agree, then lets things go wrong.
fn started(seed: u64, faults: Faults, first: [u8; REGIONS]) -> World {
    let mut world = World::new(seed, NO_FAULTS, routes(seed, first));
    world.run(PEER_WAIT + Duration::from_secs(5));
    world.faults = faults;
    world
}

fn settles_within_the_cap(seed: u64, faults: Faults) {
    let mut world = started(seed, faults, AT_HOME);
    let cap = world.drafts[0].services[0].shift.clone();
    world.accept(routes(seed, [0, 0, 100]));
    world.run(Duration::from_secs(150));
    // A new document in the middle of the shift, and another right behind it, so that some
    // hosts see both and some only the last one.
    world.accept(routes(seed, [50, 0, 50]));
    world.run(Duration::from_secs(1));
    world.accept(routes(seed, [60, 30, 10]));
    world.run(Duration::from_secs(200));
    world.quiet();
    world.run(Duration::from_secs(700));
    assert!(world.is_settled(), "seed {seed}: the shift never ended");
    let rise = world.greatest_rise(cap.window, Instant::ZERO);
    println!("seed {seed}: {rise:.0} of {} ppm", cap.rise_ppm);
    assert!(rise <= f64::from(cap.rise_ppm), "seed {seed}: {rise} over {}", cap.rise_ppm);
}

#[test]
fn a_planned_shift_keeps_to_its_cap_without_faults() {
    for seed in 0..3 {
        settles_within_the_cap(seed, NO_FAULTS);
    }
}

#[test]
fn a_planned_shift_keeps_to_its_cap_while_hosts_die_and_freeze() {
    for seed in 0..6 {
        settles_within_the_cap(seed, Faults { per_second: 1.0, ..NO_FAULTS });
    }
}

#[test]
fn a_planned_shift_keeps_to_its_cap_while_the_store_is_away_too() {
    for seed in 100..106 {
        settles_within_the_cap(seed, Faults { per_second: 1.0, store: false, ..NO_FAULTS });
    }
}

#[test]
fn hosts_that_learn_of_a_document_late_hold_the_others_back() {
    for seed in 300..306 {
        let late = Duration::from_secs(100);
        settles_within_the_cap(seed, Faults { per_second: 1.0, store: false, late });
    }
}

#[test]
fn a_failing_region_keeps_to_the_cap_of_failovers_and_comes_back_under_that_of_shifts() {
    for seed in 200..206 {
        let faults = Faults { per_second: 0.5, store: false, ..NO_FAULTS };
        let mut world = started(seed, faults, [10, 60, 30]);
        let service = world.drafts[0].services[0].clone();
        let back = world.now + Duration::from_secs(90);
        world.failed[1] = Some((world.now, back));
        world.run(Duration::from_secs(90));
        let rise = world.greatest_rise(service.failover.window, Instant::ZERO);
        println!("seed {seed}: {rise:.0} of {} ppm", service.failover.rise_ppm);
        assert!(rise <= f64::from(service.failover.rise_ppm), "seed {seed}: {rise}");
        let sud = world.history.last().unwrap().1[1][1];
        assert!(sud < 1.0, "seed {seed}: {sud} ppm still go to the failed region");
        world.run(Duration::from_secs(300));
        let rise = world.greatest_rise(service.shift.window, back + LEARNING);
        assert!(rise <= f64::from(service.shift.rise_ppm), "seed {seed}: {rise}");
        world.quiet();
        world.run(Duration::from_secs(300));
        assert!(world.is_settled(), "seed {seed}: the region was never given back");
    }
}

#[test]
fn a_shift_waits_for_headroom_and_measurements_and_goes_on_by_itself() {
    for headroom in [Headroom::Insufficient, Headroom::Unknown] {
        let mut world = started(400, NO_FAULTS, AT_HOME);
        world.accept(routes(400, [0, 0, 100]));
        world.run(Duration::from_secs(20));
        world.headroom[2] = headroom;
        world.run(TICK);
        let before = world.history.last().unwrap().1;
        world.run(Duration::from_secs(120));
        assert_eq!(world.history.last().unwrap().1, before, "{headroom:?}");
        world.headroom[2] = Headroom::Available;
        let resumed = world.now;
        world.run(Duration::from_secs(600));
        assert!(world.is_settled(), "{headroom:?}: the shift never went on");
        let cap = &world.drafts[0].services[0].shift;
        let rise = world.greatest_rise(cap.window, resumed);
        assert!(rise <= f64::from(cap.rise_ppm), "{headroom:?}: the wait was made up for");
    }
}

#[test]
fn a_failover_goes_on_without_measurements_but_not_into_a_region_short_of_headroom() {
    let mut world = started(500, NO_FAULTS, [10, 60, 30]);
    world.failed[1] = Some((world.now, world.now + Duration::from_secs(200)));
    world.headroom = [Headroom::Unknown, Headroom::Unknown, Headroom::Insufficient];
    world.run(Duration::from_secs(100));
    let [est, sud, vest] = world.history.last().unwrap().1[1];
    assert_eq!((est, sud, vest), (700_000.0, 0.0, 300_000.0));
}
