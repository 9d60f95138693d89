//! How late the messages of other daemons arrive, by their clocks.

use {googletest::prelude::*, oriolehoist_admission::ReportLateness, oriolehoist_time::Millis};

fn measure(lateness: &mut ReportLateness<u8>, now: u64, run: u32, sent_at: u64) -> u64 {
    lateness.measure(Millis(now), 1, run, Millis(sent_at)).0
}

#[gtest]
fn two_late_messages_in_a_row_tell_by_how_much_they_are_late() {
    let mut lateness = ReportLateness::default();
    expect_that!(measure(&mut lateness, 5020, 1, 1000), eq(0));
    expect_that!(measure(&mut lateness, 5420, 1, 1100), eq(0));
    expect_that!(measure(&mut lateness, 5520, 1, 1200), eq(300));
    expect_that!(measure(&mut lateness, 5330, 1, 1300), eq(10));
    // A new process counts its own time.
    expect_that!(measure(&mut lateness, 6000, 2, 50), eq(0));
}

/// Guards against clocks that drift apart, which look like ever later messages.
#[gtest]
fn clocks_that_drift_apart_do_not_make_messages_late() {
    let mut lateness = ReportLateness::default();
    for second in 1..36_000 {
        let now = second * 1000;
        let late = measure(&mut lateness, now + 20, 1, now - now / 20_000);
        expect_that!(late, le(10), "after {second} s");
    }
}

/// Guards against an overflow by a malformed message.
#[gtest]
fn any_time_of_sending_is_handled() {
    for first in [0, u64::MAX, i64::MAX as u64, 1 << 63] {
        for second in [0, u64::MAX, i64::MAX as u64, 1 << 63] {
            let mut lateness = ReportLateness::default();
            measure(&mut lateness, 5000, 1, first);
            measure(&mut lateness, 5100, 1, second);
            expect_that!(measure(&mut lateness, 5200, 1, first), le(10_000));
        }
    }
}

/// Guards against messages that look late for hours after a clock was corrected.
#[gtest]
fn messages_are_not_late_for_long_after_a_clock_was_corrected() {
    let mut lateness = ReportLateness::default();
    let mut late = 0;
    for now in (0..3_600_000).step_by(5000) {
        let gained = if now < 60_000 { 0 } else { 1000 };
        late = measure(&mut lateness, 10_000 + now + gained, 1, now);
    }
    expect_that!(late, eq(0));
}
