//! Signed receipts: a receipt decodes to what was signed, and modified receipts are rejected.

use {
    googletest::prelude::*,
    oriolehoist_protocol::{Epoch, InstanceName, ServerName, ServiceName, ShardId, Term, Version},
    oriolehoist_refusal::{
        KeyId, KeyRing, Receipt, ReceiptError, RefusalKind, RunState, SigningKey,
    },
    oriolehoist_time::Millis,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::collections::BTreeSet,
};

fn key_ring(keys: &[(&str, &str)]) -> KeyRing {
    let mut ring = KeyRing::default();
    for (id, key) in keys {
        ring.insert(KeyId((*id).into()), SigningKey::new(*key).expect("a valid key"));
    }
    ring
}

fn receipt() -> Receipt {
    Receipt {
        kind: RefusalKind::OwnerLost,
        run_state: RunState::NotRun,
        rule: "the owner's grant must lapse first".into(),
        time: Millis(1_790_000_000_000),
        instance: InstanceName::from("entry-1"),
        settings: Version(17),
        service: ServiceName::from("tides"),
        request_id: "b1".into(),
        shard: Some(ShardId(9)),
        epoch: Some(Epoch::first(Term(3))),
        server: Some(ServerName::from("tide-2")),
    }
}

const OLD: (&str, &str) = ("k1", "an old key, long enough");
const NEW: (&str, &str) = ("k2", "a new key, long enough too");

#[gtest]
fn a_signed_receipt_decodes_to_what_was_signed() {
    let signed = key_ring(&[OLD]).sign(&KeyId("k1".into()), &receipt()).expect("signed");
    expect_that!(key_ring(&[OLD, NEW]).verify(&signed), ok(eq(&receipt())));
    expect_that!(key_ring(&[NEW]).verify(&signed), err(eq(&ReceiptError::UnknownKey)));
    let other = key_ring(&[("k1", "another key, long enough")]);
    expect_that!(other.verify(&signed), err(eq(&ReceiptError::InvalidSignature)));
}

#[gtest]
fn a_modified_receipt_is_rejected() {
    let keys = key_ring(&[OLD]);
    let signed = keys.sign(&KeyId("k1".into()), &receipt()).expect("signed");
    let mut runner = TestRunner::new(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    });
    let result = runner.run(&(0..signed.len(), any::<u8>()), |(at, byte)| {
        let mut bytes = signed.clone().into_bytes();
        bytes[at] = byte % 128;
        let modified = String::from_utf8_lossy(&bytes).into_owned();
        let accepted = keys.verify(&modified).is_ok_and(|decoded| decoded != receipt());
        prop_assert!(!accepted, "{modified}");
        Ok(())
    });
    expect_that!(result, ok(anything()));
    let result = runner.run(&vec(any::<char>(), 0..200), |text| {
        let text: String = text.into_iter().collect();
        prop_assert!(keys.verify(&text).is_err());
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

#[gtest]
fn every_kind_has_a_unique_name_and_an_error_status() {
    let names: BTreeSet<String> = RefusalKind::ALL.iter().map(ToString::to_string).collect();
    expect_that!(names.len(), eq(RefusalKind::ALL.len()));
    for kind in RefusalKind::ALL {
        let response = kind.response();
        expect_that!(response.status, all![ge(400), lt(600)], "{kind}");
        expect_that!(response.text.is_empty(), eq(false), "{kind}");
        let json = serde_json::to_string(&kind).unwrap_or_default();
        expect_that!(json, eq(&format!("\"{kind}\"")));
    }
    expect_that!(SigningKey::new("short").err(), some(eq(ReceiptError::KeyTooShort)));
}
