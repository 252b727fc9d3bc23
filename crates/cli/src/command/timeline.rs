//! `timeline`: shows the merged events of all processes.

use std::net::SocketAddr;

use argh::FromArgs;
use oleanderspan_node::control::operator::{self, TimelineEvent};

use super::{Failure, get_from_any};

/// Show the merged event timeline of all hosts. The queried host collects the events of the others.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "timeline")]
pub(super) struct Timeline {
    /// address of the operator interface of any host; may be repeated, and the first host that
    /// answers is used
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// only events at or after this UTC time, in the printed format, such as 2026-01-31T12:00
    #[argh(option)]
    since: Option<String>,
    /// only events of this kind, such as in-force
    #[argh(option)]
    kind: Option<String>,
    /// only events of processes whose name starts with this prefix, such as ro-sud-a1
    #[argh(option)]
    process: Option<String>,
    /// also merge the stored events of this many past hours
    #[argh(option, default = "0")]
    stored_hours: u32,
}

impl Timeline {
    pub(super) async fn run(&self) -> Result<(), Failure> {
        let path = format!("/v1/timeline?stored_hours={}", self.stored_hours);
        let timeline: operator::Timeline = get_from_any(&self.control, &path).await?;
        for event in timeline.events.iter().filter(|event| self.matches(event)) {
            let TimelineEvent { time, process, kind, subject, detail, .. } = event;
            println!("{}", format!("{time} {process} {kind} {subject} {detail}").trim_end());
        }
        for address in timeline.silent {
            eprintln!("no answer from {address}; its recent events are missing");
        }
        Ok(())
    }

    fn matches(&self, event: &TimelineEvent) -> bool {
        self.since.as_ref().is_none_or(|since| event.time >= *since)
            && self.kind.as_ref().is_none_or(|kind| event.kind == *kind)
            && self.process.as_ref().is_none_or(|process| event.process.starts_with(process))
    }
}
