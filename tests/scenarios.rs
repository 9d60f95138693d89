//! Runs each scenario in `tests/scenarios/` against daemon processes.

use {
    googletest::prelude::*,
    oriolehoist_testkit::{
        cluster::DaemonMode,
        scenario::{parse, run},
    },
    std::{collections::BTreeSet, fs, path::Path},
    tokio::sync::Semaphore,
};

/// Limits how many sites run at once. With more, each would get too little processor time to meet
/// the required timing bounds.
static RUNNING_SITES: Semaphore = Semaphore::const_new(3);

/// Runs one scenario, and fails if a guarantee or an expectation was violated.
async fn run_scenario(name: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.scn"));
    let text = fs::read_to_string(file).expect("the scenario file can be read");
    let script = parse(&text).expect("the scenario is valid");
    let _permit = RUNNING_SITES.acquire().await;
    let mode = DaemonMode::Process(env!("CARGO_BIN_EXE_oriolehoist").into());
    let report = run(&script, mode).await.expect("the scenario runs");
    println!(
        "{name}: {} of {} served, longest outage {}, {} moves",
        report.served, report.requests, report.availability.longest_outage, report.moves
    );
    expect_that!(report.violations, is_empty());
}

/// Declares a test for each scenario, and the list of their names.
macro_rules! scenarios {
    ($($name:ident)*) => {
        const SCENARIO_NAMES: &[&str] = &[$(stringify!($name)),*];
        $(
            #[gtest]
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                run_scenario(stringify!($name)).await;
            }
        )*
    };
}

scenarios! {
    intent_keys_bound_to_servers
    again_after_a_restart
    again_after_zone_of_servers
    again_at_the_second_site
    answers_cut_short
    answers_late
    answers_on_silent_connections
    crash_request_after_loss_of_all
    crash_request_after_restarts
    crash_request_is_quarantined
    leaving_server_drained_by_an_operator
    leaving_server_on_the_list
    leaving_server_that_reports_it
    leaving_server_that_vanishes_from_the_list
    not_run_after_an_attempt_that_timed_out
    not_run_when_nothing_listens
    not_run_when_overloaded
    not_run_when_owner_is_lost
    once_when_a_daemon_dies_between
    once_when_answers_are_lost
    once_when_server_dies_while_running
    one_owner_assigner_and_owner_killed
    one_owner_assigner_beside_old_owner
    one_owner_assigner_cut_from_store
    one_owner_assigner_frozen_believing
    one_owner_assigner_isolated
    one_owner_assigner_killed
    one_owner_back_at_once
    one_owner_frozen_and_thawed
    one_owner_killed
    one_owner_lost_reply_on_takeover
    one_owner_one_way_cuts
    one_owner_out_of_reach
    one_owner_store_away
    one_owner_twice_in_a_row
    paths_assigner_cut_from_servers
    paths_assigner_reset_from_servers
    paths_daemon_cut_from_servers
    paths_followers_cut_from_servers
    paths_peer_stops_while_a_daemon_is_cut
    planned_stop_of_a_daemon
    planned_stop_of_all_daemons_in_turn
    reports_that_mislead
    settings_daemon_paused_across_versions
    settings_lost_replies
    settings_racing_operators
    settings_silent_connections
    settings_stale_store
    settings_store_away
    store_calls_are_few
    survives_all_daemons_at_once
    survives_any_daemon
    survives_daemons_one_after_another
    survives_zone_of_daemons
}

#[gtest]
fn every_scenario_file_is_run() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files: BTreeSet<String> = fs::read_dir(directory)
        .expect("the scenario directory can be read")
        .filter_map(|entry| Some(entry.ok()?.path().file_stem()?.to_str()?.to_owned()))
        .collect();
    let listed: BTreeSet<String> = SCENARIO_NAMES.iter().map(|name| (*name).to_owned()).collect();
    expect_that!(files, eq(&listed));
}
