//! What 36b0849 writes, decoded by this build.

use {
    crate::{fixture, old},
    googletest::prelude::*,
    oriolehoist_edge::wire::*,
    oriolehoist_keyspace::Holder,
    oriolehoist_port::StoreEra,
    oriolehoist_protocol::{HandOverReply, Incarnation, ServerSight, SuspectNotice},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    serde::{Serialize, de::DeserializeOwned},
};

/// Asserts that a structure of `old` is a faithful copy: what it decodes, it encodes to the same bytes.
fn assert_copied<T: Serialize + DeserializeOwned>(bytes: &[u8], encode: impl Fn(&T) -> Vec<u8>) {
    let decoded: T = decode(bytes).expect("decoded by the copy");
    expect_that!(encode(&decoded), eq(bytes));
}

fn named<T: Serialize>(value: &T) -> Vec<u8> {
    encode(value).expect("encoded")
}

fn compact<T: Serialize>(value: &T) -> Vec<u8> {
    encode_compact(value).expect("encoded")
}

/// Guards against copies of old structures that accept more or less than the old build does.
#[gtest]
fn the_copies_of_the_old_structures_write_what_the_old_build_writes() {
    assert_copied(fixture!("sync.msgpack"), named::<old::SyncMessage>);
    assert_copied(fixture!("sync-short.msgpack"), named::<old::SyncMessage>);
    assert_copied(fixture!("sync-response.msgpack"), named::<old::SyncResponse>);
    assert_copied(fixture!("suspect.msgpack"), named::<old::SuspectNotice>);
    assert_copied(fixture!("sight.msgpack"), named::<old::ServerSight>);
    assert_copied(fixture!("hand-over.msgpack"), named::<old::HandedOverRequest>);
    assert_copied(fixture!("hand-over-response.msgpack"), named::<old::Reply>);
    assert_copied(fixture!("hand-over-refused.msgpack"), named::<old::Reply>);
    assert_copied(fixture!("hand-over-no-path.msgpack"), named::<old::Reply>);
    assert_copied(fixture!("loads.msgpack"), compact::<old::LoadMessage>);
    assert_copied(fixture!("relayed-loads.msgpack"), compact::<old::RelayedLoads>);
    assert_copied(fixture!("relayed-limits.msgpack"), compact::<old::RelayedLimits>);
    let member: old::Member = serde_json::from_slice(fixture!("member.json")).expect("decoded");
    expect_that!(serde_json::to_vec(&member).expect("encoded"), eq(fixture!("member.json")));
    let claim: old::AssignerRecord =
        serde_json::from_slice(fixture!("assigner.json")).expect("decoded");
    expect_that!(serde_json::to_vec(&claim).expect("encoded"), eq(fixture!("assigner.json")));
}

/// Guards against a daemon that rejects the messages of an old assigner, and so holds an election
/// against it.
#[gtest]
fn a_message_of_an_old_assigner_is_decoded() {
    let sync: SyncMessage = decode(fixture!("sync.msgpack")).expect("decoded");
    expect_that!(sync.from.instance.as_str(), eq("edge-1"));
    expect_that!(sync.from.build, none());
    expect_that!(sync.term, eq(40));
    expect_that!(sync.versions.servers.digest, eq(u64::MAX));
    expect_that!(sync.config_age, some(eq(Millis(30))));
    expect_that!(sync.asked, elements_are![eq(&7), eq(&4_000_000_000)]);
    expect_that!(sync.config.as_deref(), some(eq(b"{}".as_slice())));
    expect_that!(sync.servers.map(|servers| servers.len()), some(eq(3)));
    expect_that!(sync.members.map(|members| members.len()), some(eq(3)));
    let mut routes = oriolehoist_replica::ReplicatedMap::default();
    let update = sync.routes.expect("there are routes");
    let base = oriolehoist_replica::TermVersion { term: 40, count: 2 };
    routes.set(base, [(("ledger".into(), 30_000), (65_535, Holder::Moving))].into());
    expect_that!(routes.apply(update), eq(true));
    let holders: Vec<_> = routes.get().values().map(|(last, holder)| (*last, holder)).collect();
    expect_that!(holders[1], eq((19_999, &Holder::Moving)));
    expect_that!(holders[2], eq((65_535, &Holder::Lost(Millis(2500)))));
    expect_that!(holders.len(), eq(3));
    // What the old build does not know is absent, and not an empty set or a zero.
    expect_that!(sync.evacuations.is_none() && sync.store.is_none(), eq(true));
    expect_that!(sync.versions.evacuations, none());
    expect_that!(sync.server_speeds, is_empty());
    expect_that!(sync.fleet_size, none());
}

#[gtest]
fn a_message_without_any_part_of_the_state_is_decoded() {
    let sync: SyncMessage = decode(fixture!("sync-short.msgpack")).expect("decoded");
    expect_that!(sync.config_age, none());
    expect_that!(sync.relayed_after, none());
    expect_that!(sync.config.is_none() && sync.servers.is_none(), eq(true));
    expect_that!(sync.routes.is_none() && sync.members.is_none(), eq(true));
}

/// Guards against an assigner that takes daemons of the old build for unresponsive.
#[gtest]
fn the_response_of_an_old_daemon_is_decoded() {
    let response: SyncResponse = decode(fixture!("sync-response.msgpack")).expect("decoded");
    let from = response.from.clone().expect("named");
    expect_that!(response.is_from(&from), eq(true));
    expect_that!(from.build, none());
    let (service, load) = &response.load[0];
    expect_that!(service.as_str(), eq("ledger"));
    expect_that!(load.requests_by_key, elements_are![eq(&(5, 17)), eq(&(900, 1))]);
    expect_that!(load.service_times[0].1, eq(620));
    expect_that!(response.unresponsive[0].as_str(), eq("edge-4"));
    expect_that!(response.reach.map(|reach| reach.lost), some(eq(4)));
}

#[gtest]
fn small_messages_of_an_old_daemon_are_decoded() {
    expect_that!(decode::<StoreEra>(fixture!("store-era.msgpack")), ok(eq(&StoreEra(3))));
    let notice: SuspectNotice = decode(fixture!("suspect.msgpack")).expect("decoded");
    expect_that!(notice.fingerprint, eq(u64::MAX - 1));
    expect_that!(decode::<ServerSight>(fixture!("sight.msgpack")), ok(eq(&ServerSight::Refuses)));
}

/// Guards against requests that fail because they were handed over between builds.
#[gtest]
fn a_request_that_an_old_daemon_hands_over_is_decoded() {
    let request: HandedOverRequest = decode(fixture!("hand-over.msgpack")).expect("decoded");
    expect_that!(request.method.as_str(), eq("POST"));
    expect_that!(request.body.as_ref(), eq(&[0, 255, 7]));
    expect_that!((request.remaining, request.key), eq((Millis(790), Some(5))));
    expect_that!(request.route.max_attempts, eq(2));
    expect_that!(request.route.service_weights.len(), eq(2));
    let headers = request.headers.decode().expect("headers");
    expect_that!(headers["x-binary"].as_bytes(), eq(&[255, 128, 32, 120]));
}

#[gtest]
fn the_replies_of_an_old_daemon_are_decoded() {
    let reply: Reply = decode(fixture!("hand-over-response.msgpack")).expect("decoded");
    expect_that!(matches!(reply, HandOverReply::Response { status: 200, .. }), eq(true));
    let reply: Reply = decode(fixture!("hand-over-refused.msgpack")).expect("decoded");
    let HandOverReply::Refused(refusal) = reply else { panic!("a refusal") };
    expect_that!(refusal.kind, eq(RefusalKind::Overloaded));
    expect_that!(refusal.expected_wait, some(eq(Millis(1073))));
    let reply: Reply = decode(fixture!("hand-over-no-path.msgpack")).expect("decoded");
    let HandOverReply::NoPath { cut_off, referral } = reply else { panic!("no path") };
    expect_that!(cut_off, eq(true));
    expect_that!(referral.map(|address| address.port()), some(eq(7003)));
}

/// Guards against limits on request rates that half of the fleet does not learn.
#[gtest]
fn the_datagrams_of_an_old_daemon_are_decoded() {
    let loads = LoadMessage::decode(fixture!("loads.msgpack")).expect("decoded");
    expect_that!(loads.in_flight[&9], eq(12));
    expect_that!((loads.limits[&7].limit, loads.limits[&9].limit), eq((Some(17.5), None)));
    let loads = RelayedLoads::decode(fixture!("relayed-loads.msgpack")).expect("decoded");
    expect_that!((loads.news[0].load, loads.news[1].load), eq((16, 65_535)));
    let limits = RelayedLimits::decode(fixture!("relayed-limits.msgpack")).expect("decoded");
    expect_that!((limits.limits[0].1.daemons, limits.limits[1].1.daemons), eq((9, 1)));
}

/// Guards against a datagram that is taken for one of another kind.
#[gtest]
fn no_datagram_of_an_old_daemon_is_taken_for_another_one() {
    let datagrams = [
        fixture!("loads.msgpack"),
        fixture!("relayed-loads.msgpack"),
        fixture!("relayed-limits.msgpack"),
    ];
    let kinds = |bytes: &[u8]| {
        [
            LoadMessage::decode(bytes).is_ok(),
            RelayedLoads::decode(bytes).is_some(),
            RelayedLimits::decode(bytes).is_some(),
            ColdServers::decode(bytes).is_some(),
        ]
    };
    for (index, bytes) in datagrams.into_iter().enumerate() {
        let mut expected = [false; 4];
        expected[index] = true;
        expect_that!(kinds(bytes), eq(expected));
    }
}

/// Guards against daemons that do not know each other, or that do not see that another one assigns.
#[gtest]
fn the_stored_values_of_an_old_daemon_are_decoded() {
    let member: Member = serde_json::from_slice(fixture!("member.json")).expect("decoded");
    expect_that!((member.zone.as_str(), member.relays), eq(("north-a", true)));
    expect_that!(member.build, none());
    let claim: AssignerRecord = serde_json::from_slice(fixture!("assigner.json")).expect("decoded");
    expect_that!((claim.lease.0, claim.era), eq((77, StoreEra(3))));
    expect_that!(claim.member, eq(&member));
}

/// Guards against a daemon that sends itself messages, or waits for its own confirmation, because an
/// old assigner has passed its entry on without the build.
#[gtest]
fn an_entry_that_an_old_daemon_has_passed_on_is_of_the_same_run() {
    let old: Member = serde_json::from_slice(fixture!("member.json")).expect("decoded");
    let new = crate::filled::member();
    expect_that!(old.is_same_run(&new) && old != new, eq(true));
    let restarted = Member { incarnation: Incarnation(old.incarnation.0 + 1), ..new.clone() };
    let moved = Member { address: ([127, 0, 0, 9], 1).into(), ..new.clone() };
    let other = Member { instance: "edge-7".into(), ..new };
    expect_that!([restarted, moved, other].map(|other| other.is_same_run(&old)), eq([false; 3]));
}
