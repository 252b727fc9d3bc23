//! Load measures: the production dispatch code in a discrete-event simulation.
//!
//! Each measure replays the same requests under baseline strategies and under an ideal one;
//! see `docs/MEASURES.md`. Runs with the same seed give the same figures.

pub mod arrival;
pub mod case;
pub mod plot;
pub mod policy;
pub mod report;
pub mod router;
pub mod server;
pub mod simulation;
pub mod strategy;
pub mod suite;
pub mod trace;

use std::{fs, path::Path};

pub use report::{Measure, Report};
pub use suite::Suite;

use crate::measure::strategy::Strategy;

/// Runs every measure and, if `folder` is given, writes SVG plots into it, creating it if absent.
pub fn run(suite: &Suite, folder: Option<&Path>) -> Result<Report, plot::Error> {
    let (latency, latency_runs) = suite.latency();
    let (failover, failover_runs) = suite.failover();
    let (shift, shift_runs) = suite.shift();
    if let Some(folder) = folder {
        let names: Vec<&str> = suite.deployment.regions.iter().map(|r| r.name).collect();
        let file = |name: &str| folder.join(format!("{}-{name}.svg", suite.deployment.name));
        fs::create_dir_all(folder).map_err(plot::Error::CreateFolder)?;
        plot::latency(&file("latency"), &latency_runs)?;
        let is_dispatched = |(strategy, _): &&(Strategy, _)| *strategy == Strategy::Dispatched;
        for (name, runs) in [("failover", &failover_runs), ("shift", &shift_runs)] {
            if let Some((_, trace)) = runs.iter().find(is_dispatched) {
                plot::regions(&file(name), &names, trace)?;
            }
        }
    }
    let measures = vec![
        suite.slot_allocation(),
        latency,
        suite.head_of_line(),
        suite.stragglers(),
        failover,
        shift,
        suite.drain(),
        suite.overload(),
        suite.cold(),
    ];
    Ok(Report {
        deployment: suite.deployment.name,
        service: suite.service().name,
        seed: suite.seed,
        measures,
    })
}
