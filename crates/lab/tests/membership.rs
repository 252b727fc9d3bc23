//! Membership in virtual time: convergence, detection, and no false deaths on lossy links.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use oleanderspan::entry::host::State;
use oleanderspan_lab::scale::membership::{Config, Simulation};

const SEED: u64 = 7;

const MINUTE: Duration = Duration::from_secs(60);

fn config(hosts: usize, loss_percent: u32) -> Config {
    let zones = (hosts / 4).clamp(2, 91);
    Config { hosts, zones, regions: (zones / 2).clamp(1, 34), loss_percent, seed: SEED }
}

#[test]
fn hosts_that_know_one_seed_find_all_others() {
    for (hosts, limit_s) in [(8, 5), (64, 12), (256, 20)] {
        let mut simulation = Simulation::new(config(hosts, 0), false);
        let took = simulation.run_until(MINUTE, Simulation::has_converged).unwrap();
        assert!(took < Duration::from_secs(limit_s), "{hosts} hosts took {took:?}");
        assert_eq!(simulation.members(hosts - 1).peers().count(), hosts - 1);
    }
}

#[test]
fn nobody_dies_on_links_that_lose_a_tenth() {
    for (hosts, time) in [(8, 5 * MINUTE), (64, MINUTE), (256, MINUTE / 4)] {
        let mut simulation = Simulation::new(config(hosts, 10), true);
        simulation.run(time);
        assert!(simulation.false_suspicions > 0, "the links lost nothing");
        assert_eq!(simulation.false_removals, 0, "{hosts} hosts");
    }
}

#[test]
fn a_dead_host_is_suspected_and_then_gone_everywhere() {
    for (hosts, suspected_ms, gone_ms) in
        [(8, 4_000, 7_000), (64, 5_000, 10_000), (256, 6_000, 12_000)]
    {
        for loss_percent in [0, 10] {
            let mut simulation = Simulation::new(config(hosts, loss_percent), true);
            simulation.run(Duration::from_secs(5));
            simulation.kill(3);
            let all = simulation.running_hosts();
            let suspected_everywhere =
                |w: &Simulation| w.count_holding(3, &[State::Suspect, State::Gone]) == all;
            let suspected = simulation.run_until(MINUTE, suspected_everywhere).unwrap();
            let gone = simulation
                .run_until(MINUTE, |w| w.count_holding(3, &[State::Gone]) == all)
                .unwrap();
            let limits = [suspected_ms, gone_ms].map(Duration::from_millis);
            assert!(suspected < limits[0], "{hosts} hosts, {loss_percent} %: {suspected:?}");
            assert!(suspected + gone < limits[1], "{hosts} hosts, {loss_percent} %: {gone:?}");
        }
    }
}

#[test]
fn a_host_that_leaves_is_known_to_leave_within_three_seconds() {
    for hosts in [8, 64, 256] {
        let mut simulation = Simulation::new(config(hosts, 10), true);
        simulation.set_state(2, State::Leaving);
        let all = simulation.running_hosts() - 1;
        let limit = Duration::from_secs(3);
        let told = simulation.run_until(limit, |w| w.count_holding(2, &[State::Leaving]) == all);
        assert!(told.is_some(), "{hosts} hosts");
    }
}

#[test]
fn both_sides_of_a_cut_find_each_other_again() {
    let mut simulation = Simulation::new(
        Config { hosts: 48, zones: 6, regions: 3, loss_percent: 0, seed: SEED },
        true,
    );
    simulation.partition(&[1]);
    simulation.run(2 * MINUTE);
    assert_eq!(
        simulation.count_holding(1, &[State::Gone]),
        32,
        "the others did not notice the cut"
    );
    simulation.partition(&[]);
    let again =
        simulation.run_until(MINUTE, |w| w.has_converged() && w.members(0).peers().count() == 47);
    assert!(again.is_some_and(|took| took < Duration::from_secs(45)), "{again:?}");
}

#[test]
fn the_work_of_a_host_does_not_grow_with_the_number_of_hosts() {
    let traffic = [8, 32, 128].map(|hosts| {
        let mut simulation = Simulation::new(config(hosts, 0), true);
        simulation.run(MINUTE / 3);
        let seconds = hosts as u64 * MINUTE.as_secs() / 3;
        (simulation.traffic.messages / seconds, simulation.traffic.bytes / seconds)
    });
    for (messages, bytes) in traffic {
        assert!((8..=14).contains(&messages), "{traffic:?}");
        assert!(bytes < 4_000, "{traffic:?}");
    }
}

#[test]
fn two_hosts_of_each_zone_read_and_others_take_over() {
    let mut simulation = Simulation::new(
        Config { hosts: 48, zones: 6, regions: 3, loss_percent: 0, seed: SEED },
        true,
    );
    assert_eq!(simulation.store_readers(), 12);
    let readers: Vec<usize> =
        (0..48).step_by(6).filter(|host| simulation.members(*host).reads_store()).collect();
    assert_eq!(readers.len(), 2);
    for host in &readers {
        simulation.kill(*host);
    }
    assert_eq!(simulation.store_readers(), 10);
    let took = simulation.run_until(MINUTE, |w| w.store_readers() == 12).unwrap();
    assert!(took < Duration::from_secs(6), "{took:?}");
}
