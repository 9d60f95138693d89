//! Tests of the size of a fleet, as one daemon observes it.

use {
    googletest::prelude::*, oriolehoist_fleet::FleetSize, oriolehoist_time::Millis,
    proptest::prelude::*,
};

#[gtest]
fn a_daemon_that_has_observed_nothing_does_not_count_as_a_fleet_of_one() {
    let mut size = FleetSize::default();
    expect_that!(size.get(Millis(5000)), none());
    size.observe(Millis(5000), 0);
    expect_that!(size.get(Millis(5000)), none());
}

#[gtest]
fn daemons_that_are_no_longer_heard_of_still_count_for_a_while() {
    let mut size = FleetSize::default();
    size.observe(Millis(0), 82);
    for at in (500..29_500).step_by(500) {
        size.observe(Millis(at), 3);
        expect_that!(size.get(Millis(at)), some(eq(82)));
    }
    size.observe(Millis(30_500), 3);
    expect_that!(size.get(Millis(30_500)), some(eq(3)));
}

#[gtest]
fn a_fleet_that_grows_counts_at_once() {
    let mut size = FleetSize::default();
    for daemons in 1..=82 {
        size.observe(Millis(daemons), daemons as usize);
        expect_that!(size.get(Millis(daemons)), some(eq(daemons as usize)));
    }
}

/// Guards against daemons that keep a size alive by telling it each other.
#[gtest]
fn a_size_that_is_passed_on_is_forgotten_everywhere_at_the_same_time() {
    let mut daemons = vec![FleetSize::default(); 3];
    daemons[0].observe(Millis(0), 82);
    for now in (0..40_000).step_by(100).map(Millis) {
        daemons[0].observe(now, 3);
        for to in 1..=3 {
            let news = daemons[to - 1].news(now).expect("it is known");
            daemons[to % 3].on_news(now, news);
        }
        let expected = if now < Millis(30_000) { 82 } else { 3 };
        // The first one is told last.
        for daemon in &daemons {
            if now != Millis(0) {
                expect_that!(daemon.get(now), some(eq(expected)), "at {now:?}");
            }
        }
    }
}

proptest! {
    #[test]
    fn it_is_the_largest_of_the_last_half_minute_or_the_last(
        steps in prop::collection::vec((0u64..9000, 1usize..100), 1..60),
    ) {
        let (mut size, mut now, mut seen) = (FleetSize::default(), Millis(0), Vec::new());
        for (pause, daemons) in steps {
            now += Millis(pause);
            size.observe(now, daemons);
            seen.push((now, daemons));
            let kept = seen.iter().filter(|(at, _)| now.since(*at) < Millis(30_000));
            prop_assert_eq!(size.get(now), kept.map(|(_, daemons)| *daemons).max());
        }
        prop_assert_eq!(size.get(now + Millis(40_000)), seen.last().map(|(_, daemons)| *daemons));
    }
}
