//! Which entry hosts a caller should use.

use crate::{caller::Site, entry::Host, entry::rank, prelude::*};

value! {
    /// How locate answers are made.
    pub struct Policy {
        /// How long a caller may keep an answer.
        pub max_age: Duration,
        /// The most hosts in one answer.
        pub answers: usize,
    }
}

/// Entry hosts for one site, best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Where to send requests, best first.
    pub addresses: Box<[SocketAddr]>,
}

impl Answer {
    /// Orders hosts for callers of `site`: its zone, then its region, then the others.
    ///
    /// Hosts equally near are ordered by rendezvous rank of the site, so that sites of one zone
    /// spread over the hosts of that zone.
    pub fn new(site: &Site, hosts: &[Host], policy: &Policy) -> Answer {
        let mut usable: Vec<&Host> = hosts.iter().filter(|host| host.takes_callers()).collect();
        rank::sort(&mut usable, site.name.as_str(), |host| host.name.as_str());
        usable.sort_by_key(|host| distance(site, host));
        let addresses = usable.iter().take(policy.answers).map(|host| host.caller_address);
        Answer { addresses: addresses.collect() }
    }
}

fn distance(site: &Site, host: &Host) -> u8 {
    match host {
        host if host.zone == site.zone => 0,
        host if host.region == site.region => 1,
        _ => 2,
    }
}
