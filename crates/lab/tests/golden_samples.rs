//! The committed samples of both deployments are what the lab writes.
//!
//! `INSTA_UPDATE=always cargo test --locked -p oleanderspan-lab --test golden_samples` writes them
//! again.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{collections::BTreeMap, env, fs, path::Path, time::Duration};

use oleanderspan_lab::{
    deployment::{BUREAU, CUPRUL, Deployment, Ports},
    sample,
};

/// As the command line has them by default.
const PORTS: Ports = Ports { base: 7_000 };
const RUN: Duration = Duration::from_millis(20);

fn read(folder: &Path, files: &mut BTreeMap<String, String>, within: &str) {
    for file in fs::read_dir(folder.join(within)).unwrap() {
        let file = file.unwrap();
        let name = format!("{within}{}", file.file_name().to_str().unwrap());
        if file.path().is_dir() {
            read(folder, files, &format!("{name}/"));
        } else {
            files.insert(name, fs::read_to_string(file.path()).unwrap());
        }
    }
}

fn assert_committed(deployment: &Deployment) {
    let committed = Path::new("../../samples").join(deployment.name);
    if env::var("INSTA_UPDATE").is_ok_and(|update| update == "always") {
        sample::write(deployment, PORTS, RUN, &committed).unwrap();
    }
    let name = format!("oleanderspan-sample-{}-{}", deployment.name, std::process::id());
    let fresh = env::temp_dir().join(name);
    sample::write(deployment, PORTS, RUN, &fresh).unwrap();
    let (mut expected, mut found) = (BTreeMap::new(), BTreeMap::new());
    read(&fresh, &mut expected, "");
    read(&committed, &mut found, "");
    fs::remove_dir_all(&fresh).unwrap();
    assert_eq!(found, expected);
}

#[test]
fn the_sample_of_cuprul_is_up_to_date() {
    assert_committed(&CUPRUL);
}

#[test]
fn the_sample_of_bureau_is_up_to_date() {
    assert_committed(&BUREAU);
}
