//! Links are divided by the hosts that use them, and spill-over keeps to its part of the cap.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{sync::Arc, time::Duration};

use oleanderspan::{
    availability,
    backend::{Server, Waiter},
    caller,
    clock::Instant,
    document::{ValidatedDocument, Version},
    entry::{
        self, Host,
        host::{Incarnation, State},
    },
    region, service,
    shift::{Cap, Vector, WHOLE_PPM},
    snapshot::{Input, Routing, Snapshot},
};
use oleanderspan_lab::deployment::{CUPRUL, Ports};

const SERVICE: service::Index = service::Index(0);
const EST: region::Index = region::Index(0);
const SUD: region::Index = region::Index(1);
const VEST: region::Index = region::Index(2);

#[derive(Debug)]
struct Nobody;

impl Waiter for Nobody {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        Err(server)
    }
}

/// The snapshot of a host, with all callers at home and some regions failed.
fn snapshot(own: &str, failed: [bool; 3]) -> Snapshot<Nobody> {
    let draft = Arc::new(ValidatedDocument::try_from(&CUPRUL.document("production")).unwrap());
    let ports = Ports { base: 20_000 };
    let hosts = (1u16..).zip(CUPRUL.hosts()).map(|(number, host)| {
        let zone = availability::find(&draft.zones, &host.zone).unwrap();
        Host {
            name: entry::Name::try_from(host.name.as_str()).unwrap(),
            incarnation: Incarnation(1),
            state: State::Live,
            zone,
            region: draft.zones[usize::from(zone.0)].region,
            caller_address: ports.caller(number),
            relay_address: ports.relay(number),
        }
    });
    let home = |region| Vector::only(region, 3);
    let routing = Routing {
        shares_by_origin: [EST, SUD, VEST].map(home).to_vec(),
        failed_regions: failed.to_vec(),
        reserved_slots: vec![0; 3],
    };
    let input = Input {
        version: Version(1),
        blocks: Arc::new(caller::Index::new(&draft.blocks)),
        hosts: hosts.collect(),
        servers: Vec::new(),
        routing: vec![routing; draft.services.len()],
        own: entry::Name::try_from(own).unwrap(),
        is_stale: false,
        document: draft,
    };
    Snapshot::new(input, None)
}

fn second(number: u64) -> Instant {
    Instant::ZERO + Duration::from_secs(10) + Duration::from_millis(number)
}

/// Bytes that a budget passes within ten seconds if asked all the time.
fn passed(budget: &region::Budget) -> u64 {
    const BYTES: u64 = 10_000;
    let asked = (0..10_000).filter(|i| budget.try_spend(BYTES, second(*i)).is_ok());
    asked.count() as u64 * BYTES
}

#[test]
fn the_hosts_of_a_region_together_keep_to_the_budget_of_a_link() {
    let mut sent = 0;
    for host in CUPRUL.hosts().iter().filter(|host| host.zone.starts_with("ro-sud")) {
        let link = Arc::clone(snapshot(&host.name, [false; 3]).link(VEST).unwrap());
        sent += passed(&link.requests) + passed(&link.answers);
    }
    // Half of 280 Mbit/s for ten seconds and the burst of a quarter of a second.
    let budget = 280_000_000 / 8 / 2 * 1_025 / 100;
    assert!(sent <= budget, "{sent} bytes over the budget of {budget}");
    assert!(sent >= budget * 85 / 100, "only {sent} bytes of {budget}");
}

#[test]
fn an_answer_that_is_owed_keeps_a_link_shut_until_it_is_paid() {
    let link = Arc::clone(snapshot("ro-sud-a1", [false; 3]).link(VEST).unwrap());
    let now = second(0);
    link.answers.spend(20_000_000, now);
    assert!(!link.answers.has_credit(now));
    assert!(!link.answers.has_credit(now + Duration::from_secs(6)));
    assert!(link.answers.has_credit(now + Duration::from_secs(8)));
}

#[test]
fn spill_over_keeps_to_its_part_of_the_cap_and_goes_where_there_is_room() {
    let cap = Cap::new(region::Percent::try_from(20).unwrap(), Duration::from_secs(60)).unwrap();
    let snapshot = snapshot("ro-sud-a1", [true, false, false]);
    let mut spilled = 0;
    for _ in 0..10_000 {
        let next = snapshot.next_region(SERVICE, SUD);
        assert_eq!(next, Some(SUD));
        if let Some(other) = snapshot.spill_region(SERVICE, SUD, next, second(0)) {
            assert_eq!(other, VEST, "ro-est has failed");
            spilled += 1;
        }
    }
    assert_eq!(spilled, 10_000 * cap.spill() / WHOLE_PPM);

    snapshot.backpressure(SERVICE, VEST).record_refusal(second(0));
    let ask = |now| snapshot.spill_region(SERVICE, SUD, Some(SUD), now);
    for _ in 0..10_000 {
        let _ = snapshot.next_region(SERVICE, SUD);
    }
    assert_eq!(ask(second(999)), None, "ro-vest refused within the last second");
    assert_eq!(ask(second(1_001)), Some(VEST));
}
