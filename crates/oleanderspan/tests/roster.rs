//! Which hosts are named to callers and give out slots.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::Ipv4Addr;

use oleanderspan::{
    availability,
    entry::{
        Name, Roster,
        roster::{Peer, SILENCE},
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
        callers: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port + 1)),
    }
}

fn live(roster: &Roster, millis: u64) -> Vec<String> {
    roster.live(at(millis)).iter().map(|peer| peer.name.to_string()).collect()
}

#[test]
fn a_host_is_live_once_it_answers_and_until_it_is_silent() {
    let mut roster = Roster::default();
    let a = peer("a", 1);
    assert!(roster.list(a.clone()));
    assert!(!roster.list(a.clone()), "the same entry is no news");
    assert!(live(&roster, 0).is_empty(), "a list may name hosts that died long ago");
    assert!(roster.answered(&a.name, false, at(100)));
    assert_eq!(live(&roster, 100), ["a"]);
    let silence = u64::try_from(SILENCE.as_millis()).unwrap();
    assert_eq!(live(&roster, 100 + silence), ["a"]);
    assert!(live(&roster, 101 + silence).is_empty());
}

#[test]
fn a_leaving_or_failing_host_is_not_used() {
    let mut roster = Roster::default();
    let a = peer("a", 1);
    roster.list(a.clone());
    roster.answered(&a.name, false, at(0));
    assert!(roster.answered(&a.name, true, at(1)), "that it leaves is news");
    assert!(live(&roster, 1).is_empty());
    roster.answered(&a.name, false, at(2));
    assert!(roster.failed(&a.name));
    assert!(live(&roster, 2).is_empty());
}

#[test]
fn a_host_at_new_addresses_has_to_answer_there() {
    let mut roster = Roster::default();
    roster.list(peer("a", 1));
    roster.answered(&peer("a", 1).name, false, at(0));
    assert!(roster.list(peer("a", 9)));
    assert!(live(&roster, 0).is_empty());
}

#[test]
fn hosts_of_other_regions_are_passed_over_after_a_failure() {
    let mut roster = Roster::default();
    let far = peer("far", 1);
    roster.list_distant(far.clone(), region::Index(2));
    assert_eq!(roster.distant(region::Index(2), at(0)).count(), 1);
    assert_eq!(roster.distant(region::Index(1), at(0)).count(), 0);
    roster.distant_failed(&far.name, at(0));
    assert_eq!(roster.distant(region::Index(2), at(2_999)).count(), 0);
    assert_eq!(roster.distant(region::Index(2), at(3_000)).count(), 1);
    assert!(live(&roster, 0).is_empty(), "callers are not sent to another region");
    assert!(roster.unlist(&far.name));
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
                roster.list(other.clone());
                roster.answered(&other.name, false, now);
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
        roster.list(peer.clone());
        roster.answered(&peer.name, false, at(0));
    }
    let own = Name::try_from("a").unwrap();
    let zone = availability::Index(0);
    let topic = (0..).map(|i| format!("topic-{i}"));
    let topic = topic.take(100).find(|topic| roster.reader(&own, zone, topic, at(0)).is_some());
    let topic = topic.unwrap();
    let first = roster.reader(&own, zone, &topic, at(0)).unwrap().name.clone();
    roster.failed(&first);
    let next = roster.reader(&own, zone, &topic, at(0)).map(|peer| peer.name.clone());
    assert_ne!(next, Some(first));
}
