//! Membership by hosts, and what failures cost.

use std::{
    io,
    time::{Duration, Instant},
};

use oleanderspan::entry::host::State;

use crate::scale::{
    membership::{Plan, Traffic, World},
    print, resident_bytes,
};

/// The sizes; the last one is that to design for.
const HOSTS: [usize; 5] = [8, 80, 260, 800, 2_600];

const SEED: u64 = 7;

const WINDOW: Duration = Duration::from_secs(10);

const PATIENCE: Duration = Duration::from_secs(120);

const KIB: f64 = 1_024.0;

fn plan(hosts: usize) -> Plan {
    let zones = (hosts * 91 / 2_600).clamp(2, 91);
    Plan { hosts, zones, regions: (zones * 34 / 91).clamp(1, 34), loss_percent: 0, seed: SEED }
}

/// A quiet system, then one dead host, by the number of hosts.
pub fn sizes() -> io::Result<()> {
    let rows: io::Result<Vec<Vec<f64>>> = HOSTS.into_iter().map(size).collect();
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
    print("membership of one host, seed 7, no loss", &columns, &rows?);
    Ok(())
}

fn size(hosts: usize) -> io::Result<Vec<f64>> {
    let before = resident_bytes()?;
    let mut world = World::new(plan(hosts), true);
    let memory = (resident_bytes()? - before) as f64 / hosts as f64 / KIB;
    let start = Instant::now();
    world.run(WINDOW);
    let cpu_micros = start.elapsed().as_secs_f64() * 1e6;
    let quiet = world.traffic;
    let readers = world.readers();
    let running = world.running() - 1;
    world.declare(1, State::Leaving);
    let known = world.run_until(PATIENCE, |w| w.holding(1, &[State::Leaving]) == running);
    world.kill(3);
    let shunned =
        world.run_until(PATIENCE, |w| w.holding(3, &[State::Suspect, State::Gone]) == running);
    let gone = world.run_until(PATIENCE, |w| w.holding(3, &[State::Gone]) == running);
    let seconds = hosts as f64 * WINDOW.as_secs_f64();
    let or_never = |time: Option<Duration>| time.map_or(f64::INFINITY, |time| time.as_secs_f64());
    Ok(vec![
        hosts as f64,
        quiet.messages as f64 / seconds,
        quiet.far as f64 / seconds,
        quiet.bytes as f64 / seconds,
        cpu_micros / seconds,
        memory,
        or_never(shunned),
        or_never(shunned) + or_never(gone),
        or_never(known),
        readers as f64,
    ])
}

/// The loss of a zone, and of the links of a region for two minutes, at 2,600 hosts.
pub fn events() -> io::Result<()> {
    let mut world = World::new(plan(2_600), true);
    world.run(WINDOW / 2);
    let report = |name: &str, world: &mut World, time: Duration| {
        let before = world.traffic;
        world.run(time);
        let Traffic { messages, bytes, comparisons, .. } = world.traffic;
        let seconds = world.running() as f64 * time.as_secs_f64();
        println!(
            "{name}\tmessages/s {:.1}\tbody_bytes/s {:.0}\tcomparisons/s {:.3}\treaders {}",
            (messages - before.messages) as f64 / seconds,
            (bytes - before.bytes) as f64 / seconds,
            (comparisons - before.comparisons) as f64 / seconds,
            world.readers(),
        );
    };
    println!("one host of 2,600, seed 7");
    report("quiet", &mut world, WINDOW);
    world.kill_zone(5);
    report("first 10 s after the loss of a zone", &mut world, WINDOW);
    report("next 20 s", &mut world, 2 * WINDOW);
    println!("false deaths {}", world.false_deaths);
    world.cut(&[3]);
    report("first 30 s of a cut region", &mut world, 3 * WINDOW);
    report("next 30 s", &mut world, 3 * WINDOW);
    world.cut(&[]);
    let again = world.run_until(PATIENCE, World::agrees);
    println!("all agree {again:?} after the links are back");
    Ok(())
}
