//! Poisson arrivals, generated once per case and replayed for every strategy.

use oleanderspan::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::measure::case::{Case, SHORT_SERVICE_TIME};

/// Constant part of a short request's service time, as a divisor of the mean; the rest is
/// exponential.
const FIXED_DIVISOR: u32 = 4;

/// A simulated request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Arrival time at the entry host.
    pub at: Instant,
    /// Index of the caller's region.
    pub origin: usize,
    /// Index of the entry host that the caller addresses first.
    pub host: usize,
    /// Service time on a server that is not slowed down.
    pub service_time: Duration,
    /// Whether this is a long request; policies must not read this.
    pub is_long: bool,
}

/// Generates the requests of a case, sorted by arrival time.
pub fn generate(case: &Case, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let regions = 0..case.topology.regions();
    let mut requests: Vec<Request> =
        regions.flat_map(|region| generate_region(case, region, &mut rng)).collect();
    requests.sort_by_key(|request| request.at);
    requests
}

fn generate_region(case: &Case, region: usize, rng: &mut ChaCha8Rng) -> Vec<Request> {
    let hosts: Vec<usize> = case.topology.hosts_of(region).collect();
    let slots = f64::from(case.topology.slots_of(region));
    let mut requests = Vec::new();
    let mut start = Instant::ZERO;
    for phase in &case.phases {
        let end = start + phase.length;
        let gap = case.mean_service_time().div_f64((slots * phase.load).max(f64::MIN_POSITIVE));
        let mut at = start + sample_exponential(gap, rng);
        while at < end {
            let is_long = case
                .long_requests
                .is_some_and(|long_requests| rng.random::<f64>() < long_requests.share);
            let service_time = match case.long_requests {
                Some(long_requests) if is_long => long_requests.service_time,
                _ => sample_short_service_time(rng),
            };
            let host = hosts[rng.random_range(0..hosts.len())];
            requests.push(Request { at, origin: region, host, service_time, is_long });
            at = at + sample_exponential(gap, rng);
        }
        start = end;
    }
    requests
}

fn sample_short_service_time(rng: &mut ChaCha8Rng) -> Duration {
    let fixed = SHORT_SERVICE_TIME / FIXED_DIVISOR;
    fixed + sample_exponential(SHORT_SERVICE_TIME - fixed, rng)
}

fn sample_exponential(mean: Duration, rng: &mut ChaCha8Rng) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
