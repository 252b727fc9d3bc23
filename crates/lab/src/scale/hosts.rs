//! Scaling of membership with the number of hosts, and its traffic after failures.

use std::{
    io,
    time::{Duration, Instant},
};

use oleanderspan::entry::host::State;

use crate::scale::{
    membership::{Config, Simulation, Traffic},
    print_table, resident_bytes,
};

/// Measured numbers of hosts; the last one is the design size.
const HOSTS: [usize; 5] = [8, 80, 260, 800, 2_600];

const SEED: u64 = 7;

const WINDOW: Duration = Duration::from_secs(10);

const DETECTION_TIMEOUT: Duration = Duration::from_secs(120);

const KIB: f64 = 1_024.0;

fn config(hosts: usize) -> Config {
    let zones = (hosts * 91 / 2_600).clamp(2, 91);
    Config { hosts, zones, regions: (zones * 34 / 91).clamp(1, 34), loss_percent: 0, seed: SEED }
}

/// Measures an idle system, then a leaving and a failed host, by number of hosts.
pub fn sizes() -> io::Result<()> {
    let rows: io::Result<Vec<Vec<f64>>> = HOSTS.into_iter().map(measure_size).collect();
    let columns = [
        "hosts",
        "messages/s",
        "far/s",
        "body_bytes/s",
        "cpu_us/s",
        "kib/host",
        "suspected_s",
        "gone_s",
        "leaving_known_s",
        "readers",
    ];
    print_table("membership of one host, seed 7, no loss", &columns, &rows?);
    Ok(())
}

fn measure_size(hosts: usize) -> io::Result<Vec<f64>> {
    let before = resident_bytes()?;
    let mut simulation = Simulation::new(config(hosts), true);
    let memory = (resident_bytes()? - before) as f64 / hosts as f64 / KIB;
    let start = Instant::now();
    simulation.run(WINDOW);
    let cpu_micros = start.elapsed().as_secs_f64() * 1e6;
    let idle = simulation.traffic;
    let readers = simulation.store_readers();
    let running = simulation.running_hosts() - 1;
    simulation.set_state(1, State::Leaving);
    let leaving_known = simulation
        .run_until(DETECTION_TIMEOUT, |w| w.count_holding(1, &[State::Leaving]) == running);
    simulation.kill(3);
    let suspected = simulation.run_until(DETECTION_TIMEOUT, |w| {
        w.count_holding(3, &[State::Suspect, State::Gone]) == running
    });
    let gone =
        simulation.run_until(DETECTION_TIMEOUT, |w| w.count_holding(3, &[State::Gone]) == running);
    let seconds = hosts as f64 * WINDOW.as_secs_f64();
    let seconds_or_infinity =
        |time: Option<Duration>| time.map_or(f64::INFINITY, |time| time.as_secs_f64());
    Ok(vec![
        hosts as f64,
        idle.messages as f64 / seconds,
        idle.inter_region as f64 / seconds,
        idle.bytes as f64 / seconds,
        cpu_micros / seconds,
        memory,
        seconds_or_infinity(suspected),
        seconds_or_infinity(suspected) + seconds_or_infinity(gone),
        seconds_or_infinity(leaving_known),
        readers as f64,
    ])
}

/// Measures the loss of a zone and a partition of one region, at 2,600 hosts.
pub fn events() -> io::Result<()> {
    let mut simulation = Simulation::new(config(2_600), true);
    simulation.run(WINDOW / 2);
    let report = |name: &str, simulation: &mut Simulation, time: Duration| {
        let before = simulation.traffic;
        simulation.run(time);
        let Traffic { messages, bytes, comparisons, .. } = simulation.traffic;
        let seconds = simulation.running_hosts() as f64 * time.as_secs_f64();
        println!(
            "{name}\tmessages/s {:.1}\tbody_bytes/s {:.0}\tcomparisons/s {:.3}\treaders {}",
            (messages - before.messages) as f64 / seconds,
            (bytes - before.bytes) as f64 / seconds,
            (comparisons - before.comparisons) as f64 / seconds,
            simulation.store_readers(),
        );
    };
    println!("one host of 2,600, seed 7");
    report("quiet", &mut simulation, WINDOW);
    simulation.kill_zone(5);
    report("first 10 s after the loss of a zone", &mut simulation, WINDOW);
    report("next 20 s", &mut simulation, 2 * WINDOW);
    println!("running hosts declared gone {}", simulation.false_removals);
    simulation.partition(&[3]);
    report("first 30 s of a partitioned region", &mut simulation, 3 * WINDOW);
    report("next 30 s", &mut simulation, 3 * WINDOW);
    simulation.partition(&[]);
    let convergence = simulation.run_until(DETECTION_TIMEOUT, Simulation::has_converged);
    println!("all hosts agree {convergence:?} after the partition healed");
    Ok(())
}
