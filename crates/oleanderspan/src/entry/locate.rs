//! Selection of the entry hosts that a caller should use.

use crate::{availability, caller::Site, entry::Host, entry::rank, prelude::*, region};

value! {
    /// Limits of locate answers, from the document.
    pub struct Policy {
        /// How long a caller may cache an answer.
        pub max_age: Duration,
        /// Maximum number of hosts in one answer.
        pub answers: usize,
    }
}

/// Entry hosts for one caller site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Caller addresses of the hosts, in order of preference.
    pub addresses: Box<[SocketAddr]>,
}

impl Answer {
    /// Orders hosts by distance from `site`: same zone, same region, then all others.
    pub fn new(site: &Site, hosts: &[Host], policy: &Policy) -> Answer {
        Directory::new(hosts).answer(site, policy)
    }
}

/// An index of the hosts that accept callers, by zone and region, for answers to many sites.
#[derive(Clone, Debug)]
pub struct Directory<'a> {
    all: Vec<&'a Host>,
    zones: Map<availability::Index, Vec<&'a Host>>,
    regions: Map<region::Index, Vec<&'a Host>>,
}

impl<'a> Directory<'a> {
    /// Indexes those of `hosts` that accept callers.
    pub fn new(hosts: &'a [Host]) -> Directory<'a> {
        let all: Vec<&Host> = hosts.iter().filter(|host| host.accepts_callers()).collect();
        let mut zones: Map<_, Vec<&Host>> = Map::default();
        let mut regions: Map<_, Vec<&Host>> = Map::default();
        for host in &all {
            zones.entry(host.zone).or_default().push(host);
            regions.entry(host.region).or_default().push(host);
        }
        Directory { all, zones, regions }
    }

    /// Selects the hosts for callers of `site`.
    ///
    /// Hosts at equal distance are ordered by rendezvous hashing of the site name, which spreads
    /// the sites of a zone over its hosts. More distant hosts are ranked only if there are too
    /// few nearer ones, since most of that work would be discarded.
    pub fn answer(&self, site: &Site, policy: &Policy) -> Answer {
        let subject = site.name.as_str();
        let zone = self.zones.get(&site.zone).map_or(&[][..], Vec::as_slice);
        let region = self.regions.get(&site.region).map_or(&[][..], Vec::as_slice);
        let mut nearest = ranked(zone, subject, |_| true);
        if nearest.len() < policy.answers {
            nearest.extend(ranked(region, subject, |host| host.zone != site.zone));
        }
        if nearest.len() < policy.answers {
            let is_far = |host: &Host| host.zone != site.zone && host.region != site.region;
            nearest.extend(ranked(&self.all, subject, is_far));
        }
        let addresses = nearest.iter().take(policy.answers).map(|host| host.caller_address);
        Answer { addresses: addresses.collect() }
    }
}

fn ranked<'a>(hosts: &[&'a Host], subject: &str, usable: impl Fn(&Host) -> bool) -> Vec<&'a Host> {
    let mut ranked: Vec<&Host> = hosts.iter().copied().filter(|host| usable(host)).collect();
    rank::sort(&mut ranked, subject, |host| host.name.as_str());
    ranked
}
