//! Liveness of peers, selection of the store reader, and selection of probe targets.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::Ipv4Addr;

use oleanderspan::{
    availability,
    entry::{
        Name, Roster,
        roster::{Candidate, LIVENESS_TIMEOUT, Peer, Report},
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
        millicores: 0,
    }
}

fn candidate(name: &Name) -> Candidate<'_> {
    Candidate { name, zone: availability::Index(0), millicores: 0 }
}

fn live(roster: &Roster, millis: u64) -> Vec<String> {
    roster.live_peers(at(millis)).iter().map(|peer| peer.name.to_string()).collect()
}

#[test]
fn host_is_live_from_its_first_answer_until_the_timeout() {
    let mut roster = Roster::default();
    let a = peer("a", 1);
    assert!(roster.insert(a.clone()));
    assert!(!roster.insert(a.clone()), "an unchanged entry is not reported as a change");
    assert!(live(&roster, 0).is_empty(), "a listed host that never answered is not live");
    assert!(roster.record_answer(&a.name, false, at(100)));
    assert_eq!(live(&roster, 100), ["a"]);
    let timeout = u64::try_from(LIVENESS_TIMEOUT.as_millis()).unwrap();
    assert_eq!(live(&roster, 100 + timeout), ["a"]);
    assert!(live(&roster, 101 + timeout).is_empty());
}

#[test]
fn leaving_or_failed_host_is_not_live() {
    let mut roster = Roster::default();
    let a = peer("a", 1);
    roster.insert(a.clone());
    roster.record_answer(&a.name, false, at(0));
    assert!(roster.record_answer(&a.name, true, at(1)), "leaving is reported as a change");
    assert!(live(&roster, 1).is_empty());
    roster.record_answer(&a.name, false, at(2));
    assert!(roster.record_failure(&a.name, at(0)));
    assert!(live(&roster, 2).is_empty());
}

/// All hosts of a region were stopped at the same moment: each held itself for the only one left, and
/// sent a cold server its whole rate (soak, seed 656).
#[test]
fn hosts_that_may_still_allocate_slots_are_counted() {
    let mut roster = Roster::default();
    let peers = ["a", "b", "c", "d"].map(|name| peer(name, 1));
    peers.iter().for_each(|peer| assert!(roster.insert(peer.clone())));
    assert_eq!(roster.possible_arbiters(at(100)), 0, "hosts that never answered");
    for (peer, is_leaving) in peers.iter().zip([false, true, false, false]) {
        roster.record_answer(&peer.name, is_leaving, at(100));
    }
    assert_eq!(roster.possible_arbiters(at(100)), 1, "the one about to stop");
    roster.record_answer(&peers[0].name, false, at(3_000));
    assert_eq!(roster.possible_arbiters(at(3_000)), 3, "those that may be paused");
    roster.record_failure(&peers[3].name, at(3_000));
    assert_eq!(roster.possible_arbiters(at(3_000)), 2, "one has ended");
    assert_eq!(roster.possible_arbiters(at(60_000)), 0, "all are gone");
}

#[test]
fn host_with_new_addresses_is_not_live_until_it_answers() {
    let mut roster = Roster::default();
    roster.insert(peer("a", 1));
    roster.record_answer(&peer("a", 1).name, false, at(0));
    assert!(roster.insert(peer("a", 9)));
    assert!(live(&roster, 0).is_empty());
}

#[test]
fn remote_host_is_skipped_for_a_while_after_a_failure() {
    let mut roster = Roster::default();
    let far = peer("far", 1);
    roster.insert_remote(far.clone(), region::Index(2));
    assert_eq!(roster.remote_peers(region::Index(2), at(0)).count(), 1);
    assert_eq!(roster.remote_peers(region::Index(1), at(0)).count(), 0);
    roster.record_remote_failure(&far.name, at(0));
    assert_eq!(roster.remote_peers(region::Index(2), at(2_999)).count(), 0);
    assert_eq!(roster.remote_peers(region::Index(2), at(3_000)).count(), 1);
    assert!(live(&roster, 0).is_empty(), "hosts of another region are never live peers");
    assert!(roster.remove(&far.name));
    assert!(roster.is_empty());
}

/// Guards against several readers in a zone: hosts that see each other as live must agree on one.
/// With fewer hosts than the minimum, each reads the store itself.
#[test]
fn hosts_of_a_zone_agree_on_one_reader() {
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
            let reader = roster.reader(candidate(&own), "t", now);
            readers.push(reader.map_or(own.clone(), |peer| peer.name.clone()));
            let distant = Candidate { zone: availability::Index(1), ..candidate(&own) };
            assert_eq!(roster.reader(distant, "t", now), None, "that zone has no other host");
        }
        readers
    };
    let four = readers(&names);
    assert!(four.iter().all(|reader| *reader == four[0]), "{four:?}");
    let three = readers(&names[..3]);
    assert_eq!(three.len(), 3);
    assert!(three.iter().zip(names).all(|(reader, own)| reader.as_str() == own), "{three:?}");
}

/// Guards against a small host that reads for larger ones: they learn of changes as late as it does.
#[test]
fn hosts_with_the_most_processor_time_read_for_their_zone() {
    const SMALL: u32 = 100;
    const LARGE: u32 = 500;
    let hosts = [("a", SMALL), ("b", LARGE), ("c", SMALL), ("d", LARGE), ("e", SMALL)];
    let live = |own: &str| {
        let mut roster = Roster::default();
        for (name, millicores) in hosts.iter().filter(|(name, _)| *name != own) {
            let peer = Peer { millicores: *millicores, ..peer(name, 1) };
            roster.insert(peer.clone());
            roster.record_answer(&peer.name, false, at(0));
        }
        roster
    };
    for topic in (0..20).map(|i| format!("topic-{i}")) {
        let readers = hosts.map(|(name, millicores)| {
            let own = Name::try_from(name).unwrap();
            let own = Candidate { millicores, ..candidate(&own) };
            let roster = live(name);
            roster.reader(own, &topic, at(0)).map_or(name.to_owned(), |peer| peer.name.to_string())
        });
        assert!(readers.iter().all(|reader| *reader == readers[0]), "{topic}: {readers:?}");
        assert!(["b", "d"].contains(&readers[0].as_str()), "{topic}: {readers:?}");
    }
    // The small ones read once no large one is left.
    let mut roster = live("a");
    for name in ["b", "d"] {
        roster.record_failure(&Name::try_from(name).unwrap(), at(0));
    }
    roster.insert(Peer { millicores: SMALL, ..peer("f", 2) });
    roster.record_answer(&Name::try_from("f").unwrap(), false, at(0));
    let own = Name::try_from("a").unwrap();
    let own = Candidate { millicores: SMALL, ..candidate(&own) };
    let topics = (0..20).map(|i| format!("topic-{i}"));
    assert!(topics.into_iter().any(|topic| roster.reader(own, &topic, at(0)).is_some()));
}

/// Guards against relying on a reader that has failed.
#[test]
fn failed_reader_is_replaced() {
    let mut roster = Roster::default();
    for (port, name) in (1..).zip(["b", "c", "d", "e", "f"]) {
        let peer = peer(name, port);
        roster.insert(peer.clone());
        roster.record_answer(&peer.name, false, at(0));
    }
    let own = Name::try_from("a").unwrap();
    let own = candidate(&own);
    let topic = (0..).map(|i| format!("topic-{i}"));
    let topic = topic.take(100).find(|topic| roster.reader(own, topic, at(0)).is_some());
    let topic = topic.unwrap();
    let first = roster.reader(own, &topic, at(0)).unwrap().name.clone();
    roster.record_failure(&first, at(0));
    let next = roster.reader(own, &topic, at(0)).map(|peer| peer.name.clone());
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

/// Guards against quadratic probe load: full-mesh probing grows with the square of the hosts.
#[test]
fn large_region_probes_one_host_of_each_other_zone() {
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
    assert_eq!(others.len(), 6, "the rotation covers all hosts of the other zones");
    let small = region(&[&["a"], &["d", "e"], &["g", "h"]]);
    assert_eq!(small.probe_targets(own, 0).len(), 5);
    assert!(
        small.liveness_reports(own, at(0)).is_empty(),
        "in a small region every host probes all others itself"
    );
}

#[test]
fn reports_are_applied_by_age() {
    let mut roster = region(&[&["a", "b", "c"], &["d", "e", "f"], &["g", "h", "i"]]);
    let name = Name::try_from("e").unwrap();
    let report = |millis| Report {
        name: name.clone(),
        age: Duration::from_millis(millis),
        is_leaving: false,
    };
    assert!(roster.record_report(&report(400), at(10_000)));
    assert_eq!(live(&roster, 10_000), ["e"]);
    assert!(
        !roster.record_report(&report(2_000), at(10_500)),
        "the report is older than the last one"
    );
    assert!(live(&roster, 12_300).is_empty());
    // After its last answer to this host, only reports of earlier answers arrive.
    roster.record_answer(&name, false, at(13_000));
    assert!(!roster.record_report(&report(300), at(13_100)));
    assert!(live(&roster, 14_700).is_empty());
    assert!(
        !roster.record_report(&report(3_500), at(16_500)),
        "the report is no newer than the answer to this host"
    );
    // A refused connection takes precedence over reports of earlier answers.
    roster.record_failure(&name, at(20_000));
    assert!(!roster.record_report(&report(400), at(20_200)));
    assert!(roster.record_report(&report(100), at(20_200)));
}

#[test]
fn only_direct_answers_of_the_zone_are_reported() {
    let mut roster = region(&[&["a", "b", "c"], &["d", "e", "f"], &["g", "h", "i"]]);
    let now = at(5_000);
    let name = |name: &str| Name::try_from(name).unwrap();
    roster.record_answer(&name("a"), false, now);
    roster.record_answer(&name("d"), false, now);
    let age = Duration::from_millis(100);
    roster.record_report(&Report { name: name("b"), age, is_leaving: false }, now);
    let reports = roster.liveness_reports(availability::Index(0), at(5_200));
    let age = Duration::from_millis(200);
    assert_eq!(reports, [Report { name: name("a"), age, is_leaving: false }]);
    assert!(
        roster.liveness_reports(availability::Index(0), at(7_000)).is_empty(),
        "the answer is older than the time-out"
    );
}

/// All hosts of a zone that shares a reader poll the store briefly, also those that left their reader
/// for a while.
#[test]
fn zone_of_enough_live_hosts_shares_a_reader() {
    let mut roster = Roster::default();
    let zone = availability::Index(0);
    for (port, name) in (1..).zip(["b", "c", "d"]) {
        assert!(!roster.shares_reader(zone, at(0)), "too few hosts");
        let peer = peer(name, port);
        roster.insert(peer.clone());
        roster.record_answer(&peer.name, false, at(0));
    }
    assert!(roster.shares_reader(zone, at(0)));
    assert!(!roster.shares_reader(availability::Index(1), at(0)), "another zone");
    assert!(!roster.shares_reader(zone, at(1_601)), "the others are no longer live");
}
