//! While the dispatcher role moves between hosts, a region never runs more requests than its
//! ceiling.
//!
//! A simulation in virtual time with the real `region::Limiter` and `region::Handover`.
//! Hosts learn of a new dispatcher at different times, wrongly claim the role, crash and restart,
//! while the offered load exceeds the capacity of the region.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use oleanderspan::{
    clock::Instant,
    region::{Budget, Handover, Limiter, handover::DispatchClaim},
};
use proptest::{prelude::*, test_runner::RngSeed};

const TICK: Duration = Duration::from_millis(50);
const TICKS_PER_REPORT: usize = 5;
const LISTEN_TICKS: usize = 30;
const HOSTS: usize = 3;
const CEILING: u32 = 40;

/// The event of one tick, besides the requests that arrive in every tick.
#[derive(Clone, Debug)]
enum Step {
    /// No event.
    NoChange,
    /// All hosts learn, each after its own delay in ticks, that `host` is the dispatcher.
    Elect { host: usize, delays: [u8; HOSTS] },
    /// A host wrongly considers itself the dispatcher for a number of ticks.
    FalseClaim { host: usize, ticks: u8 },
    /// A host crashes with all its requests, and restarts after a number of ticks.
    Crash { host: usize, ticks: u8 },
}

struct Host {
    limiter: Limiter,
    handover: Handover,
    running: Vec<usize>,
    reports: [Option<(usize, DispatchClaim)>; HOSTS],
    dispatcher: usize,
    elections: Vec<(usize, usize)>,
    claims_until: usize,
    starts_at: usize,
}

impl Host {
    fn new(dispatcher: usize, starts_at: usize) -> Host {
        Host {
            limiter: Limiter::new(CEILING),
            handover: Handover::Remote,
            running: Vec::new(),
            reports: [None; HOSTS],
            dispatcher,
            elections: Vec::new(),
            claims_until: 0,
            starts_at,
        }
    }

    fn dispatches(&self, own: usize, tick: usize) -> bool {
        tick >= self.starts_at && (self.dispatcher == own || tick < self.claims_until)
    }

    fn claim(&self, own: usize, tick: usize) -> DispatchClaim {
        DispatchClaim {
            in_flight: self.limiter.in_flight(),
            dispatches: self.dispatches(own, tick),
        }
    }

    /// The claims received within the last 50 ticks; a crashed host is known to be gone after that.
    fn claims(&self, tick: usize) -> Vec<DispatchClaim> {
        let recent = self.reports.iter().flatten().filter(|(at, _)| tick - at < 50);
        recent.map(|(_, claim)| *claim).collect()
    }

    fn control(&mut self, own: usize, tick: usize) {
        let now = Instant::ZERO + TICK * tick as u32;
        if let Some((_, host)) = self.elections.iter().rfind(|(at, _)| tick >= *at) {
            self.dispatcher = *host;
        }
        let claims = self.claims(tick);
        self.handover = self.handover.next(self.dispatches(own, tick), &claims, now);
        self.limiter.set_reserved(self.handover.reserved_slots(&claims, CEILING));
    }

    fn serve(&mut self, own: usize, tick: usize) {
        let ended = self.running.iter().filter(|end| tick >= **end).count();
        self.running.retain(|end| tick < *end);
        (0..ended).for_each(|_| self.limiter.release());
        if self.handover != Handover::Remote && self.dispatches(own, tick) {
            while self.limiter.try_acquire() {
                // Request durations from 50 ms to 10 s.
                let run = 1 + (tick * 7_919 + self.running.len() * 104_729) % 200;
                self.running.push(tick + run);
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        60 => Just(Step::NoChange),
        2 => (0..HOSTS, prop::array::uniform3(0u8..30)).prop_map(|(host, delays)| Step::Elect { host, delays }),
        1 => (0..HOSTS, 1u8..200).prop_map(|(host, ticks)| Step::FalseClaim { host, ticks }),
        1 => (0..HOSTS, 1u8..100).prop_map(|(host, ticks)| Step::Crash { host, ticks }),
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
                Step::NoChange => {}
                Step::Elect { host, delays } => {
                    for (learner, delay) in hosts.iter_mut().zip(delays) {
                        learner.elections.push((tick + usize::from(*delay), *host));
                    }
                }
                Step::FalseClaim { host, ticks } =>
                    hosts[*host].claims_until = tick + usize::from(*ticks),
                Step::Crash { host, ticks } => {
                    let mut next = Host::new(hosts[*host].dispatcher, 0);
                    next.elections.clone_from(&hosts[*host].elections);
                    next.starts_at = tick + usize::from(*ticks) + LISTEN_TICKS;
                    hosts[*host] = next;
                }
            }
            // A restarted host listens for `LISTEN_TICKS` before it may become the dispatcher.
            if tick % TICKS_PER_REPORT == 0 {
                let claims: Vec<DispatchClaim> =
                    hosts.iter().enumerate().map(|(i, host)| host.claim(i, tick)).collect();
                let is_listening = |host: &Host| tick + LISTEN_TICKS >= host.starts_at;
                let is_up: Vec<bool> = hosts.iter().map(is_listening).collect();
                for (i, host) in hosts.iter_mut().enumerate().filter(|(i, _)| is_up[*i]) {
                    for (peer, claim) in claims.iter().enumerate() {
                        // Every third report is lost.
                        let arrives = !(tick / TICKS_PER_REPORT + i + peer).is_multiple_of(3);
                        if peer != i && is_up[peer] && arrives {
                            host.reports[peer] = Some((tick, *claim));
                        }
                    }
                }
            }
            for (i, host) in hosts.iter_mut().enumerate() {
                host.control(i, tick);
                host.serve(i, tick);
            }
            let all: u32 = hosts.iter().map(|host| host.limiter.in_flight()).sum();
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
            // An overdrawn budget passes nothing until it has refilled, so at most one spend
            // exceeds the limit.
            if budget.try_spend(bytes, now).is_ok() {
                let allowed = (now.since(start).as_secs_f64() + 0.251) * rate as f64;
                prop_assert!(passed as f64 <= allowed * 1.001, "{passed} over {allowed}");
                passed += bytes;
            }
        }
    }
}
