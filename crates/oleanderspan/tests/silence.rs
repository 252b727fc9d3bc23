//! A silence of the store becomes known to all hosts of a region once, and to none for ever.

use oleanderspan::{entry::Silence, prelude::*};
use proptest::prelude::*;

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

#[test]
fn calls_sent_before_the_end_of_a_silence_may_be_lost() {
    let mut silence = Silence::default();
    assert!(!silence.may_have_lost(at(0)), "no silence is known");
    silence.record_end(at(1_000));
    assert!(silence.may_have_lost(at(999)));
    assert!(!silence.may_have_lost(at(1_000)), "the call that was answered");
}

#[test]
fn report_is_news_once_and_expires() {
    let mut silence = Silence::default();
    assert!(!silence.record_report(Duration::from_secs(60), at(61_000)), "too long ago");
    assert!(silence.record_report(Duration::from_millis(100), at(1_000)));
    assert!(silence.may_have_lost(at(899)) && !silence.may_have_lost(at(900)));
    assert!(!silence.record_report(Duration::from_millis(550), at(1_500)), "known");
    assert_eq!(silence.report(at(1_500)), None, "only what a host has met itself is passed on");
    silence.record_end(at(2_000));
    assert_eq!(silence.report(at(2_300)), Some(Duration::from_millis(300)));
    assert_eq!(silence.report(at(60_000)), None);
}

proptest! {
    /// Reports arrive some time after they were sent, so that hosts that answer each other's would
    /// otherwise move the end of a silence on and on, and repeat their calls each time.
    #[test]
    fn hosts_that_report_to_each_other_repeat_their_calls_once(
        delays in proptest::collection::vec(0_u64..200, 1..40),
        ended in 0_u64..5_000,
    ) {
        let mut hosts = [Silence::default(), Silence::default()];
        hosts[0].record_end(at(ended));
        let (mut now, mut news) = (at(ended + 10), 0);
        for (n, delay) in delays.into_iter().enumerate() {
            if let Some(age) = hosts[n % 2].report(now) {
                now = now + Duration::from_millis(delay);
                news += u32::from(hosts[(n + 1) % 2].record_report(age, now));
            }
            now = now + Duration::from_millis(250);
        }
        prop_assert!(news <= 1);
    }
}
