//! Which hosts are named to callers and give out slots.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::Ipv4Addr;

use oleanderspan::{
    availability,
    entry::{
        Name, Roster,
        roster::{LIVENESS_TIMEOUT, LivenessReport, Peer},
    },
    prelude::*,
    region,
};

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

fn peer(name: &str, port: u16) -> Peer {
    Peer {
        zone: availability::Index(0),
        name: Name::try_from(name).unwrap(),
        caller_address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port + 1)),
    }
}

fn live(roster: &Roster, millis: u64) -> Vec<String> {
    roster.live_peers(at(millis)).iter().map(|peer| peer.name.to_string()).collect()
}

#[test]
fn a_host_is_live_once_it_answers_and_until_it_is_silent() {
    let mut roster = Roster::default();
    let a = peer("a", 1);
    assert!(roster.insert(a.clone()));
    assert!(!roster.insert(a.clone()), "the same entry is no news");
    assert!(live(&roster, 0).is_empty(), "a list may name hosts that died long ago");
    assert!(roster.record_answer(&a.name, false, at(100)));
    assert_eq!(live(&roster, 100), ["a"]);
    let silence = u64::try_from(LIVENESS_TIMEOUT.as_millis()).unwrap();
    assert_eq!(live(&roster, 100 + silence), ["a"]);
    assert!(live(&roster, 101 + silence).is_empty());
}

#[test]
fn a_leaving_or_failing_host_is_not_used() {
    let mut roster = Roster::default();
    let a = peer("a", 1);
    roster.insert(a.clone());
    roster.record_answer(&a.name, false, at(0));
    assert!(roster.record_answer(&a.name, true, at(1)), "that it leaves is news");
    assert!(live(&roster, 1).is_empty());
    roster.record_answer(&a.name, false, at(2));
    assert!(roster.record_failure(&a.name, at(0)));
    assert!(live(&roster, 2).is_empty());
}

#[test]
fn a_host_at_new_addresses_has_to_answer_there() {
    let mut roster = Roster::default();
    roster.insert(peer("a", 1));
    roster.record_answer(&peer("a", 1).name, false, at(0));
    assert!(roster.insert(peer("a", 9)));
    assert!(live(&roster, 0).is_empty());
}

#[test]
fn hosts_of_other_regions_are_passed_over_after_a_failure() {
    let mut roster = Roster::default();
    let far = peer("far", 1);
    roster.insert_remote(far.clone(), region::Index(2));
    assert_eq!(roster.remote_peers(region::Index(2), at(0)).count(), 1);
    assert_eq!(roster.remote_peers(region::Index(1), at(0)).count(), 0);
    roster.record_remote_failure(&far.name, at(0));
    assert_eq!(roster.remote_peers(region::Index(2), at(2_999)).count(), 0);
    assert_eq!(roster.remote_peers(region::Index(2), at(3_000)).count(), 1);
    assert!(live(&roster, 0).is_empty(), "callers are not sent to another region");
    assert!(roster.remove(&far.name));
    assert!(roster.is_empty());
}

/// Of the hosts of a zone that hear of each other just one reads from the store.
#[test]
fn one_host_of_a_zone_reads_for_the_others() {
    let now = at(0);
    let names = ["a", "b", "c", "d"];
    let readers = |names: &[&str]| {
        let mut readers = Vec::new();
        for own in names {
            let mut roster = Roster::default();
            for (port, other) in (1..).zip(names.iter().filter(|other| *other != own)) {
                let other = peer(other, port);
                roster.insert(other.clone());
                roster.record_answer(&other.name, false, now);
            }
            let own = Name::try_from(*own).unwrap();
            let reader = roster.reader(&own, availability::Index(0), "t", now);
            readers.push(reader.map_or(own.clone(), |peer| peer.name.clone()));
            let distant = availability::Index(1);
            assert_eq!(roster.reader(&own, distant, "t", now), None, "the zone has no other host");
        }
        readers
    };
    let four = readers(&names);
    assert!(four.iter().all(|reader| *reader == four[0]), "{four:?}");
    let three = readers(&names[..3]);
    assert_eq!(three.len(), 3);
    assert!(three.iter().zip(names).all(|(reader, own)| reader.as_str() == own), "{three:?}");
}

/// Who reads for others but falls silent is no longer asked.
#[test]
fn a_silent_reader_is_passed_over() {
    let mut roster = Roster::default();
    for (port, name) in (1..).zip(["b", "c", "d", "e", "f"]) {
        let peer = peer(name, port);
        roster.insert(peer.clone());
        roster.record_answer(&peer.name, false, at(0));
    }
    let own = Name::try_from("a").unwrap();
    let zone = availability::Index(0);
    let topic = (0..).map(|i| format!("topic-{i}"));
    let topic = topic.take(100).find(|topic| roster.reader(&own, zone, topic, at(0)).is_some());
    let topic = topic.unwrap();
    let first = roster.reader(&own, zone, &topic, at(0)).unwrap().name.clone();
    roster.record_failure(&first, at(0));
    let next = roster.reader(&own, zone, &topic, at(0)).map(|peer| peer.name.clone());
    assert_ne!(next, Some(first));
}

fn region(hosts_by_zone: &[&[&str]]) -> Roster {
    let mut roster = Roster::default();
    for (zone, hosts) in (0..).zip(hosts_by_zone) {
        for host in *hosts {
            roster.insert(Peer { zone: availability::Index(zone), ..peer(host, 1) });
        }
    }
    roster
}

/// The load: questions of all hosts of a region to all others grow with the square of the hosts.
#[test]
fn in_a_large_region_one_host_of_each_other_zone_is_asked() {
    let own = availability::Index(0);
    let large = region(&[&["a", "b", "c"], &["d", "e", "f"], &["g", "h", "i"]]);
    let asked = |round| -> Vec<String> {
        large.probe_targets(own, round).iter().map(|peer| peer.name.to_string()).collect()
    };
    let mut others = Set::default();
    for round in 0..3 {
        let mut asked = asked(round);
        assert_eq!(asked.len(), 5, "{asked:?}");
        asked.retain(|name| !["a", "b", "c"].contains(&name.as_str()));
        others.extend(asked);
    }
    assert_eq!(others.len(), 6, "each of the others in its turn");
    let small = region(&[&["a"], &["d", "e"], &["g", "h"]]);
    assert_eq!(small.probe_targets(own, 0).len(), 5);
    assert!(small.liveness_reports(own, at(0)).is_empty(), "all ask for themselves");
}

#[test]
fn what_others_have_seen_counts_by_its_age() {
    let mut roster = region(&[&["a", "b", "c"], &["d", "e", "f"], &["g", "h", "i"]]);
    let name = Name::try_from("e").unwrap();
    let sighting = |millis| LivenessReport {
        name: name.clone(),
        age: Duration::from_millis(millis),
        is_leaving: false,
    };
    assert!(roster.record_report(&sighting(400), at(10_000)));
    assert_eq!(live(&roster, 10_000), ["e"]);
    assert!(!roster.record_report(&sighting(2_000), at(10_500)), "older than what is known");
    assert!(live(&roster, 12_300).is_empty());
    // It answers this host and is silent from then on; others pass on what they saw before.
    roster.record_answer(&name, false, at(13_000));
    assert!(!roster.record_report(&sighting(300), at(13_100)));
    assert!(live(&roster, 14_700).is_empty());
    assert!(!roster.record_report(&sighting(3_500), at(16_500)), "it fell silent there as well");
    // A refused connection outweighs what was seen before it.
    roster.record_failure(&name, at(20_000));
    assert!(!roster.record_report(&sighting(400), at(20_200)));
    assert!(roster.record_report(&sighting(100), at(20_200)));
}

#[test]
fn only_own_sightings_of_the_zone_are_passed_on() {
    let mut roster = region(&[&["a", "b", "c"], &["d", "e", "f"], &["g", "h", "i"]]);
    let now = at(5_000);
    let name = |name: &str| Name::try_from(name).unwrap();
    roster.record_answer(&name("a"), false, now);
    roster.record_answer(&name("d"), false, now);
    let age = Duration::from_millis(100);
    roster.record_report(&LivenessReport { name: name("b"), age, is_leaving: false }, now);
    let told = roster.liveness_reports(availability::Index(0), at(5_200));
    let age = Duration::from_millis(200);
    assert_eq!(told, [LivenessReport { name: name("a"), age, is_leaving: false }]);
    assert!(roster.liveness_reports(availability::Index(0), at(7_000)).is_empty(), "it is silent");
}
