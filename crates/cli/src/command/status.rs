//! `status`: shows the document version in force on every host.

use std::net::SocketAddr;

use argh::FromArgs;
use oleanderspan_node::control::operator::HostReport;

use super::{Failure, get_from_any};

/// Show the state and the document version of every host. The queried host collects the reports of
/// the others.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {
    /// address of the operator interface of any host; may be repeated, and the first host that
    /// answers is used
    #[argh(option)]
    control: Vec<SocketAddr>,
}

impl Status {
    pub(super) async fn run(&self) -> Result<(), Failure> {
        let reports: Vec<HostReport> = get_from_any(&self.control, "/v1/hosts").await?;
        for report in &reports {
            println!("{}", format_report(report));
        }
        Ok(())
    }
}

fn format_report(report: &HostReport) -> String {
    let name = report.name.as_deref().unwrap_or(&report.address);
    let zone = report.zone.as_deref().unwrap_or("-");
    match report.version {
        Some(version) => format!("{name} {zone} {} version {version}", report.state),
        None => format!("{name} {zone} {} (no answer)", report.state),
    }
}
