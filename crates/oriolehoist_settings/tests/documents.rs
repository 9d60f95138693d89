//! Settings documents: validation with positions, inheritance, and merging.

use {
    googletest::prelude::*,
    oriolehoist_protocol::ServiceName,
    oriolehoist_settings::{
        MergeResult, Problem, explain, merge, parse_instance_file, parse_settings,
        parse_settings_update,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    serde_json::json,
};

const SITE: &str = r#"{
  // A small site.
  "site": "demo",
  "zones": ["a", "b"],
  "policy": { "deadline_ms": 1500 },
  "services": {
    "tides": {
      "keyed": true,
      "policy": { "queue": 7 },
      "classes": { "bulk": { "policy": { "deadline_ms": 9000 } } },
      "tenants": { "pilots": { "policy": { "weight": 4 } } },
      "bindings": [{ "key": "bar", "targets": ["t1"] }],
      "targets": {
        "t1": { "address": "127.0.0.1:9001", "zone": "a", "server": { "slots": 9 } },
        "t2": { "address": "127.0.0.1:9002", "zone": "b" }
      }
    }
  }
}"#;

fn problems(text: &str) -> Vec<Problem> {
    parse_settings(text).err().map(|p| p.list().to_vec()).unwrap_or_default()
}

fn messages(text: &str) -> Vec<String> {
    problems(text).iter().map(ToString::to_string).collect()
}

#[gtest]
fn every_problem_is_reported_with_its_position_path_and_what_was_expected() {
    let text = SITE
        .replace("\"queue\": 7", "\"qeue\": 7")
        .replace("\"slots\": 9", "\"slots\": 0")
        .replace("\"weight\": 4", "\"weight\": \"4\"");
    let problems = problems(&text);
    expect_that!(problems.len(), eq(3));
    let first = &problems[0];
    expect_that!((first.position.line, first.position.column), eq((9, 19)));
    expect_that!(first.path, eq("services.tides.policy.qeue"));
    expect_that!(first.expected, contains_substring("\"queue\""));
    expect_that!(problems[1].path, eq("services.tides.tenants.pilots.policy.weight"));
    expect_that!(problems[1].found, eq("\"4\""));
    expect_that!(problems[2].expected, contains_substring("from 1 to 100000"));
}

#[gtest]
fn dangling_references_are_reported() {
    let text = SITE.replace("\"zone\": \"b\"", "\"zone\": \"c\"").replace("[\"t1\"]", "[\"t9\"]");
    expect_that!(
        messages(&text),
        unordered_elements_are![
            contains_substring("services.tides.targets.t2.zone"),
            contains_substring("found \"t9\""),
        ]
    );
}

#[gtest]
fn addresses_names_and_timeouts_are_validated() {
    let shared_address = SITE.replace("127.0.0.1:9002", "127.0.0.1:9001");
    expect_that!(
        messages(&shared_address),
        elements_are![contains_substring("an address of its own")]
    );
    let duplicate_name = SITE.replace("\"t2\"", "\"t1\"");
    expect_that!(
        messages(&duplicate_name),
        elements_are![contains_substring("a name given twice")]
    );
    let unknown_class = SITE.replace("\"bulk\"", "\"gold\"");
    expect_that!(
        messages(&unknown_class),
        elements_are![contains_substring("one of urgent, interactive, bulk")]
    );
    let long_grant = SITE.replace("\"keyed\"", "\"timing\": { \"grant_ms\": 1700 }, \"keyed\"");
    expect_that!(messages(&long_grant), elements_are![contains_substring("of at most 1800")]);
}

#[gtest]
fn invalid_syntax_is_rejected_with_its_position() {
    expect_that!(messages("{\n  \"site\": }"), elements_are![contains_substring("line 2")]);
    expect_that!(messages(""), elements_are![contains_substring("JSON with comments")]);
    expect_that!(messages(&"[".repeat(100_000)), elements_are![contains_substring("levels")]);
    let oversized = format!("// {}\n{SITE}", "x".repeat(1 << 20));
    expect_that!(messages(&oversized), elements_are![contains_substring("at most")]);
}

#[gtest]
fn branches_inherit_values_that_they_do_not_override() {
    let checked = parse_settings(SITE).expect("a valid document");
    let tides = &checked.settings.services[&ServiceName::from("tides")];
    let policy = |class: &str, workspace: &str| checked.settings.policy(tides, class, workspace);
    expect_that!(policy("", "").deadline_ms, eq(1500));
    expect_that!(policy("bulk", "").deadline_ms, eq(9000));
    expect_that!(policy("bulk", "pilots").weight, eq(4));
    expect_that!(policy("bulk", "pilots").queue, eq(7));
    let values = explain(&checked.settings, &checked.json, &ServiceName::from("tides"));
    let origin = |branch: &str, setting: &str| {
        let found = values.iter().find(|value| value.branch == branch && value.setting == setting);
        found.map(|value| (value.value.to_string(), value.origin.clone()))
    };
    let bulk = "services.tides.classes.bulk";
    expect_that!(origin(bulk, "policy.deadline_ms"), some(eq(&("9000".into(), bulk.into()))));
    expect_that!(origin(bulk, "policy.queue"), some(eq(&("7".into(), "services.tides".into()))));
    expect_that!(
        origin("services.tides", "policy.deadline_ms"),
        some(eq(&("1500".into(), "site".into())))
    );
    expect_that!(
        origin("services.tides.targets.t2", "server.slots"),
        some(eq(&("4".into(), "default".into())))
    );
}

#[gtest]
fn fixed_settings_of_a_running_service_can_not_be_changed() {
    let before = parse_settings(SITE).expect("a valid document").settings;
    let update = SITE.replace("\"keyed\": true", "\"keyed\": true, \"shards\": 64");
    let message = parse_settings_update(&update, &before).err().map(|p| p.to_string());
    expect_that!(message, some(contains_substring("services.tides.shards")));
    expect_that!(parse_settings_update(SITE, &before).is_ok(), eq(true));
}

#[gtest]
fn disjoint_edits_merge_and_conflicting_ones_report_both_values() {
    let base = json!({ "a": { "x": 1, "y": 2 }, "b": 3 });
    let theirs = json!({ "a": { "x": 10, "y": 2 }, "b": 3, "c": 4 });
    let mine = json!({ "a": { "x": 1, "y": 20 } });
    let merged = json!({ "a": { "x": 10, "y": 20 }, "c": 4 });
    expect_that!(merge(&base, &theirs, &mine), eq(&MergeResult::Merged(merged)));
    let mine = json!({ "a": { "x": 11, "y": 2 }, "b": 3 });
    let MergeResult::Conflicts(conflicts) = merge(&base, &theirs, &mine) else {
        return fail!("conflicting edits were merged").unwrap_or_default();
    };
    expect_that!(conflicts.len(), eq(1));
    expect_that!(conflicts[0].path, eq("a.x"));
    expect_that!(conflicts[0].theirs, some(eq(&json!(10))));
    expect_that!(conflicts[0].mine, some(eq(&json!(11))));
}

#[gtest]
fn an_instance_file_is_validated_like_the_settings() {
    let message = parse_instance_file(r#"{ "instance": "a b", "callers": "here" }"#);
    let message = message.err().map(|p| p.to_string()).unwrap_or_default();
    expect_that!(message, contains_substring("a name of 1 to 64"));
    expect_that!(message, contains_substring("an IP address with a port"));
    expect_that!(message, contains_substring("the field \"store\""));
}

#[gtest]
fn the_parser_does_not_panic_on_damaged_documents() {
    let mut runner = TestRunner::new(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    });
    let edits = (0..SITE.len(), any::<char>());
    let result = runner.run(&edits, |(at, inserted)| {
        // Replaces one character, or truncates the document there.
        let replaced = format!("{}{inserted}{}", &SITE[..at], &SITE[at + 1..]);
        let _ = parse_settings(&replaced);
        let _ = parse_settings(&SITE[..at]);
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
