//! The ways of deciding that are measured side by side.

use oleanderspan::prelude::*;

use crate::measure::{
    arrival,
    case::Case,
    policy::{
        Policy,
        counted::{Counted, Least, Random, RoundRobin, TwoChoices},
        ideal::Ideal,
        pooled::Pooled,
    },
    trace::Trace,
    world::{Limits, World},
};

/// A way of deciding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contender {
    /// Any server.
    Random,
    /// One server after the other.
    RoundRobin,
    /// The fewest of the host's own requests, as in the paper "Smart JDBC driver for YSQL".
    Least,
    /// The better of two random servers by the host's own counts.
    TwoChoices,
    /// Slots divided among hosts.
    Divided,
    /// One dispatching host with one queue: the code in use.
    Dispatched,
    /// One queue with perfect knowledge on a host, so that ways cost what they cost.
    Placed,
    /// One queue with perfect knowledge.
    Ideal,
}

/// The code in use, the baselines and the ideal.
pub const ALL: &[Contender] = &[
    Contender::Random,
    Contender::RoundRobin,
    Contender::Least,
    Contender::TwoChoices,
    Contender::Dispatched,
    Contender::Placed,
    Contender::Ideal,
];

/// Those that the bounds need.
pub const BOUNDED: &[Contender] = &[Contender::Random, Contender::Dispatched, Contender::Ideal];

/// The ways to decide about a slot, and the ideal.
pub const WAYS: [Contender; 4] =
    [Contender::TwoChoices, Contender::Divided, Contender::Dispatched, Contender::Ideal];

impl Contender {
    /// The name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Contender::Random => "random",
            Contender::RoundRobin => "round robin",
            Contender::Least => "least own in flight",
            Contender::TwoChoices => "two choices",
            Contender::Divided => "divided slots",
            Contender::Dispatched => "oleanderspan",
            Contender::Placed => "ideal on a host",
            Contender::Ideal => "ideal",
        }
    }

    /// Runs a case.
    pub fn run(self, case: &Case, limits: &Limits, seed: u64) -> Trace {
        match self {
            Contender::Random => run_counted::<Random>(case, limits, seed),
            Contender::RoundRobin => run_counted::<RoundRobin>(case, limits, seed),
            Contender::Least => run_counted::<Least>(case, limits, seed),
            Contender::TwoChoices => run_counted::<TwoChoices>(case, limits, seed),
            Contender::Divided => {
                run(case, limits, seed, |region| Pooled::divided(&case.topology, region))
            }
            Contender::Dispatched => {
                run(case, limits, seed, |region| Pooled::dispatched(&case.topology, region))
            }
            Contender::Placed => run(case, limits, seed, |region| {
                Ideal::new(&servers(case, region), case.topology.servers.len())
                    .placed(case.topology.hosts_of(region).next())
            }),
            Contender::Ideal => run(case, limits, seed, |region| {
                Ideal::new(&servers(case, region), case.topology.servers.len())
            }),
        }
    }
}

fn run_counted<C: crate::measure::policy::counted::Choice + Default>(
    case: &Case,
    limits: &Limits,
    seed: u64,
) -> Trace {
    let hosts = case.topology.hosts.len();
    run(case, limits, seed, |region| Counted::<C>::new(hosts, &servers(case, region), seed))
}

fn run<P: Policy>(case: &Case, limits: &Limits, seed: u64, policy: impl Fn(usize) -> P) -> Trace {
    let requests = arrival::draw(case, seed);
    let policies = (0..case.topology.regions()).map(policy).collect();
    World::new(case, limits, &requests, policies).run()
}

fn servers(case: &Case, region: usize) -> Vec<usize> {
    case.topology.servers_of(region).collect()
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
