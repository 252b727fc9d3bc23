//! Writes the documents, settings and fleet file of a deployment that runs on loopback.

use std::{fs, io, path::Path, time::Duration};

use serde::Serialize;

use crate::deployment::{Deployment, Ports};

/// Writes the sample files to `folder`, which is created if absent; `docs/operators/install.md`
/// describes them.
pub fn write(
    deployment: &Deployment,
    ports: Ports,
    run_time: Duration,
    folder: &Path,
) -> io::Result<()> {
    fs::create_dir_all(folder.join("settings"))?;
    for environment in ["trial", "production"] {
        let file = folder.join(format!("{environment}.json"));
        write_json(&file, &deployment.document(environment))?;
    }
    // The demo proposes these documents in turn: a shift, then the same shift with a drain.
    let shifted = deployment.shifted_document("production");
    write_json(&folder.join("shift.json"), &shifted)?;
    write_json(&folder.join("drain.json"), &deployment.with_drained_server(shifted))?;
    for (number, host) in (1u16..).zip(deployment.hosts()) {
        let file = folder.join("settings").join(format!("{}.json", host.name));
        write_json(&file, &deployment.settings(number, "production", ports))?;
    }
    write_json(&folder.join("fleet.json"), &deployment.fleet(ports, run_time))?;
    write_json(&folder.join("servers.json"), &deployment.listed_servers(ports))
}

fn write_json<T: Serialize>(file: &Path, value: &T) -> io::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    fs::write(file, text)
}
