//! Many members in one process and in virtual time, with links that lose messages or are cut.

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

/// One message in so many is encoded to learn its size.
const SAMPLING: u64 = 16;

/// Bytes of a digest in one comparison, 9 for each bucket.
const DIGEST_BYTES: u64 = 64 * 9;

/// Where hosts are and how their links behave.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Hosts, spread evenly over zones.
    pub hosts: usize,
    /// Zones, spread evenly over regions.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// Messages that are lost, in percent.
    pub loss_percent: u32,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// What was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Messages, answers included.
    pub messages: u64,
    /// Their bytes without headers, from a sample of them.
    pub bytes: u64,
    /// Comparisons of the whole membership.
    pub comparisons: u64,
    /// Messages between regions.
    pub far: u64,
    /// Rounds of all hosts.
    pub rounds: u64,
}

/// All members, their clock and their links.
#[derive(Debug)]
pub struct World {
    plan: Plan,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    steps: u64,
    now: Instant,
    dice: Entropy,
    cut: Vec<usize>,
    /// What was sent.
    pub traffic: Traffic,
    /// Times that a running host was held to be gone.
    pub false_deaths: u64,
    /// Times that a running host was suspected.
    pub false_suspicions: u64,
}

#[derive(Debug)]
struct Node {
    members: Membership,
    runs: bool,
    zone: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Round(usize),
    Silence { by: usize, of: usize, asked: Instant },
}

#[derive(Debug)]
struct Entropy(ChaCha8Rng);

impl Random for Entropy {
    fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }
}

impl World {
    /// Hosts that know each other if `introduced`, or else only the first of them.
    pub fn new(plan: Plan, introduced: bool) -> World {
        let zones = zones(plan);
        let members: Vec<Member> = (0..plan.hosts).map(|host| member(plan, &zones, host)).collect();
        let nodes = members.iter().enumerate().map(|(host, own)| {
            let mut known = Membership::new(own.clone(), Instant::ZERO);
            known.set_zones(&zones);
            known.merge(if introduced { &members } else { &members[..1] }, Instant::ZERO);
            known.take_changes();
            Node { members: known, runs: true, zone: host % plan.zones }
        });
        let mut world = World {
            plan,
            nodes: nodes.collect(),
            queue: BinaryHeap::new(),
            steps: 0,
            now: Instant::ZERO,
            dice: Entropy(ChaCha8Rng::seed_from_u64(plan.seed)),
            cut: Vec::new(),
            traffic: Traffic::default(),
            false_deaths: 0,
            false_suspicions: 0,
        };
        for host in 0..plan.hosts {
            let first = jitter(ROUND_INTERVAL, &mut world.dice) - ROUND_INTERVAL / 2;
            world.schedule(first, Event::Round(host));
        }
        world
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now.since(Instant::ZERO)
    }

    /// Ends a host without warning.
    pub fn kill(&mut self, host: usize) {
        self.nodes[host].runs = false;
    }

    /// Ends every host of a zone.
    pub fn kill_zone(&mut self, zone: usize) {
        for node in self.nodes.iter_mut().filter(|node| node.zone == zone) {
            node.runs = false;
        }
    }

    /// Cuts all links between the regions of `cut` and the others; none for no cut.
    pub fn cut(&mut self, regions: &[usize]) {
        self.cut = regions.to_vec();
    }

    /// Lets a host change its own state.
    pub fn declare(&mut self, host: usize, state: State) {
        let now = self.now;
        self.nodes[host].members.set_state(state, now);
    }

    /// The membership of a host.
    pub fn members(&self, host: usize) -> &Membership {
        &self.nodes[host].members
    }

    /// Runs until `holds` of the world, or returns `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&World) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let mut next_look = start;
        while self.now.since(start) < limit {
            if self.now >= next_look {
                if holds(self) {
                    return Some(self.now.since(start));
                }
                next_look = self.now + ROUND_INTERVAL / 10;
            }
            self.step();
        }
        None
    }

    /// Runs for a while.
    pub fn run(&mut self, time: Duration) {
        let _ = self.run_until(time, |_| false);
    }

    /// Running hosts that hold `host` in one of `states`.
    pub fn holding(&self, host: usize, states: &[State]) -> usize {
        let name = &self.nodes[host].members.own().name;
        let holds = |node: &&Node| {
            node.runs && node.members.peer(name).is_some_and(|peer| states.contains(&peer.state))
        };
        self.nodes.iter().filter(holds).count()
    }

    /// Running hosts.
    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.runs).count()
    }

    /// Whether every running host knows the same.
    pub fn agrees(&self) -> bool {
        let mut running = self.nodes.iter().filter(|node| node.runs);
        let first = running.next().map(|node| node.members.digest());
        running.all(|node| Some(node.members.digest()) == first)
    }

    /// Hosts that read the platform's service.
    pub fn readers(&self) -> usize {
        self.nodes.iter().filter(|node| node.runs && node.members.reads_store()).count()
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, event))) = self.queue.pop() else { return };
        self.now = at;
        match event {
            Event::Round(host) => self.round(host),
            Event::Silence { by, of, asked } => {
                let name = self.nodes[of].members.own().name.clone();
                self.nodes[by].members.suspect(&name, asked, self.now);
            }
        }
    }

    fn round(&mut self, host: usize) {
        if !self.nodes[host].runs {
            return;
        }
        self.traffic.rounds += 1;
        let targets = self.nodes[host].members.start_round(self.now, &mut self.dice);
        self.count_false(host);
        for target in targets {
            self.ask(host, &target);
        }
        let pause = jitter(ROUND_INTERVAL, &mut self.dice);
        self.schedule(pause, Event::Round(host));
    }

    fn count_false(&mut self, host: usize) {
        for news in self.nodes[host].members.take_changes() {
            if !self.nodes[number(&news.name)].runs {
                continue;
            }
            match news.state {
                State::Gone => self.false_deaths += 1,
                State::Suspect => self.false_suspicions += 1,
                _ => {}
            }
        }
    }

    fn ask(&mut self, host: usize, target: &ProbeTarget) {
        let of = number(&target.name);
        if self.exchange(host, of) || self.exchange(host, of) {
            return;
        }
        let helpers = self.nodes[host].members.indirect_probers(&target.name, &mut self.dice);
        let answers = helpers.iter().filter(|helper| {
            let helper = number(&helper.name);
            self.is_delivered(host, helper)
                && self.exchange(helper, of)
                && self.is_delivered(helper, host)
        });
        if answers.count() == 0 {
            let event = Event::Silence { by: host, of, asked: self.now };
            self.schedule(3 * PROBE_TIMEOUT, event);
        }
    }

    fn exchange(&mut self, a: usize, b: usize) -> bool {
        let names = [a, b].map(|host| self.nodes[host].members.own().name.clone());
        let question = self.nodes[a].members.gossip(Some(&names[1]));
        self.count(a, b, &question);
        if !self.is_delivered(a, b) {
            return false;
        }
        let answer = self.nodes[b].members.gossip(Some(&names[0]));
        self.receive(b, a, &question);
        self.count(b, a, &answer);
        if !self.is_delivered(b, a) {
            return false;
        }
        self.receive(a, b, &answer);
        true
    }

    fn receive(&mut self, host: usize, from: usize, gossip: &Gossip) {
        if !self.nodes[host].members.receive(gossip, self.now, &mut self.dice) {
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

    fn count(&mut self, a: usize, b: usize, gossip: &Gossip) {
        self.traffic.messages += 1;
        if self.region(a) != self.region(b) {
            self.traffic.far += 1;
        }
        if self.traffic.messages.is_multiple_of(SAMPLING) {
            let bytes = codec::to_wire(&wire::Gossip::from(gossip));
            self.traffic.bytes += SAMPLING * bytes.map_or(0, |bytes| bytes.len() as u64);
        }
    }

    fn is_delivered(&mut self, a: usize, b: usize) -> bool {
        let is_lost = self.dice.0.random_range(0..100) < self.plan.loss_percent;
        let is_cut = |host| self.cut.contains(&self.region(host));
        let runs = self.nodes[a].runs && self.nodes[b].runs;
        runs && is_cut(a) == is_cut(b) && !is_lost
    }

    fn region(&self, host: usize) -> usize {
        self.nodes[host].zone % self.plan.regions
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.steps += 1;
        self.queue.push(Reverse((self.now + wait, self.steps, event)));
    }
}

fn zones(plan: Plan) -> Vec<Zone> {
    let zone = |number: usize| Zone {
        name: availability::Name::try_from(format!("zone-{number}").as_str())
            .unwrap_or_else(|_| unreachable!("the name is valid")),
        region: region::Index((number % plan.regions) as u16),
    };
    (0..plan.zones).map(zone).collect()
}

fn member(plan: Plan, zones: &[Zone], host: usize) -> Member {
    let address = Ipv4Addr::from(0x0A00_0000 + host as u32);
    let at = |port| SocketAddr::new(IpAddr::V4(address), port);
    Member {
        name: Name::try_from(format!("host-{host}").as_str())
            .unwrap_or_else(|_| unreachable!("the name is valid")),
        incarnation: Incarnation(1_700_000_000_000),
        state: State::Live,
        zone: zones[host % plan.zones].name.clone(),
        caller_address: at(7100),
        relay_address: at(7200),
        peer_address: at(7400),
    }
}

fn number(name: &Name) -> usize {
    let digits = name.as_str().strip_prefix("host-");
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(usize::MAX)
}
