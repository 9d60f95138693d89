//! Tests of maps that are replicated by their changes.

use {
    googletest::prelude::*,
    oriolehoist_replica::{ReplicatedMap, TermVersion},
    std::collections::BTreeMap,
};

fn version(term: u64, count: u64) -> TermVersion {
    TermVersion { term, count }
}

#[gtest]
fn a_takeover_sends_only_what_the_new_assigner_changed() {
    let content: BTreeMap<u32, u32> = (0..300).map(|key| (key, key)).collect();
    let mut first = ReplicatedMap::default();
    first.set(version(1, 1), content.clone());
    let (mut second, mut third) = (ReplicatedMap::default(), ReplicatedMap::default());
    expect_that!(second.apply(first.update_since(second.version())), eq(true));
    expect_that!(third.apply(first.update_since(third.version())), eq(true));

    second.set_version(version(2, 1));
    let update = second.update_since(third.version());
    expect_that!(update.len(), eq(0));
    expect_that!(third.apply(update), eq(true));
    expect_that!(third.version(), eq(version(2, 1)));
    expect_that!(third.get(), eq(&content));
}

#[gtest]
fn an_unknown_version_gets_the_whole_map() {
    let mut sender = ReplicatedMap::default();
    sender.set(version(2, 1), BTreeMap::from([(1, 1), (2, 2)]));
    let update = sender.update_since(version(1, 9));
    expect_that!(update.is_complete(), eq(true));
    let mut receiver = ReplicatedMap::default();
    receiver.set(version(1, 9), BTreeMap::from([(3, 3)]));
    expect_that!(receiver.apply(update), eq(true));
    expect_that!(receiver.get(), eq(sender.get()));
}

#[gtest]
fn receivers_that_miss_updates_get_the_senders_map() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut sender: ReplicatedMap<u8, u8> = ReplicatedMap::default();
        let mut receivers = vec![ReplicatedMap::default(); 5];
        let mut term = 1;
        for count in 1..200 {
            if random.u8(..40) == 0 {
                // Another daemon takes over, whose state may be older.
                sender = receivers[random.usize(..5)].clone();
                term += 1;
            }
            let mut map = sender.get().clone();
            for _ in 0..random.u8(..4) {
                match random.bool() {
                    true => drop(map.insert(random.u8(..30), random.u8(..3))),
                    false => drop(map.remove(&random.u8(..30))),
                }
            }
            sender.set(version(term, count), map);
            let receiver = random.usize(..5);
            let update = sender.update_since(receivers[receiver].version());
            expect_that!(receivers[receiver].apply(update.clone()), eq(true));
            expect_that!(receivers[receiver].get(), eq(sender.get()), "seed {seed}");
            expect_that!(receivers[receiver].apply(update), eq(false));
        }
    }
}
