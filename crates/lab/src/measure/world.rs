//! One run in virtual time: events in order, requests through a policy, servers that run them.

use std::{cmp::Reverse, collections::BinaryHeap};

use oleanderspan::{
    prelude::*,
    region::Percent,
    request::retry::{Budget, Deadline},
    shift::{Cap, Vector},
};

use crate::{
    deployment::CONNECTION_SETUP_TIME,
    measure::{
        arrival::Request,
        case::{Case, Change, Topology},
        policy::{Decision, Policy, View},
        server::{Reception, Server},
        steering::Steering,
        trace::{End, Ended, Sample, Trace},
    },
};

/// What policies may look at; a macro, so that only the fields named here are borrowed.
macro_rules! view {
    ($world:ident) => {
        View {
            now: $world.now,
            queue_timeout: $world.limits.queue_timeout,
            topology: &$world.case.topology,
            servers: &$world.servers,
        }
    };
}

/// How often shares move and the regions are sampled.
const TICK: Duration = Duration::from_millis(100);

/// How long it takes until hosts know of a failed region.
const FAILURE_NOTICED: Duration = Duration::from_secs(1);

/// How late the platform's list shows that a server is leaving.
const LIST_LAG: Duration = Duration::from_secs(2);

/// How long callers keep the name of a host.
const LOCATE_MAX_AGE: Duration = Duration::from_secs(5);

/// The most attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// Limits of a service, as documents have them by default.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest time from arrival to answer.
    pub request_timeout: Duration,
    /// Longest time that a request waits for a slot.
    pub queue_timeout: Duration,
    /// Retries as a share of requests.
    pub retries: Percent,
    /// Hedges as a share of requests.
    pub hedges: Percent,
    /// How fast a planned shift may go.
    pub shift: Cap,
    /// How fast a failed region may be left.
    pub failover: Cap,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Decide(usize),
    Abandon(usize),
    Reach(usize),
    Finish(usize),
    Answer(usize),
    Hedge(usize),
    Change(Change),
    Noticed(usize),
    Listed(usize),
    Tick,
}

/// What is known of a request on its way.
#[derive(Clone, Debug)]
struct Progress {
    decider: usize,
    region: usize,
    attempts: u32,
    waits: bool,
    ended: bool,
    running: Vec<usize>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Underway,
    Runs,
    Finished,
    Shed,
    Over,
}

/// One attempt at a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: usize,
    decider: usize,
    server: usize,
    began: Instant,
    stage: Stage,
}

/// A run of one case with one policy a region.
pub struct World<'a, P> {
    case: &'a Case,
    limits: &'a Limits,
    requests: &'a [Request],
    policies: Vec<P>,
    steering: Steering,
    servers: Vec<Server>,
    host_gone: Vec<bool>,
    host_left: Vec<Option<Instant>>,
    idle: Vec<Vec<u32>>,
    retries: Budget,
    hedges: Budget,
    progress: Vec<Progress>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    now: Instant,
    end: Instant,
    trace: Trace,
}

impl<'a, P: Policy> World<'a, P> {
    /// A run with a policy for each region.
    pub fn new(
        case: &'a Case,
        limits: &'a Limits,
        requests: &'a [Request],
        policies: Vec<P>,
    ) -> World<'a, P> {
        let topology = &case.topology;
        let of = |server| case.spells.iter().filter(move |s| s.server == server).copied();
        let servers = 0..topology.servers.len();
        let progress = Progress {
            decider: 0,
            region: 0,
            attempts: 0,
            waits: false,
            ended: false,
            running: Vec::new(),
        };
        World {
            servers: servers.map(|i| Server::new(topology.slots, of(i).collect())).collect(),
            host_gone: vec![false; topology.hosts.len()],
            host_left: vec![None; topology.hosts.len()],
            idle: vec![vec![0; topology.servers.len()]; topology.hosts.len()],
            steering: Steering::new(topology, &limits.failover),
            retries: Budget::new(limits.retries),
            hedges: Budget::new(limits.hedges),
            progress: vec![progress; requests.len()],
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: Instant::ZERO,
            end: Instant::ZERO + case.length(),
            trace: Trace {
                last_start: vec![Instant::ZERO; topology.servers.len()],
                last_end: vec![Instant::ZERO; topology.servers.len()],
                ..Trace::default()
            },
            case,
            limits,
            requests,
            policies,
        }
    }

    /// Runs to the end of the last request.
    pub fn run(mut self) -> Trace {
        if !self.requests.is_empty() {
            self.at(self.requests[0].at, Event::Arrive(0));
        }
        for (at, change) in &self.case.changes {
            self.at(*at, Event::Change(*change));
        }
        self.at(Instant::ZERO, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
            self.start_granted();
            self.end_refused();
        }
        self.trace
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Decide(request) => self.decide(request),
            Event::Abandon(request) => self.abandon(request),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Answer(attempt) => self.answer(attempt),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::Change(change) => self.change(change),
            Event::Noticed(region) => self.notice(region),
            Event::Listed(server) => self.list(server),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, request: usize) {
        if let Some(next) = self.requests.get(request + 1) {
            self.at(next.at, Event::Arrive(request + 1));
        }
        let call = &self.requests[request];
        let Some(host) = self.live_host(call.host) else {
            return self.ended(request, End::NotRun);
        };
        let region = self.steering.next(host, call.origin);
        let decider = self.policies[region].decider(host);
        self.progress[request].region = region;
        self.progress[request].decider = decider;
        let way = self.way(request);
        if self.host_gone[decider] {
            return self.ended(request, End::NotRun);
        }
        self.retries.record_first_attempt();
        self.hedges.record_first_attempt();
        self.at(self.now + way, Event::Decide(request));
    }

    /// The host itself, or the next one that is not gone, as callers try them in turn.
    fn live_host(&self, host: usize) -> Option<usize> {
        let hosts = self.host_gone.len();
        (0..hosts).map(|i| (host + i) % hosts).find(|host| self.takes_callers(*host))
    }

    /// A leaving host serves callers until the last answer that names it has run out.
    fn takes_callers(&self, host: usize) -> bool {
        let left = self.host_left[host];
        !self.host_gone[host] && left.is_none_or(|left| self.now.since(left) < LOCATE_MAX_AGE)
    }

    /// One way between the host of a request and the host that decides about it.
    fn way(&self, request: usize) -> Duration {
        let progress = &self.progress[request];
        let host = self.requests[request].host;
        if host == progress.decider || !self.policies[progress.region].pays_for_ways() {
            return Duration::ZERO;
        }
        let hosts = &self.case.topology.hosts;
        self.case.topology.latency(hosts[host], hosts[progress.decider])
    }

    fn decide(&mut self, request: usize) {
        let progress = &self.progress[request];
        let (region, decider) = (progress.region, progress.decider);
        if self.host_gone[decider] {
            return self.ended(request, End::NotRun);
        }
        let elected = self.policies[region].decider(decider);
        if elected != decider {
            self.progress[request].decider = elected;
            let way = self.way(request);
            return self.at(self.now + way, Event::Decide(request));
        }
        let view = view!(self);
        match self.policies[region].offer(request, decider, view) {
            Decision::Start(server) => self.start(request, decider, server),
            Decision::Wait => {
                self.progress[request].waits = true;
                self.at(self.now + self.limits.queue_timeout, Event::Abandon(request));
            }
            Decision::Refuse => self.refuse(request),
        }
    }

    fn start_granted(&mut self) {
        for region in 0..self.policies.len() {
            loop {
                let view = view!(self);
                let Some(grant) = self.policies[region].granted(view) else { break };
                self.progress[grant.request].waits = false;
                self.start(grant.request, grant.decider, grant.server);
            }
        }
    }

    fn end_refused(&mut self) {
        for region in 0..self.policies.len() {
            while let Some(request) = self.policies[region].refused() {
                self.progress[request].waits = false;
                self.ended(request, End::NotRun);
            }
        }
    }

    fn start(&mut self, request: usize, decider: usize, server: usize) {
        let attempt = self.attempts.len();
        let began = self.now;
        self.attempts.push(Attempt { request, decider, server, began, stage: Stage::Underway });
        let progress = &mut self.progress[request];
        progress.running.push(attempt);
        progress.attempts += 1;
        let region = progress.region;
        self.trace.attempts += 1;
        let way = self.way_to(decider, server, region);
        let connects = self.connects(decider, server) && self.policies[region].pays_for_ways();
        let cost = if connects { CONNECTION_SETUP_TIME + way * 2 } else { Duration::ZERO };
        self.at(self.now + cost + way, Event::Reach(attempt));
        if let Some(delay) = self.policies[region].hedge_delay(decider) {
            self.at(self.now + delay, Event::Hedge(attempt));
        }
    }

    /// Takes an idle connection if there is one; otherwise one has to be set up.
    fn connects(&mut self, decider: usize, server: usize) -> bool {
        let idle = &mut self.idle[decider][server];
        let connects = *idle == 0;
        *idle = idle.saturating_sub(1);
        connects
    }

    fn way_to(&self, decider: usize, server: usize, region: usize) -> Duration {
        if !self.policies[region].pays_for_ways() {
            return Duration::ZERO;
        }
        let topology = &self.case.topology;
        topology.latency(topology.hosts[decider], topology.servers[server])
    }

    fn reach(&mut self, attempt: usize) {
        let Attempt { server, stage, .. } = self.attempts[attempt];
        if stage == Stage::Over {
            return;
        }
        if self.servers[server].is_gone {
            return self.shed(attempt);
        }
        match self.servers[server].receive(attempt) {
            Reception::Runs => self.run_attempt(attempt),
            Reception::Waits => {}
            Reception::Sheds => self.shed(attempt),
        }
        self.check_ceiling(server);
    }

    fn shed(&mut self, attempt: usize) {
        self.attempts[attempt].stage = Stage::Shed;
        let Attempt { server, decider, request, .. } = self.attempts[attempt];
        let way = self.way_to(decider, server, self.progress[request].region);
        self.at(self.now + way, Event::Answer(attempt));
    }

    fn run_attempt(&mut self, attempt: usize) {
        let Attempt { server, request, .. } = self.attempts[attempt];
        self.attempts[attempt].stage = Stage::Runs;
        self.trace.last_start[server] = self.now;
        let end = self.servers[server].end(self.now, self.requests[request].run);
        self.at(end, Event::Finish(attempt));
    }

    fn finish(&mut self, attempt: usize) {
        let Attempt { server, stage, decider, request, .. } = self.attempts[attempt];
        if stage == Stage::Over {
            return;
        }
        self.attempts[attempt].stage = Stage::Finished;
        self.free(server);
        self.idle[decider][server] += 1;
        let way = self.way_to(decider, server, self.progress[request].region);
        self.at(self.now + way, Event::Answer(attempt));
    }

    fn free(&mut self, server: usize) {
        self.trace.last_end[server] = self.now;
        if let Some(next) = self.servers[server].finish() {
            self.run_attempt(next);
        }
    }

    fn answer(&mut self, attempt: usize) {
        let Attempt { request, decider, server, began, stage } = self.attempts[attempt];
        if stage == Stage::Over {
            return;
        }
        let shed = stage == Stage::Shed;
        let latency = (!shed).then(|| self.now.since(began));
        self.close(attempt, latency);
        if self.servers[server].is_leaving {
            self.see_leaving(decider, server);
        }
        if shed && self.progress[request].running.is_empty() {
            return self.refuse(request);
        }
        if shed {
            return;
        }
        for other in self.progress[request].running.clone() {
            self.cancel(other);
        }
        let way = self.way(request);
        let done = self.now + way;
        self.ended_at(request, End::Done(done.since(self.requests[request].at)), done);
    }

    /// Gives the slot of an attempt back.
    fn close(&mut self, attempt: usize, latency: Option<Duration>) {
        let Attempt { request, decider, server, .. } = self.attempts[attempt];
        self.attempts[attempt].stage = Stage::Over;
        self.progress[request].running.retain(|other| *other != attempt);
        let region = self.progress[request].region;
        let view = view!(self);
        self.policies[region].answered(decider, server, latency, view);
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt { server, stage, .. } = self.attempts[attempt];
        self.close(attempt, None);
        match stage {
            Stage::Runs => self.free(server),
            Stage::Underway => self.servers[server].forget(attempt),
            Stage::Finished | Stage::Shed | Stage::Over => {}
        }
    }

    fn hedge(&mut self, attempt: usize) {
        let Attempt { request, decider, server, stage, .. } = self.attempts[attempt];
        let region = self.progress[request].region;
        if stage == Stage::Over
            || self.progress[request].running.len() > 1
            || self.host_gone[decider]
        {
            return;
        }
        let view = view!(self);
        // A slot is looked for first, so that the budget is not spent where there is none.
        let Some(other) = self.policies[region].hedge(decider, server, view) else { return };
        if self.hedges.try_spend() {
            self.trace.hedges += 1;
            return self.start(request, decider, other);
        }
        self.policies[region].answered(decider, other, None, view);
    }

    fn abandon(&mut self, request: usize) {
        if self.progress[request].waits {
            self.progress[request].waits = false;
            let region = self.progress[request].region;
            self.policies[region].give_up(request);
            self.ended(request, End::NotRun);
        }
    }

    /// Tries a request again that provably did not run, or refuses it.
    fn refuse(&mut self, request: usize) {
        let progress = &self.progress[request];
        let deadline = Deadline(self.requests[request].at + self.limits.request_timeout);
        let again = progress.attempts > 0
            && progress.attempts < MAX_ATTEMPTS
            && deadline.remaining(self.now).is_some()
            && self.retries.try_spend();
        if again {
            self.trace.retries += 1;
            self.decide(request);
        } else {
            self.ended(request, End::NotRun);
        }
    }

    fn ended(&mut self, request: usize, end: End) {
        self.ended_at(request, end, self.now);
    }

    fn ended_at(&mut self, request: usize, end: End, at: Instant) {
        if std::mem::replace(&mut self.progress[request].ended, true) {
            return;
        }
        let Request { at: arrived, origin, is_long, .. } = self.requests[request];
        self.trace.ended.push(Ended { arrived, at, origin, is_long, end });
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::ServerLeaves(server) => {
                self.servers[server].is_leaving = true;
                self.at(self.now + LIST_LAG, Event::Listed(server));
            }
            Change::HostLeaves(host) => {
                self.host_left[host] = Some(self.now);
                let view = view!(self);
                for policy in &mut self.policies {
                    policy.host_leaves(host, view);
                }
            }
            Change::RegionFails(region) => self.fail(region),
            Change::Move(from, to) => {
                let target = only(&self.case.topology, to);
                self.steering.aim(from, &target, &self.limits.shift);
            }
        }
    }

    fn fail(&mut self, region: usize) {
        let topology = &self.case.topology;
        for server in topology.servers_of(region) {
            self.servers[server] = Server::new(topology.slots, Vec::new());
            self.servers[server].is_gone = true;
        }
        for host in topology.hosts_of(region) {
            self.host_gone[host] = true;
        }
        for request in 0..self.requests.len() {
            let progress = &self.progress[request];
            if progress.region == region && (progress.waits || !progress.running.is_empty()) {
                for attempt in progress.running.clone() {
                    self.close(attempt, None);
                }
                self.progress[request].waits = false;
                self.ended(request, End::Unknown);
            }
        }
        self.at(self.now + FAILURE_NOTICED, Event::Noticed(region));
    }

    /// Sends the callers of a failed region to all others, by their slots.
    fn notice(&mut self, region: usize) {
        let topology = &self.case.topology;
        let slots = |i: usize| if i == region { 0 } else { u64::from(topology.slots_of(i)) };
        let all: u64 = (0..topology.regions()).map(slots).sum();
        let whole = u64::from(oleanderspan::shift::WHOLE_PPM);
        let mut shares: Vec<u32> =
            (0..topology.regions()).map(|i| (whole * slots(i) / all.max(1)) as u32).collect();
        let rest = whole as u32 - shares.iter().sum::<u32>();
        if let Some(last) = shares.iter_mut().rev().find(|share| **share > 0) {
            *last += rest;
        }
        if let Ok(target) = Vector::try_from(shares) {
            self.steering.aim(region, &target, &self.limits.failover);
        }
    }

    fn list(&mut self, server: usize) {
        for host in 0..self.host_gone.len() {
            self.see_leaving(host, server);
        }
    }

    fn see_leaving(&mut self, decider: usize, server: usize) {
        let region = self.case.topology.servers[server].region;
        let view = view!(self);
        self.policies[region].see_leaving(decider, server, view);
    }

    fn tick(&mut self) {
        self.steering.advance(self.now);
        let regions = 0..self.case.topology.regions();
        let sample = Sample {
            at: self.now,
            in_flight: regions.clone().map(|region| self.in_flight(region)).collect(),
            ceiling: regions.map(|region| self.ceiling(region)).collect(),
            shares_ppm: self.steering.shares(0).to_vec(),
        };
        self.trace.samples.push(sample);
        if self.now < self.end {
            self.at(self.now + TICK, Event::Tick);
        }
    }

    fn in_flight(&self, region: usize) -> u32 {
        self.case.topology.servers_of(region).map(|i| self.servers[i].load()).sum()
    }

    fn ceiling(&self, region: usize) -> u32 {
        let live = self.case.topology.servers_of(region).filter(|i| !self.servers[*i].is_gone);
        self.case.topology.ceiling(live.count() as u32)
    }

    fn check_ceiling(&mut self, server: usize) {
        let region = self.case.topology.servers[server].region;
        let over = self.in_flight(region).saturating_sub(self.ceiling(region));
        self.trace.over_ceiling = self.trace.over_ceiling.max(over);
    }
}

fn only(topology: &Topology, region: usize) -> Vector {
    Vector::only(oleanderspan::region::Index(region as u16), topology.regions())
}
