//! What a server says about the requests that it takes.

use {googletest::prelude::*, oriolehoist_admission::StatedAvailability, oriolehoist_time::Millis};

const DRAIN_PERIOD: Millis = Millis(2000);

#[gtest]
fn a_server_that_leaves_gets_requests_until_the_drain_period_has_passed_since_it_was_first_heard() {
    let mut server = StatedAvailability::<u32>::default();
    expect_that!(server.on_leaving(Millis(1000)), eq(true));
    expect_that!(server.on_leaving(Millis(2500)), eq(false));
    expect_that!(server.admits(Millis(2999), DRAIN_PERIOD), eq(true));
    expect_that!(server.admits(Millis(3000), DRAIN_PERIOD), eq(false));
    expect_that!(server.leaving_for(Millis(3000)), some(eq(Millis(2000))));
}

#[gtest]
fn a_pause_ends_at_the_latest_time_that_was_named() {
    let mut server = StatedAvailability::<u32>::default();
    expect_that!(server.on_pause(Millis(0), Millis(2500)), eq(true));
    expect_that!(server.on_pause(Millis(100), Millis(500)), eq(false));
    expect_that!(server.wait(Millis(100), 0), eq(Millis(2400)));
    expect_that!(server.admits(Millis(2499), DRAIN_PERIOD), eq(false));
    expect_that!(server.admits(Millis(2500), DRAIN_PERIOD), eq(true));
}

#[gtest]
fn a_pause_of_no_time_changes_nothing() {
    let mut server = StatedAvailability::<u32>::default();
    expect_that!(server.on_pause(Millis(10), Millis::ZERO), eq(false));
    expect_that!(server.admits(Millis(10), DRAIN_PERIOD), eq(true));
}

#[gtest]
fn a_server_that_asks_for_an_absurd_time_is_tried_again() {
    let mut server = StatedAvailability::<u32>::default();
    server.on_pause(Millis(10), Millis(u64::MAX));
    expect_that!(server.admits(Millis::from_secs(600), DRAIN_PERIOD), eq(false));
    expect_that!(server.admits(Millis::from_secs(601), DRAIN_PERIOD), eq(true));
}

#[gtest]
fn a_server_that_leaves_and_pauses_gets_nothing_during_the_pause() {
    let mut server = StatedAvailability::<u32>::default();
    server.on_leaving(Millis(0));
    server.on_pause(Millis(100), Millis(500));
    expect_that!(server.admits(Millis(300), DRAIN_PERIOD), eq(false));
    expect_that!(server.admits(Millis(700), DRAIN_PERIOD), eq(true));
    expect_that!(server.admits(Millis(2000), DRAIN_PERIOD), eq(false));
}
