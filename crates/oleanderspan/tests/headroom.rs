//! Dispatch that passes from host to host never lets a region hold more than its ceiling.
//!
//! Virtual time, with the real `region::Gate` and `region::Handover` on each host. Hosts learn at
//! different times who dispatches, sometimes believe it of themselves for no reason, die and come
//! back, while more requests wait than the region can hold.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use oleanderspan::{
    clock::Instant,
    region::{Budget, Gate, Handover, handover::Claim},
};
use proptest::{prelude::*, test_runner::RngSeed};

const TICK: Duration = Duration::from_millis(50);
const TICKS_PER_REPORT: usize = 5;
const TICKS_BEFORE_START: usize = 30;
const HOSTS: usize = 3;
const CEILING: u32 = 40;

/// What happens at one tick.
#[derive(Clone, Debug)]
enum Step {
    /// Nothing but requests.
    Run,
    /// All hosts learn, one after the other, that this one dispatches.
    Elect { host: usize, delays: [u8; HOSTS] },
    /// A host believes for a while that it dispatches.
    Err { host: usize, ticks: u8 },
    /// A host dies, and its requests with it; it comes back later.
    Die { host: usize, ticks: u8 },
}

struct Host {
    gate: Gate,
    handover: Handover,
    running: Vec<usize>,
    heard: [Option<(usize, Claim)>; HOSTS],
    believes: usize,
    learns: Vec<(usize, usize)>,
    errs_until: usize,
    starts_at: usize,
}

impl Host {
    fn new(believes: usize, starts_at: usize) -> Host {
        Host {
            gate: Gate::new(CEILING),
            handover: Handover::Elsewhere,
            running: Vec::new(),
            heard: [None; HOSTS],
            believes,
            learns: Vec::new(),
            errs_until: 0,
            starts_at,
        }
    }

    fn dispatches(&self, own: usize, tick: usize) -> bool {
        tick >= self.starts_at && (self.believes == own || tick < self.errs_until)
    }

    fn claim(&self, own: usize, tick: usize) -> Claim {
        Claim { in_flight: self.gate.in_flight(), dispatches: self.dispatches(own, tick) }
    }

    /// Claims of hosts that were heard lately; a dead one is soon known to be gone.
    fn claims(&self, tick: usize) -> Vec<Claim> {
        let recent = self.heard.iter().flatten().filter(|(at, _)| tick - at < 50);
        recent.map(|(_, claim)| *claim).collect()
    }

    fn control(&mut self, own: usize, tick: usize) {
        let now = Instant::ZERO + TICK * tick as u32;
        if let Some((_, host)) = self.learns.iter().rfind(|(at, _)| tick >= *at) {
            self.believes = *host;
        }
        let claims = self.claims(tick);
        self.handover = self.handover.next(self.dispatches(own, tick), &claims, now);
        self.gate.set_reported(self.handover.withheld(&claims, CEILING));
    }

    fn serve(&mut self, own: usize, tick: usize) {
        let ended = self.running.iter().filter(|end| tick >= **end).count();
        self.running.retain(|end| tick < *end);
        (0..ended).for_each(|_| self.gate.leave());
        if self.handover != Handover::Elsewhere && self.dispatches(own, tick) {
            while self.gate.try_enter() {
                // Runs of 50 ms to 10 s.
                let run = 1 + (tick * 7_919 + self.running.len() * 104_729) % 200;
                self.running.push(tick + run);
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        60 => Just(Step::Run),
        2 => (0..HOSTS, prop::array::uniform3(0u8..30)).prop_map(|(host, delays)| Step::Elect { host, delays }),
        1 => (0..HOSTS, 1u8..200).prop_map(|(host, ticks)| Step::Err { host, ticks }),
        1 => (0..HOSTS, 1u8..100).prop_map(|(host, ticks)| Step::Die { host, ticks }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn dispatchers_never_exceed_the_ceiling_together(steps in prop::collection::vec(step(), 600)) {
        let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new(0, 0)).collect();
        for (tick, step) in steps.iter().enumerate() {
            match step {
                Step::Run => {}
                Step::Elect { host, delays } => {
                    for (learner, delay) in hosts.iter_mut().zip(delays) {
                        learner.learns.push((tick + usize::from(*delay), *host));
                    }
                }
                Step::Err { host, ticks } => hosts[*host].errs_until = tick + usize::from(*ticks),
                Step::Die { host, ticks } => {
                    let mut next = Host::new(hosts[*host].believes, 0);
                    next.learns.clone_from(&hosts[*host].learns);
                    next.starts_at = tick + usize::from(*ticks) + TICKS_BEFORE_START;
                    hosts[*host] = next;
                }
            }
            // A host that is back listens for a while before it dispatches.
            if tick % TICKS_PER_REPORT == 0 {
                let claims: Vec<Claim> =
                    hosts.iter().enumerate().map(|(i, host)| host.claim(i, tick)).collect();
                let hears = |host: &Host| tick + TICKS_BEFORE_START >= host.starts_at;
                let said: Vec<bool> = hosts.iter().map(hears).collect();
                for (i, host) in hosts.iter_mut().enumerate().filter(|(i, _)| said[*i]) {
                    for (peer, claim) in claims.iter().enumerate() {
                        // Every third report is lost.
                        let arrives = !(tick / TICKS_PER_REPORT + i + peer).is_multiple_of(3);
                        if peer != i && said[peer] && arrives {
                            host.heard[peer] = Some((tick, *claim));
                        }
                    }
                }
            }
            for (i, host) in hosts.iter_mut().enumerate() {
                host.control(i, tick);
                host.serve(i, tick);
            }
            let all: u32 = hosts.iter().map(|host| host.gate.in_flight()).sum();
            prop_assert!(all <= CEILING, "{all} at tick {tick}");
        }
    }

    #[test]
    fn a_budget_never_passes_more_than_its_rate_and_burst(
        rate in 1_000u64..100_000_000,
        spends in prop::collection::vec((0u64..50, 1u64..20_000), 1..300),
    ) {
        let budget = Budget::new(rate);
        let mut now = Instant::ZERO + Duration::from_secs(10);
        let start = now;
        let mut passed = 0;
        for (wait, bytes) in spends {
            now = now + Duration::from_millis(wait);
            // What is owed must be paid before more may pass, so at most one spend is over.
            if budget.try_spend(bytes, now).is_ok() {
                let allowed = (now.since(start).as_secs_f64() + 0.251) * rate as f64;
                prop_assert!(passed as f64 <= allowed * 1.001, "{passed} over {allowed}");
                passed += bytes;
            }
        }
    }
}
