//! The load-balancing strategies that are compared.

use oleanderspan::prelude::*;

use crate::measure::{
    arrival,
    case::Case,
    policy::{
        Policy,
        ideal::Ideal,
        per_host::{LeastInFlight, PerHost, Random, RoundRobin, TwoChoices},
        pooled::Pooled,
    },
    simulation::{Limits, Simulation},
    trace::Trace,
};

/// A load-balancing strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// A uniformly random server.
    Random,
    /// Round robin on each host.
    RoundRobin,
    /// The server with the fewest in-flight requests of this host, as in "Smart JDBC driver for
    /// YSQL".
    LeastInFlight,
    /// The less loaded of two random servers, by the host's own in-flight counts.
    TwoChoices,
    /// The slots are partitioned among the hosts; each host uses the production pool.
    Partitioned,
    /// One dispatching host per region with one queue: the production design.
    Dispatched,
    /// One queue with perfect knowledge on a host, subject to network latency and connection
    /// set-up.
    IdealOnHost,
    /// One queue with perfect knowledge and without network costs.
    Ideal,
}

/// The production design, the baselines and both ideal queues.
pub const ALL: &[Strategy] = &[
    Strategy::Random,
    Strategy::RoundRobin,
    Strategy::LeastInFlight,
    Strategy::TwoChoices,
    Strategy::Dispatched,
    Strategy::IdealOnHost,
    Strategy::Ideal,
];

/// The strategies that the bounds compare.
pub const BOUNDED: &[Strategy] = &[Strategy::Random, Strategy::Dispatched, Strategy::Ideal];

/// The designs for slot allocation, and the ideal.
pub const SLOT_STRATEGIES: [Strategy; 4] =
    [Strategy::TwoChoices, Strategy::Partitioned, Strategy::Dispatched, Strategy::Ideal];

impl Strategy {
    /// Row name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Strategy::Random => "random",
            Strategy::RoundRobin => "round robin",
            Strategy::LeastInFlight => "least own in flight",
            Strategy::TwoChoices => "two choices",
            Strategy::Partitioned => "divided slots",
            Strategy::Dispatched => "oleanderspan",
            Strategy::IdealOnHost => "ideal on a host",
            Strategy::Ideal => "ideal",
        }
    }

    /// Simulates `case` under this strategy; the result depends only on the arguments.
    pub fn run(self, case: &Case, limits: &Limits, seed: u64) -> Trace {
        match self {
            Strategy::Random => run_per_host::<Random>(case, limits, seed),
            Strategy::RoundRobin => run_per_host::<RoundRobin>(case, limits, seed),
            Strategy::LeastInFlight => run_per_host::<LeastInFlight>(case, limits, seed),
            Strategy::TwoChoices => run_per_host::<TwoChoices>(case, limits, seed),
            Strategy::Partitioned => {
                run(case, limits, seed, |region| Pooled::partitioned(&case.topology, region))
            }
            Strategy::Dispatched => {
                run(case, limits, seed, |region| Pooled::dispatched(&case.topology, region))
            }
            Strategy::IdealOnHost => run(case, limits, seed, |region| {
                Ideal::new(&servers(case, region), case.topology.servers.len())
                    .on_host(case.topology.hosts_of(region).next())
            }),
            Strategy::Ideal => run(case, limits, seed, |region| {
                Ideal::new(&servers(case, region), case.topology.servers.len())
            }),
        }
    }
}

fn run_per_host<C: crate::measure::policy::per_host::Selection + Default>(
    case: &Case,
    limits: &Limits,
    seed: u64,
) -> Trace {
    let hosts = case.topology.hosts.len();
    run(case, limits, seed, |region| PerHost::<C>::new(hosts, &servers(case, region), seed))
}

fn run<P: Policy>(case: &Case, limits: &Limits, seed: u64, policy: impl Fn(usize) -> P) -> Trace {
    let requests = arrival::generate(case, seed);
    let policies = (0..case.topology.regions()).map(policy).collect();
    Simulation::new(case, limits, &requests, policies).run()
}

fn servers(case: &Case, region: usize) -> Vec<usize> {
    case.topology.servers_of(region).collect()
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
