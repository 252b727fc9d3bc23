//! Simulates the membership of many hosts in virtual time, with message loss and partitions.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use oleanderspan::{
    availability::{self, Zone},
    clock::Instant,
    entry::{
        Member, Membership, Name,
        host::{Incarnation, State},
        membership::{Gossip, PROBE_TIMEOUT, ProbeTarget, ROUND_INTERVAL, Random, jitter},
    },
    region,
};
use oleanderspan_node::{codec, wire};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One of this many messages is encoded, to estimate the bytes sent.
const SIZE_SAMPLE_INTERVAL: u64 = 16;

/// Size of a digest: 64 buckets of 9 bytes.
const DIGEST_BYTES: u64 = 64 * 9;

/// Topology, message loss and seed of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of hosts, spread evenly over zones.
    pub hosts: usize,
    /// Number of zones, spread evenly over regions.
    pub zones: usize,
    /// Number of regions; at least 1.
    pub regions: usize,
    /// Probability that a message is lost, in percent.
    pub loss_percent: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Totals of the messages sent since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Messages, including answers.
    pub messages: u64,
    /// Body bytes of the messages, extrapolated from a sample.
    pub bytes: u64,
    /// Comparisons of the complete membership by digest.
    pub comparisons: u64,
    /// Messages between regions.
    pub inter_region: u64,
    /// Probe rounds of all hosts.
    pub rounds: u64,
}

/// Simulated hosts, their event queue, clock and links.
#[derive(Debug)]
pub struct Simulation {
    config: Config,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    scheduled_events: u64,
    now: Instant,
    rng: SeededRandom,
    partitioned: Vec<usize>,
    /// Messages sent by all hosts, including those that were lost.
    pub traffic: Traffic,
    /// Reports of a running host as gone, over all hosts.
    pub false_removals: u64,
    /// Suspicions of a running host, over all hosts.
    pub false_suspicions: u64,
}

#[derive(Debug)]
struct Node {
    members: Membership,
    is_running: bool,
    zone: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Round(usize),
    ProbeTimeout { prober: usize, target: usize, sent_at: Instant },
}

#[derive(Debug)]
struct SeededRandom(ChaCha8Rng);

impl Random for SeededRandom {
    fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }
}

impl Simulation {
    /// Hosts that know all others if `fully_connected`, or else only the first one as a seed.
    pub fn new(config: Config, fully_connected: bool) -> Simulation {
        let zones = zones(config);
        let members: Vec<Member> =
            (0..config.hosts).map(|host| member(config, &zones, host)).collect();
        let nodes = members.iter().enumerate().map(|(host, own)| {
            let mut known = Membership::new(own.clone(), Instant::ZERO);
            known.set_zones(&zones);
            known.merge(if fully_connected { &members } else { &members[..1] }, Instant::ZERO);
            known.take_changes();
            Node { members: known, is_running: true, zone: host % config.zones }
        });
        let mut simulation = Simulation {
            config,
            nodes: nodes.collect(),
            queue: BinaryHeap::new(),
            scheduled_events: 0,
            now: Instant::ZERO,
            rng: SeededRandom(ChaCha8Rng::seed_from_u64(config.seed)),
            partitioned: Vec::new(),
            traffic: Traffic::default(),
            false_removals: 0,
            false_suspicions: 0,
        };
        for host in 0..config.hosts {
            let first = jitter(ROUND_INTERVAL, &mut simulation.rng) - ROUND_INTERVAL / 2;
            simulation.schedule(first, Event::Round(host));
        }
        simulation
    }

    /// Virtual time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now.since(Instant::ZERO)
    }

    /// Stops a host without notice to the others.
    pub fn kill(&mut self, host: usize) {
        self.nodes[host].is_running = false;
    }

    /// Stops every host of a zone without notice.
    pub fn kill_zone(&mut self, zone: usize) {
        for node in self.nodes.iter_mut().filter(|node| node.zone == zone) {
            node.is_running = false;
        }
    }

    /// Cuts all links between `regions` and the other regions; an empty slice restores all links.
    pub fn partition(&mut self, regions: &[usize]) {
        self.partitioned = regions.to_vec();
    }

    /// Changes the state that a host announces for itself.
    pub fn set_state(&mut self, host: usize, state: State) {
        let now = self.now;
        self.nodes[host].members.set_state(state, now);
    }

    /// The membership as seen by a host.
    pub fn members(&self, host: usize) -> &Membership {
        &self.nodes[host].members
    }

    /// Runs until `holds` returns true and returns the virtual time taken, or `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Simulation) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let mut next_check = start;
        while self.now.since(start) < limit {
            if self.now >= next_check {
                if holds(self) {
                    return Some(self.now.since(start));
                }
                next_check = self.now + ROUND_INTERVAL / 10;
            }
            self.step();
        }
        None
    }

    /// Runs for `time` of virtual time.
    pub fn run(&mut self, time: Duration) {
        let _ = self.run_until(time, |_| false);
    }

    /// Number of running hosts that see `host` in one of `states`.
    pub fn count_holding(&self, host: usize, states: &[State]) -> usize {
        let name = &self.nodes[host].members.own().name;
        let holds = |node: &&Node| {
            node.is_running
                && node.members.peer(name).is_some_and(|peer| states.contains(&peer.state))
        };
        self.nodes.iter().filter(holds).count()
    }

    /// Number of hosts that have not been stopped.
    pub fn running_hosts(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_running).count()
    }

    /// Whether the memberships of all running hosts are equal.
    pub fn has_converged(&self) -> bool {
        let mut nodes = self.nodes.iter().filter(|node| node.is_running);
        let first = nodes.next().map(|node| node.members.digest());
        nodes.all(|node| Some(node.members.digest()) == first)
    }

    /// Number of running hosts that read the platform's store.
    pub fn store_readers(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_running && node.members.reads_store()).count()
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, event))) = self.queue.pop() else { return };
        self.now = at;
        match event {
            Event::Round(host) => self.round(host),
            Event::ProbeTimeout { prober, target, sent_at } => {
                let name = self.nodes[target].members.own().name.clone();
                self.nodes[prober].members.suspect(&name, sent_at, self.now);
            }
        }
    }

    fn round(&mut self, host: usize) {
        if !self.nodes[host].is_running {
            return;
        }
        self.traffic.rounds += 1;
        let targets = self.nodes[host].members.start_round(self.now, &mut self.rng);
        self.count_false_reports(host);
        for target in targets {
            self.probe(host, &target);
        }
        let pause = jitter(ROUND_INTERVAL, &mut self.rng);
        self.schedule(pause, Event::Round(host));
    }

    fn count_false_reports(&mut self, host: usize) {
        for change in self.nodes[host].members.take_changes() {
            if !self.nodes[host_index(&change.name)].is_running {
                continue;
            }
            match change.state {
                State::Gone => self.false_removals += 1,
                State::Suspect => self.false_suspicions += 1,
                _ => {}
            }
        }
    }

    fn probe(&mut self, host: usize, target: &ProbeTarget) {
        let target_host = host_index(&target.name);
        if self.exchange(host, target_host) || self.exchange(host, target_host) {
            return;
        }
        let probers = self.nodes[host].members.indirect_probers(&target.name, &mut self.rng);
        let answers = probers.iter().filter(|prober| {
            let prober = host_index(&prober.name);
            self.is_delivered(host, prober)
                && self.exchange(prober, target_host)
                && self.is_delivered(prober, host)
        });
        if answers.count() == 0 {
            let event =
                Event::ProbeTimeout { prober: host, target: target_host, sent_at: self.now };
            self.schedule(3 * PROBE_TIMEOUT, event);
        }
    }

    fn exchange(&mut self, a: usize, b: usize) -> bool {
        let names = [a, b].map(|host| self.nodes[host].members.own().name.clone());
        let request = self.nodes[a].members.gossip(Some(&names[1]));
        self.record_message(a, b, &request);
        if !self.is_delivered(a, b) {
            return false;
        }
        let answer = self.nodes[b].members.gossip(Some(&names[0]));
        self.receive(b, a, &request);
        self.record_message(b, a, &answer);
        if !self.is_delivered(b, a) {
            return false;
        }
        self.receive(a, b, &answer);
        true
    }

    fn receive(&mut self, host: usize, from: usize, gossip: &Gossip) {
        if !self.nodes[host].members.receive(gossip, self.now, &mut self.rng) {
            return;
        }
        let digests = self.nodes[host].members.digest().buckets().to_vec();
        let differing = self.nodes[from].members.differing_members(&digests);
        self.traffic.comparisons += 1;
        self.traffic.messages += 2;
        let hosts: Vec<wire::Host> = differing.iter().map(wire::Host::from).collect();
        self.traffic.bytes += DIGEST_BYTES + codec::to_wire(&hosts).map_or(0, |b| b.len() as u64);
        self.nodes[host].members.merge(&differing, self.now);
    }

    fn record_message(&mut self, a: usize, b: usize, gossip: &Gossip) {
        self.traffic.messages += 1;
        if self.region(a) != self.region(b) {
            self.traffic.inter_region += 1;
        }
        if self.traffic.messages.is_multiple_of(SIZE_SAMPLE_INTERVAL) {
            let bytes = codec::to_wire(&wire::Gossip::from(gossip));
            self.traffic.bytes +=
                SIZE_SAMPLE_INTERVAL * bytes.map_or(0, |bytes| bytes.len() as u64);
        }
    }

    fn is_delivered(&mut self, a: usize, b: usize) -> bool {
        let is_lost = self.rng.0.random_range(0..100) < self.config.loss_percent;
        let is_partitioned = |host| self.partitioned.contains(&self.region(host));
        let are_running = self.nodes[a].is_running && self.nodes[b].is_running;
        are_running && is_partitioned(a) == is_partitioned(b) && !is_lost
    }

    fn region(&self, host: usize) -> usize {
        self.nodes[host].zone % self.config.regions
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.scheduled_events += 1;
        self.queue.push(Reverse((self.now + wait, self.scheduled_events, event)));
    }
}

fn zones(config: Config) -> Vec<Zone> {
    let zone = |number: usize| Zone {
        name: availability::Name::try_from(format!("zone-{number}").as_str())
            .unwrap_or_else(|_| unreachable!("the name is valid")),
        region: region::Index((number % config.regions) as u16),
    };
    (0..config.zones).map(zone).collect()
}

fn member(config: Config, zones: &[Zone], host: usize) -> Member {
    let address = Ipv4Addr::from(0x0A00_0000 + host as u32);
    let at = |port| SocketAddr::new(IpAddr::V4(address), port);
    Member {
        name: Name::try_from(format!("host-{host}").as_str())
            .unwrap_or_else(|_| unreachable!("the name is valid")),
        incarnation: Incarnation(1_700_000_000_000),
        state: State::Live,
        zone: zones[host % config.zones].name.clone(),
        caller_address: at(7100),
        relay_address: at(7200),
        peer_address: at(7400),
    }
}

fn host_index(name: &Name) -> usize {
    let digits = name.as_str().strip_prefix("host-");
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(usize::MAX)
}
