//! Shares stay within their caps, and even small request counts match the shares.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use oleanderspan::{
    clock::Instant,
    region::Percent,
    shift::{
        Cap, Diffuser, Slew, Spill, Vector, WHOLE_PPM,
        slew::{Permit, Range},
    },
};
use proptest::prelude::*;

fn vector() -> impl Strategy<Value = Vector> {
    prop::collection::vec(0u32..1_000, 4).prop_map(|weights| {
        let sum: u32 = weights.iter().sum::<u32>().max(1);
        let mut shares: Vec<u32> = weights
            .iter()
            .map(|weight| (u64::from(*weight) * u64::from(WHOLE_PPM) / u64::from(sum)) as u32)
            .collect();
        shares[0] += WHOLE_PPM - shares.iter().sum::<u32>();
        Vector::try_from(shares).unwrap()
    })
}

proptest! {
    #[test]
    fn share_rises_within_a_window_stay_within_the_cap(
        from in vector(),
        targets in prop::collection::vec(vector(), 1..4),
        steps in prop::collection::vec(1u64..60_000, 1..200),
        percent in 1u8..=100,
    ) {
        let window = Duration::from_secs(10);
        let cap = Cap::new(Percent::try_from(percent).unwrap(), window).unwrap();
        let mut now = Instant::ZERO;
        let mut slew = Slew::new(from, now);
        let mut history = vec![(now, slew.shares().clone())];
        for (i, step) in steps.iter().enumerate() {
            now = now + Duration::from_millis(*step);
            // Shares are constant until the step, even during a long pause.
            history.push((now, slew.shares().clone()));
            slew.advance(&targets[i % targets.len()], &cap, Permit::Go, &Range::any(4), now);
            history.push((now, slew.shares().clone()));
        }
        for (i, (start, first)) in history.iter().enumerate() {
            for (end, last) in &history[i..] {
                if end.since(*start) <= window {
                    prop_assert!(first.greatest_rise(last) <= cap.rise_ppm);
                }
            }
        }
    }

    #[test]
    fn small_request_counts_match_the_shares(shares in vector(), requests in 1usize..300) {
        let diffuser = Diffuser::new(4);
        let mut counts = [0u32; 4];
        for _ in 0..requests {
            let region = diffuser.next(&shares).unwrap();
            counts[usize::from(region.0)] += 1;
        }
        for (count, share) in counts.iter().zip(shares.shares()) {
            let expected = requests as f64 * f64::from(*share) / f64::from(WHOLE_PPM);
            prop_assert!(
                (f64::from(*count) - expected).abs() < 2.0,
                "got {count}, expected {expected}"
            );
        }
    }
}

proptest! {
    #[test]
    fn spilled_requests_stay_within_the_spill_over_limit(
        percent in 1u8..=100,
        arrivals in prop::collection::vec(any::<bool>(), 1..2_000),
    ) {
        let cap = Cap::new(Percent::try_from(percent).unwrap(), Duration::from_secs(10)).unwrap();
        let spill = Spill::new(&cap);
        let mut spilled = Vec::new();
        for refused in &arrivals {
            spill.earn();
            spilled.push(u64::from(*refused && spill.try_spend()));
        }
        // For any run of requests, at most one request above the share.
        let mut sums = vec![0];
        sums.extend(spilled.iter().scan(0, |sum, one| { *sum += one; Some(*sum) }));
        for (start, first) in sums.iter().enumerate() {
            for (end, last) in sums.iter().enumerate().skip(start) {
                let allowed = (end - start) as u64 * u64::from(cap.spill()) / u64::from(WHOLE_PPM);
                prop_assert!(last - first <= allowed + 1);
            }
        }
    }
}

#[test]
fn refused_share_is_refused_in_proportion() {
    let shares = Vector::partial(vec![600_000, 0, 150_000]).unwrap();
    let diffuser = Diffuser::new(3);
    let refused = (0..100).filter(|_| diffuser.next(&shares).is_none()).count();
    assert_eq!(refused, 25);
}

#[test]
fn shift_reaches_its_target_and_pauses_without_a_permit() {
    let cap = Cap::new(Percent::try_from(10).unwrap(), Duration::from_secs(10)).unwrap();
    let from = Vector::try_from(vec![WHOLE_PPM, 0]).unwrap();
    let target = Vector::try_from(vec![0, WHOLE_PPM]).unwrap();
    let mut slew = Slew::new(from.clone(), Instant::ZERO);
    let mut now = Instant::ZERO;
    for _ in 0..100 {
        now = now + Duration::from_millis(250);
        slew.advance(&target, &cap, Permit::Wait, &Range::any(2), now);
    }
    assert_eq!(slew.shares(), &from);
    for _ in 0..1_000 {
        now = now + Duration::from_millis(250);
        slew.advance(&target, &cap, Permit::Go, &Range::any(2), now);
    }
    assert_eq!(slew.shares(), &target);
}
