//! Discrete-event simulation of requests, load-balancing policies and backend servers.

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
        router::Router,
        server::{Admission, Server},
        trace::{Completion, Outcome, Sample, Trace},
    },
};

/// Builds the policy's [`View`]; a macro, so that only the fields it names are borrowed.
macro_rules! view {
    ($simulation:ident) => {
        View {
            now: $simulation.now,
            queue_timeout: $simulation.limits.queue_timeout,
            topology: &$simulation.case.topology,
            servers: &$simulation.servers,
        }
    };
}

/// Interval at which shares advance and the regions are sampled.
const TICK: Duration = Duration::from_millis(100);

/// Time until hosts detect the failure of a region.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_secs(1);

/// Delay until the platform's server list shows that a server is leaving.
const LIST_LAG: Duration = Duration::from_secs(2);

/// How long callers cache the answer that names an entry host.
const LOCATE_MAX_AGE: Duration = Duration::from_secs(5);

/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Limits of a service, as a document sets them.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time after arrival when a request is no longer retried.
    pub request_timeout: Duration,
    /// Maximum time that a request waits for a slot.
    pub queue_timeout: Duration,
    /// Retry budget, as a percentage of first attempts.
    pub retries: Percent,
    /// Hedging budget, as a percentage of first attempts.
    pub hedges: Percent,
    /// Cap on the rate of a planned shift.
    pub shift: Cap,
    /// Cap on the rate of a failover from a failed region.
    pub failover: Cap,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Decide(usize),
    Abandon(usize),
    ReachServer(usize),
    Finish(usize),
    Answer(usize),
    Hedge(usize),
    Change(Change),
    DetectFailure(usize),
    ListLeaving(usize),
    Tick,
}

/// State of a request.
#[derive(Clone, Debug)]
struct Progress {
    dispatcher: usize,
    region: usize,
    attempts: u32,
    is_waiting: bool,
    completed: bool,
    running: Vec<usize>,
}

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    InTransit,
    Running,
    Finished,
    Rejected,
    Closed,
}

/// An attempt to run a request on a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: usize,
    dispatcher: usize,
    server: usize,
    started_at: Instant,
    stage: Stage,
}

/// Simulation of one case with one policy per region.
pub struct Simulation<'a, P> {
    case: &'a Case,
    limits: &'a Limits,
    requests: &'a [Request],
    policies: Vec<P>,
    router: Router,
    servers: Vec<Server>,
    host_gone: Vec<bool>,
    host_leaving_since: Vec<Option<Instant>>,
    idle_connections: Vec<Vec<u32>>,
    retries: Budget,
    hedges: Budget,
    progress: Vec<Progress>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    now: Instant,
    arrivals_end: Instant,
    trace: Trace,
}

impl<'a, P: Policy> Simulation<'a, P> {
    /// Creates a simulation; `policies` has one entry per region, and `requests` are sorted by
    /// arrival.
    pub fn new(
        case: &'a Case,
        limits: &'a Limits,
        requests: &'a [Request],
        policies: Vec<P>,
    ) -> Simulation<'a, P> {
        let topology = &case.topology;
        let of = |server| case.slowdowns.iter().filter(move |s| s.server == server).copied();
        let servers = 0..topology.servers.len();
        let progress = Progress {
            dispatcher: 0,
            region: 0,
            attempts: 0,
            is_waiting: false,
            completed: false,
            running: Vec::new(),
        };
        Simulation {
            servers: servers.map(|i| Server::new(topology.slots, of(i).collect())).collect(),
            host_gone: vec![false; topology.hosts.len()],
            host_leaving_since: vec![None; topology.hosts.len()],
            idle_connections: vec![vec![0; topology.servers.len()]; topology.hosts.len()],
            router: Router::new(topology, &limits.failover),
            retries: Budget::new(limits.retries),
            hedges: Budget::new(limits.hedges),
            progress: vec![progress; requests.len()],
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: Instant::ZERO,
            arrivals_end: Instant::ZERO + case.length(),
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

    /// Processes events until none is left.
    pub fn run(mut self) -> Trace {
        if !self.requests.is_empty() {
            self.schedule(self.requests[0].at, Event::Arrive(0));
        }
        for (at, change) in &self.case.changes {
            self.schedule(*at, Event::Change(*change));
        }
        self.schedule(Instant::ZERO, Event::Tick);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
            self.start_granted();
            self.complete_refused();
        }
        self.trace
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Decide(request) => self.decide(request),
            Event::Abandon(request) => self.abandon(request),
            Event::ReachServer(attempt) => self.reach(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Answer(attempt) => self.answer(attempt),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::Change(change) => self.apply_change(change),
            Event::DetectFailure(region) => self.fail_over(region),
            Event::ListLeaving(server) => self.list_leaving(server),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, request: usize) {
        if let Some(next) = self.requests.get(request + 1) {
            self.schedule(next.at, Event::Arrive(request + 1));
        }
        let call = &self.requests[request];
        let Some(host) = self.live_host(call.host) else {
            return self.complete(request, Outcome::NotRun);
        };
        let region = self.router.next_region(host, call.origin);
        let dispatcher = self.policies[region].dispatcher(host);
        self.progress[request].region = region;
        self.progress[request].dispatcher = dispatcher;
        let one_way = self.dispatch_latency(request);
        if self.host_gone[dispatcher] {
            return self.complete(request, Outcome::NotRun);
        }
        self.retries.record_first_attempt();
        self.hedges.record_first_attempt();
        self.schedule(self.now + one_way, Event::Decide(request));
    }

    /// Returns `host` or the next host that accepts callers, as callers try them in turn.
    fn live_host(&self, host: usize) -> Option<usize> {
        let hosts = self.host_gone.len();
        (0..hosts).map(|i| (host + i) % hosts).find(|host| self.takes_callers(*host))
    }

    /// A draining host serves callers until the last cached answer that names it has expired.
    fn takes_callers(&self, host: usize) -> bool {
        let left = self.host_leaving_since[host];
        !self.host_gone[host] && left.is_none_or(|left| self.now.since(left) < LOCATE_MAX_AGE)
    }

    /// One-way latency from the entry host of a request to its dispatching host.
    fn dispatch_latency(&self, request: usize) -> Duration {
        let progress = &self.progress[request];
        let host = self.requests[request].host;
        if host == progress.dispatcher || !self.policies[progress.region].has_network_costs() {
            return Duration::ZERO;
        }
        let hosts = &self.case.topology.hosts;
        self.case.topology.latency(hosts[host], hosts[progress.dispatcher])
    }

    fn decide(&mut self, request: usize) {
        let progress = &self.progress[request];
        let (region, dispatcher) = (progress.region, progress.dispatcher);
        if self.host_gone[dispatcher] {
            return self.complete(request, Outcome::NotRun);
        }
        let elected = self.policies[region].dispatcher(dispatcher);
        if elected != dispatcher {
            self.progress[request].dispatcher = elected;
            let one_way = self.dispatch_latency(request);
            return self.schedule(self.now + one_way, Event::Decide(request));
        }
        let view = view!(self);
        match self.policies[region].offer(request, dispatcher, view) {
            Decision::Start(server) => self.start(request, dispatcher, server),
            Decision::Wait => {
                self.progress[request].is_waiting = true;
                self.schedule(self.now + self.limits.queue_timeout, Event::Abandon(request));
            }
            Decision::Refuse => self.refuse(request),
        }
    }

    fn start_granted(&mut self) {
        for region in 0..self.policies.len() {
            loop {
                let view = view!(self);
                let Some(grant) = self.policies[region].next_granted(view) else { break };
                self.progress[grant.request].is_waiting = false;
                self.start(grant.request, grant.dispatcher, grant.server);
            }
        }
    }

    fn complete_refused(&mut self) {
        for region in 0..self.policies.len() {
            while let Some(request) = self.policies[region].next_refused() {
                self.progress[request].is_waiting = false;
                self.complete(request, Outcome::NotRun);
            }
        }
    }

    fn start(&mut self, request: usize, dispatcher: usize, server: usize) {
        let attempt = self.attempts.len();
        let started_at = self.now;
        self.attempts.push(Attempt {
            request,
            dispatcher,
            server,
            started_at,
            stage: Stage::InTransit,
        });
        let progress = &mut self.progress[request];
        progress.running.push(attempt);
        progress.attempts += 1;
        let region = progress.region;
        self.trace.attempts += 1;
        let one_way = self.server_latency(dispatcher, server, region);
        let needs_connection =
            self.needs_connection(dispatcher, server) && self.policies[region].has_network_costs();
        let cost =
            if needs_connection { CONNECTION_SETUP_TIME + one_way * 2 } else { Duration::ZERO };
        self.schedule(self.now + cost + one_way, Event::ReachServer(attempt));
        if let Some(delay) = self.policies[region].hedge_delay(dispatcher) {
            self.schedule(self.now + delay, Event::Hedge(attempt));
        }
    }

    /// Takes an idle connection, or returns true if a new one has to be set up.
    fn needs_connection(&mut self, dispatcher: usize, server: usize) -> bool {
        let idle_connections = &mut self.idle_connections[dispatcher][server];
        let needs_connection = *idle_connections == 0;
        *idle_connections = idle_connections.saturating_sub(1);
        needs_connection
    }

    fn server_latency(&self, dispatcher: usize, server: usize, region: usize) -> Duration {
        if !self.policies[region].has_network_costs() {
            return Duration::ZERO;
        }
        let topology = &self.case.topology;
        topology.latency(topology.hosts[dispatcher], topology.servers[server])
    }

    fn reach(&mut self, attempt: usize) {
        let Attempt { server, stage, .. } = self.attempts[attempt];
        if stage == Stage::Closed {
            return;
        }
        if self.servers[server].is_gone {
            return self.reject(attempt);
        }
        match self.servers[server].admit(attempt) {
            Admission::Running => self.run_attempt(attempt),
            Admission::Queued => {}
            Admission::Rejected => self.reject(attempt),
        }
        self.check_ceiling(server);
    }

    fn reject(&mut self, attempt: usize) {
        self.attempts[attempt].stage = Stage::Rejected;
        let Attempt { server, dispatcher, request, .. } = self.attempts[attempt];
        let one_way = self.server_latency(dispatcher, server, self.progress[request].region);
        self.schedule(self.now + one_way, Event::Answer(attempt));
    }

    fn run_attempt(&mut self, attempt: usize) {
        let Attempt { server, request, .. } = self.attempts[attempt];
        self.attempts[attempt].stage = Stage::Running;
        self.trace.last_start[server] = self.now;
        let end =
            self.servers[server].completion_time(self.now, self.requests[request].service_time);
        self.schedule(end, Event::Finish(attempt));
    }

    fn finish(&mut self, attempt: usize) {
        let Attempt { server, stage, dispatcher, request, .. } = self.attempts[attempt];
        if stage == Stage::Closed {
            return;
        }
        self.attempts[attempt].stage = Stage::Finished;
        self.free_slot(server);
        self.idle_connections[dispatcher][server] += 1;
        let one_way = self.server_latency(dispatcher, server, self.progress[request].region);
        self.schedule(self.now + one_way, Event::Answer(attempt));
    }

    fn free_slot(&mut self, server: usize) {
        self.trace.last_end[server] = self.now;
        if let Some(next) = self.servers[server].finish() {
            self.run_attempt(next);
        }
    }

    fn answer(&mut self, attempt: usize) {
        let Attempt { request, dispatcher, server, started_at, stage } = self.attempts[attempt];
        if stage == Stage::Closed {
            return;
        }
        let is_rejected = stage == Stage::Rejected;
        let latency = (!is_rejected).then(|| self.now.since(started_at));
        self.release_slot(attempt, latency);
        if self.servers[server].is_leaving {
            self.record_leaving(dispatcher, server);
        }
        if is_rejected && self.progress[request].running.is_empty() {
            return self.refuse(request);
        }
        if is_rejected {
            return;
        }
        for other in self.progress[request].running.clone() {
            self.cancel(other);
        }
        let one_way = self.dispatch_latency(request);
        let done = self.now + one_way;
        self.complete_at(request, Outcome::Done(done.since(self.requests[request].at)), done);
    }

    /// Closes an attempt and returns its slot to the policy.
    fn release_slot(&mut self, attempt: usize, latency: Option<Duration>) {
        let Attempt { request, dispatcher, server, .. } = self.attempts[attempt];
        self.attempts[attempt].stage = Stage::Closed;
        self.progress[request].running.retain(|other| *other != attempt);
        let region = self.progress[request].region;
        let view = view!(self);
        self.policies[region].record_answer(dispatcher, server, latency, view);
    }

    fn cancel(&mut self, attempt: usize) {
        let Attempt { server, stage, .. } = self.attempts[attempt];
        self.release_slot(attempt, None);
        match stage {
            Stage::Running => self.free_slot(server),
            Stage::InTransit => self.servers[server].remove_queued(attempt),
            Stage::Finished | Stage::Rejected | Stage::Closed => {}
        }
    }

    fn hedge(&mut self, attempt: usize) {
        let Attempt { request, dispatcher, server, stage, .. } = self.attempts[attempt];
        let region = self.progress[request].region;
        if stage == Stage::Closed
            || self.progress[request].running.len() > 1
            || self.host_gone[dispatcher]
        {
            return;
        }
        let view = view!(self);
        // Looks for a slot first, so that the hedging budget is not spent when none is available.
        let Some(other) = self.policies[region].hedge(dispatcher, server, view) else { return };
        if self.hedges.try_spend() {
            self.trace.hedges += 1;
            return self.start(request, dispatcher, other);
        }
        self.policies[region].record_answer(dispatcher, other, None, view);
    }

    fn abandon(&mut self, request: usize) {
        if self.progress[request].is_waiting {
            self.progress[request].is_waiting = false;
            let region = self.progress[request].region;
            self.policies[region].abandon(request);
            self.complete(request, Outcome::NotRun);
        }
    }

    /// Retries a request that is known not to have run, or refuses it if it may not be retried.
    fn refuse(&mut self, request: usize) {
        let progress = &self.progress[request];
        let deadline = Deadline(self.requests[request].at + self.limits.request_timeout);
        let can_retry = progress.attempts > 0
            && progress.attempts < MAX_ATTEMPTS
            && deadline.remaining(self.now).is_some()
            && self.retries.try_spend();
        if can_retry {
            self.trace.retries += 1;
            self.decide(request);
        } else {
            self.complete(request, Outcome::NotRun);
        }
    }

    fn complete(&mut self, request: usize, outcome: Outcome) {
        self.complete_at(request, outcome, self.now);
    }

    fn complete_at(&mut self, request: usize, outcome: Outcome, at: Instant) {
        if std::mem::replace(&mut self.progress[request].completed, true) {
            return;
        }
        let Request { at: arrived, origin, is_long, .. } = self.requests[request];
        self.trace.completions.push(Completion { arrived, at, origin, is_long, outcome });
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::ServerLeaves(server) => {
                self.servers[server].is_leaving = true;
                self.schedule(self.now + LIST_LAG, Event::ListLeaving(server));
            }
            Change::HostLeaves(host) => {
                self.host_leaving_since[host] = Some(self.now);
                let view = view!(self);
                for policy in &mut self.policies {
                    policy.remove_host(host, view);
                }
            }
            Change::RegionFails(region) => self.fail_region(region),
            Change::ShiftTraffic(from, to) => {
                let target = all_to(&self.case.topology, to);
                self.router.set_target(from, &target, &self.limits.shift);
            }
        }
    }

    fn fail_region(&mut self, region: usize) {
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
            if progress.region == region && (progress.is_waiting || !progress.running.is_empty()) {
                for attempt in progress.running.clone() {
                    self.release_slot(attempt, None);
                }
                self.progress[request].is_waiting = false;
                self.complete(request, Outcome::Unknown);
            }
        }
        self.schedule(self.now + FAILURE_DETECTION_DELAY, Event::DetectFailure(region));
    }

    /// Redirects the callers of a failed region to the others, in proportion to their slots.
    fn fail_over(&mut self, region: usize) {
        let topology = &self.case.topology;
        let slots = |i: usize| if i == region { 0 } else { u64::from(topology.slots_of(i)) };
        let total_slots: u64 = (0..topology.regions()).map(slots).sum();
        let total_ppm = u64::from(oleanderspan::shift::WHOLE_PPM);
        let mut shares: Vec<u32> = (0..topology.regions())
            .map(|i| (total_ppm * slots(i) / total_slots.max(1)) as u32)
            .collect();
        let remainder = total_ppm as u32 - shares.iter().sum::<u32>();
        if let Some(last) = shares.iter_mut().rev().find(|share| **share > 0) {
            *last += remainder;
        }
        if let Ok(target) = Vector::try_from(shares) {
            self.router.set_target(region, &target, &self.limits.failover);
        }
    }

    fn list_leaving(&mut self, server: usize) {
        for host in 0..self.host_gone.len() {
            self.record_leaving(host, server);
        }
    }

    fn record_leaving(&mut self, dispatcher: usize, server: usize) {
        let region = self.case.topology.servers[server].region;
        let view = view!(self);
        self.policies[region].record_leaving(dispatcher, server, view);
    }

    fn tick(&mut self) {
        self.router.advance(self.now);
        let regions = 0..self.case.topology.regions();
        let sample = Sample {
            at: self.now,
            in_flight: regions.clone().map(|region| self.in_flight(region)).collect(),
            ceiling: regions.map(|region| self.ceiling(region)).collect(),
            shares_ppm: self.router.shares(0).to_vec(),
        };
        self.trace.samples.push(sample);
        if self.now < self.arrivals_end {
            self.schedule(self.now + TICK, Event::Tick);
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

fn all_to(topology: &Topology, region: usize) -> Vector {
    Vector::only(oleanderspan::region::Index(region as u16), topology.regions())
}
