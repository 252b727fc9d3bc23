//! Regions lend slots to each other: in proportion to need, slowly, and each slot once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use oleanderspan::{
    backend::Name,
    prelude::*,
    region::{
        Demand, Index,
        loan::{self, Ledger, Standing},
    },
};
use proptest::prelude::*;

fn standing(needed: Option<u64>, slots: u32) -> Option<Standing> {
    Some(Standing { needed_milli: needed.map(|slots| slots * 1_000), slots })
}

fn name(i: usize) -> Name {
    Name::try_from(format!("i-{i}").as_str()).unwrap()
}

/// The load: as many requests in each region, and a third of the servers in one of them.
#[test]
fn a_region_with_few_servers_borrows_from_those_with_many() {
    let all = [standing(Some(15), 24), standing(Some(15), 8), standing(Some(15), 16)];
    assert_eq!(loan::plan(Index(0), &all), [0, 8, 0]);
    assert_eq!(loan::plan(Index(1), &all), [0, 0, 0], "who lacks slots lends none");
    assert_eq!(loan::plan(Index(2), &all), [0, 0, 0]);
}

/// Before requests have told, all regions are taken to need as much as each other.
#[test]
fn slots_are_lent_before_the_first_requests() {
    let all = [standing(None, 24), standing(None, 8), standing(None, 16)];
    assert_eq!(loan::plan(Index(0), &all), [0, 8, 0]);
}

#[test]
fn small_differences_move_nothing() {
    let all = [standing(Some(16), 16), standing(Some(17), 16)];
    assert_eq!(loan::plan(Index(0), &all), [0, 0]);
}

#[test]
fn a_region_that_is_not_heard_of_borrows_nothing() {
    let all = [standing(Some(1), 16), None, standing(Some(1), 16)];
    assert_eq!(loan::plan(Index(0), &all), [0, 0, 0]);
    assert_eq!(loan::plan(Index(0), &[standing(Some(1), 16)]), [0]);
}

/// At most 15 % of a region's requests may change the region that runs them within 2 s.
#[test]
fn loans_change_slowly_once_requests_come() {
    assert_eq!(loan::step(0, 12, 18, true), 12);
    assert_eq!(loan::step(0, 12, 18, false), 1);
    assert_eq!(loan::step(12, 0, 18, false), 11);
    let mut size = 0;
    for _ in 0..2 {
        size = loan::step(size, 300, 400, false);
    }
    assert!(size * 100 <= 400 * 15, "{size}");
}

#[test]
fn demand_counts_what_is_refused_as_well() {
    let demand = Demand::default();
    assert!(demand.is_idle() && !demand.is_known());
    for _ in 0..8 {
        (0..20).for_each(|_| demand.count());
        demand.tick();
    }
    assert!(demand.is_known());
    assert_eq!(demand.milli_slots(Duration::from_millis(250)), 5_000);
}

proptest! {
    /// No region lends more than it has, and all together lend no more than is lacked.
    #[test]
    fn nobody_lends_what_it_does_not_have(
        regions in proptest::collection::vec((0u64..400, 0u32..200), 1..6),
    ) {
        let all: Vec<_> = regions.iter().map(|(need, slots)| standing(Some(*need), *slots)).collect();
        let mut received = vec![0; all.len()];
        for (i, (_, slots)) in regions.iter().enumerate() {
            let plan = loan::plan(Index(u16::try_from(i).unwrap()), &all);
            prop_assert!(plan.iter().sum::<u32>() <= *slots);
            prop_assert_eq!(plan[i], 0);
            for (total, lent) in received.iter_mut().zip(&plan) {
                *total += lent;
            }
            if plan.iter().sum::<u32>() > 0 {
                prop_assert_eq!(received[i], 0, "nobody borrows and lends");
            }
        }
    }

    /// A slot is lent once, the loans have the wanted size if servers allow, and one server stays.
    #[test]
    fn a_ledger_lends_each_slot_once(
        steps in proptest::collection::vec((0u16..3, 0u32..30), 1..30),
    ) {
        let servers: Vec<(Name, u32)> = (0..5).map(|i| (name(i), 4)).collect();
        let mut ledger = Ledger::default();
        for (region, size) in steps {
            ledger.set(Index(region), size, &servers);
            prop_assert!(ledger.lent_to(Index(region)) <= size);
            for (name, slots) in &servers {
                prop_assert!(ledger.lent_of(name) <= *slots);
            }
            let kept = servers.iter().filter(|(name, _)| ledger.lent_of(name) == 0).count();
            prop_assert!(kept >= 1);
        }
    }
}

#[test]
fn whole_servers_are_lent_first_and_leaving_ones_called_back() {
    let servers: Vec<(Name, u32)> = (0..4).map(|i| (name(i), 4)).collect();
    let mut ledger = Ledger::default();
    ledger.set(Index(1), 6, &servers);
    let mut lent: Vec<u32> = ledger.loans(Index(1)).map(|(_, slots)| slots).collect();
    lent.sort();
    assert_eq!(lent, [2, 4], "two servers have to remember other objects, not four");
    let remaining: Vec<(Name, u32)> =
        servers.iter().filter(|(name, _)| ledger.lent_of(name) != 4).cloned().collect();
    ledger.set(Index(1), 6, &remaining);
    assert_eq!(ledger.lent_to(Index(1)), 6, "another server takes the place of one that leaves");
}

/// A lender that has just taken over learns from the borrower what it holds.
#[test]
fn a_new_lender_adopts_what_is_held() {
    let mut ledger = Ledger::default();
    ledger.adopt(Index(1), [(name(0), 3)].into_iter().collect());
    assert_eq!(ledger.lent_of(&name(0)), 3);
    ledger.adopt(Index(1), [(name(1), 4)].into_iter().collect());
    assert_eq!(ledger.lent_of(&name(1)), 0, "the own ledger goes first");
}

/// The fault: all hosts start again under load, and no one knows of a loan.
#[test]
fn after_a_restart_a_loan_takes_its_size_at_once() {
    let second = Duration::from_secs(1);
    assert!(loan::is_free(false, 0, second));
    assert!(!loan::is_free(false, 10, second), "a loan that is known changes slowly");
    assert!(!loan::is_free(false, 0, second * 5), "so does one that begins under load");
    assert!(loan::is_free(true, 10, second * 5));
    assert_eq!(loan::step(0, 40, 100, true), 40);
    assert_eq!(loan::step(0, 40, 100, false), 5);
}
