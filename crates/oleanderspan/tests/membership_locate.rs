//! Locate answers equal the first hosts of a full sort by distance and rendezvous weight. Guards
//! the indexed selection, which ranks distant hosts only when needed.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use oleanderspan::{
    availability,
    caller::{self, Site},
    entry::{Answer, Host, Name, Policy, host, rank},
    region,
};
use proptest::prelude::*;

const ZONES: u16 = 6;

const REGIONS: u16 = 3;

fn host_of(number: usize, zone: u16, is_live: bool) -> Host {
    let address = SocketAddr::from(([10, 0, 0, 0], u16::try_from(number).unwrap()));
    Host {
        name: Name::try_from(format!("host-{number}").as_str()).unwrap(),
        incarnation: host::Incarnation(1),
        state: if is_live { host::State::Live } else { host::State::Leaving },
        zone: availability::Index(zone),
        region: region::Index(zone % REGIONS),
        caller_address: address,
        relay_address: address,
    }
}

proptest! {
    #[test]
    fn answer_is_a_prefix_of_all_hosts_by_distance_and_weight(
        placed in prop::collection::vec((0..ZONES, any::<bool>()), 0..40),
        zone in 0..ZONES,
        site in 0u16..100,
        answers in 1usize..8,
    ) {
        let hosts: Vec<Host> =
            placed.iter().enumerate().map(|(i, (zone, live))| host_of(i, *zone, *live)).collect();
        let site = Site {
            name: caller::Name::try_from(format!("site-{site}").as_str()).unwrap(),
            zone: availability::Index(zone),
            region: region::Index(zone % REGIONS),
        };
        let policy = Policy { max_age: Duration::from_secs(5), answers };
        let mut all: Vec<&Host> = hosts.iter().filter(|host| host.accepts_callers()).collect();
        all.sort_by_key(|host| {
            let distance = u8::from(host.zone != site.zone) + u8::from(host.region != site.region);
            let weight = rank::weight(site.name.as_str(), host.name.as_str());
            (distance, Reverse(weight), host.name.clone())
        });
        let expected: Vec<SocketAddr> =
            all.iter().take(answers).map(|host| host.caller_address).collect();
        prop_assert_eq!(&*Answer::new(&site, &hosts, &policy).addresses, &expected[..]);
    }
}
