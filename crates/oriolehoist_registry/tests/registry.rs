//! Tests of listings in pages, changes, and removed registrations.

use {
    googletest::prelude::*,
    oriolehoist_port::{RegisteredServer, Revision, ServerState, StoreEra},
    oriolehoist_registry::{Listing, Registration, Registry},
    oriolehoist_time::Millis,
    smol_str::{SmolStr, format_smolstr},
    std::collections::BTreeMap,
};

const NOW: Millis = Millis(10_000);

fn server(id: &str, state: ServerState) -> RegisteredServer {
    RegisteredServer {
        id: id.into(),
        started_at: 1,
        service: "tides".into(),
        address: "127.0.0.1:80".parse().expect("the address is valid"),
        zone: "north".into(),
        slots: 6,
        state,
        warm_up_remaining: Millis::ZERO,
    }
}

fn registration(id: &str, revision: u64, state: ServerState) -> Registration {
    Registration { id: id.into(), revision: Revision(revision), server: Some(server(id, state)) }
}

/// Returns a registry with these registrations, read at a revision.
fn registry_of(revision: u64, registrations: impl IntoIterator<Item = Registration>) -> Registry {
    let mut listing = Listing::default();
    listing.add_page(Revision(revision), registrations);
    let mut registry = Registry::default();
    registry.replace(NOW, listing);
    registry
}

/// Returns the state of each server by its id.
fn states(registry: &mut Registry, now: Millis) -> BTreeMap<SmolStr, ServerState> {
    registry.drop_removed(now);
    registry.servers(now).into_iter().map(|server| (server.id, server.state)).collect()
}

/// Returns the revision with this number in the second era.
fn restored(number: u64) -> Revision {
    Revision::new(StoreEra(2), number)
}

/// Returns a listing of the second era with these registrations.
fn restored_listing(number: u64, entries: &[(&str, u64, ServerState)]) -> Listing {
    let mut listing = Listing::default();
    let entries = entries.iter().map(|(id, revision, state)| Registration {
        revision: restored(*revision),
        ..registration(id, *revision, *state)
    });
    listing.add_page(restored(number), entries);
    listing
}

/// Guards against a server that counts as changed with each registration while it is cold, and against a
/// remaining time that does not reach the other daemons.
#[gtest]
fn the_remaining_warm_up_is_passed_on_and_is_no_change_of_the_servers() {
    let cold = |revision, remaining| {
        let warm_up_remaining = Millis(remaining);
        let server = RegisteredServer { warm_up_remaining, ..server("a", ServerState::Ready) };
        Registration { id: "a".into(), revision: Revision(revision), server: Some(server) }
    };
    let mut sender = registry_of(10, [cold(9, 3000)]);
    let mut receiver = registry_of(10, [cold(9, 3000)]);
    let before = sender.servers(NOW);
    sender.on_registered(cold(11, 2100));
    sender.advance(Revision(11));
    expect_that!(sender.servers(NOW), eq(&before));
    expect_that!(receiver.apply(NOW, sender.changes_since(NOW, Revision(10))), eq(true));
    let known: Vec<(Millis, Revision, bool)> = receiver
        .registrations()
        .map(|(server, revision, registered)| (server.warm_up_remaining, revision, registered))
        .collect();
    expect_that!(known, eq(&vec![(Millis(2100), Revision(11), true)]));
    let unstated = cold(12, RegisteredServer::WARM_UP_UNSTATED.0);
    sender.on_registered(unstated);
    expect_that!(sender.servers(NOW)[0].warm_up_remaining, eq(Millis::ZERO));
}

#[gtest]
fn a_registry_continues_from_a_lower_number_of_a_later_era() {
    let entries = [registration("a", 90, ServerState::Ready)];
    let mut sender = registry_of(100, entries.clone());
    let mut receiver = registry_of(100, entries);
    sender.replace(NOW, restored_listing(50, &[("a", 40, ServerState::Ready)]));
    expect_that!(sender.revision(), eq(restored(50)));
    sender.on_registered(Registration {
        revision: restored(51),
        ..registration("a", 51, ServerState::Draining)
    });
    sender.advance(restored(51));
    expect_that!(receiver.apply(NOW, sender.changes_since(NOW, receiver.revision())), eq(true));
    expect_that!(states(&mut receiver, NOW)["a"], eq(ServerState::Draining));
    expect_that!(receiver.version(), eq(sender.version()));
}

#[gtest]
fn servers_that_a_restored_store_does_not_have_may_register_again() {
    let entries =
        [registration("a", 90, ServerState::Ready), registration("b", 95, ServerState::Ready)];
    let mut registry = registry_of(100, entries);
    registry.replace(NOW, restored_listing(50, &[("a", 40, ServerState::Ready)]));
    expect_that!(states(&mut registry, NOW)["b"], eq(ServerState::Ready));
    let settled = registry.settles_at();
    expect_that!(settled, gt(NOW));
    expect_that!(states(&mut registry, settled)["b"], eq(ServerState::Draining));
}

#[gtest]
fn a_draining_server_is_not_ready_again_because_the_store_lost_its_drain() {
    let ready = [("a", 40, ServerState::Ready), ("b", 41, ServerState::Ready)];
    let mut registry = registry_of(100, [registration("a", 90, ServerState::Draining)]);
    // `b` has left.
    registry.on_registered(registration("b", 101, ServerState::Ready));
    registry.on_removed(NOW, &"b".into(), Revision(102));
    registry.replace(NOW, restored_listing(50, &ready));
    for _ in 0..2 {
        expect_that!(states(&mut registry, NOW)["a"], eq(ServerState::Draining));
        expect_that!(states(&mut registry, NOW)["b"], eq(ServerState::Draining));
        expect_that!(registry.next_change_after(NOW), some(eq(registry.settles_at())));
        // Listed again, with the same revisions.
        registry.replace(NOW, restored_listing(50, &ready));
    }
    // Written again since, as ready.
    registry.on_registered(Registration {
        revision: restored(51),
        ..registration("a", 51, ServerState::Ready)
    });
    expect_that!(states(&mut registry, NOW)["a"], eq(ServerState::Ready));
    let settled = registry.settles_at();
    expect_that!(states(&mut registry, settled)["b"], eq(ServerState::Ready));
}

#[gtest]
fn a_change_between_two_pages_is_applied_after_the_last_page() {
    let mut listing = Listing::default();
    listing.add_page(Revision(10), [registration("a", 4, ServerState::Ready)]);
    listing.add_page(Revision(12), [registration("b", 5, ServerState::Ready)]);
    let mut registry = Registry::default();
    registry.replace(NOW, listing);
    expect_that!(registry.revision(), eq(Revision(10)));
    expect_that!(registry.is_consistent(), eq(false));
    registry.on_registered(registration("a", 11, ServerState::Draining));
    registry.advance(Revision(12));
    expect_that!(registry.is_consistent(), eq(true));
    expect_that!(states(&mut registry, NOW)["a"], eq(ServerState::Draining));
}

#[gtest]
fn a_change_that_a_later_page_includes_is_not_undone_by_an_earlier_one() {
    let mut listing = Listing::default();
    listing.add_page(Revision(10), [registration("a", 4, ServerState::Ready)]);
    listing.add_page(Revision(14), [registration("b", 13, ServerState::Draining)]);
    let mut registry = Registry::default();
    registry.replace(NOW, listing);
    registry.on_registered(registration("b", 11, ServerState::Ready));
    registry.on_removed(NOW, &"b".into(), Revision(12));
    expect_that!(states(&mut registry, NOW)["b"], eq(ServerState::Draining));
    registry.on_registered(registration("b", 13, ServerState::Draining));
    registry.on_registered(registration("b", 15, ServerState::Ready));
    expect_that!(states(&mut registry, NOW)["b"], eq(ServerState::Ready));
}

#[gtest]
fn removed_servers_drain_for_a_while_and_may_return_after_an_outage() {
    let mut registry = registry_of(3, [registration("a", 3, ServerState::Ready)]);
    registry.on_removed(NOW, &"a".into(), Revision(4));
    expect_that!(states(&mut registry, NOW)["a"], eq(ServerState::Draining));
    expect_that!(states(&mut registry, NOW + Millis(7_999)).len(), eq(1));
    expect_that!(states(&mut registry, NOW + Millis(8_000)).len(), eq(0));

    let mut registry = registry_of(3, [registration("a", 3, ServerState::Ready)]);
    registry.on_store_recovered(NOW);
    registry.replace(NOW, Listing::default());
    expect_that!(states(&mut registry, NOW + Millis(2_299))["a"], eq(ServerState::Ready));
    expect_that!(states(&mut registry, NOW + Millis(2_300))["a"], eq(ServerState::Draining));
    registry.on_registered(registration("a", 9, ServerState::Ready));
    expect_that!(states(&mut registry, NOW + Millis(60_000))["a"], eq(ServerState::Ready));
}

#[gtest]
fn a_change_of_one_server_is_sent_without_the_others() {
    let all =
        (0..300).map(|index| registration(&format!("s{index:03}"), 5 + index, ServerState::Ready));
    let mut sender = registry_of(400, all);
    let mut receiver = Registry::default();
    let changes = sender.changes_since(NOW, receiver.revision());
    expect_that!(changes.is_complete(), eq(true));
    expect_that!(receiver.apply(NOW, changes), eq(true));

    sender.on_registered(registration("s007", 401, ServerState::Draining));
    sender.on_removed(NOW, &"s008".into(), Revision(402));
    sender.advance(Revision(403));
    let changes = sender.changes_since(NOW, receiver.revision());
    expect_that!(changes.len(), eq(2));
    expect_that!(receiver.apply(NOW, changes), eq(true));
    expect_that!(receiver.version(), eq(sender.version()));
    expect_that!(states(&mut receiver, NOW), eq(&states(&mut sender, NOW)));
}

#[gtest]
fn a_daemon_that_missed_a_dropped_removal_gets_all_servers() {
    let both = [registration("a", 1, ServerState::Ready), registration("b", 2, ServerState::Ready)];
    let mut sender = registry_of(3, both);
    let mut receiver = Registry::default();
    receiver.apply(NOW, sender.changes_since(NOW, Revision::default()));
    sender.on_removed(NOW, &"b".into(), Revision(4));
    sender.advance(Revision(4));
    sender.drop_removed(NOW + Millis(9_000));
    let matches = receiver.apply(NOW, sender.changes_since(NOW, receiver.revision()));
    expect_that!(matches, eq(false));
    expect_that!(receiver.apply(NOW, sender.changes_since(NOW, Revision::default())), eq(true));
    expect_that!(states(&mut receiver, NOW)["b"], eq(ServerState::Draining));
    expect_that!(states(&mut receiver, NOW + Millis(9_000)).contains_key("b"), eq(false));
}

#[gtest]
fn a_lapsed_registration_counts_as_ready_at_all_daemons_until_it_settles() {
    let mut sender = registry_of(3, [registration("a", 1, ServerState::Ready)]);
    let mut receiver = Registry::default();
    receiver.apply(NOW, sender.changes_since(NOW, Revision::default()));
    sender.on_store_recovered(NOW);
    sender.on_removed(NOW + Millis(100), &"a".into(), Revision(4));
    sender.advance(Revision(4));
    // The receiver's clock shows another time.
    let (sent_at, received_at) = (NOW + Millis(300), Millis(50_000));
    expect_that!(receiver.apply(received_at, sender.changes_since(sent_at, Revision(3))), eq(true));
    expect_that!(receiver.servers(received_at + Millis(1_999))[0].state, eq(ServerState::Ready));
    expect_that!(receiver.next_change_after(received_at), some(eq(received_at + Millis(2_000))));
    expect_that!(receiver.servers(received_at + Millis(2_000))[0].state, eq(ServerState::Draining));
}

/// The entries of a store that changes at random, and the changes themselves.
#[derive(Default)]
struct Store {
    revision: u64,
    entries: BTreeMap<SmolStr, Registration>,
    changes: Vec<(SmolStr, Option<Registration>, u64)>,
}

impl Store {
    fn change(&mut self, random: &mut fastrand::Rng) {
        self.revision += 1;
        let id = format_smolstr!("s{:02}", random.u8(..40));
        let state = if random.bool() { ServerState::Ready } else { ServerState::Draining };
        let entry = (random.u8(..4) > 0).then(|| registration(&id, self.revision, state));
        match &entry {
            Some(entry) => drop(self.entries.insert(id.clone(), entry.clone())),
            None => drop(self.entries.remove(&id)),
        }
        self.changes.push((id, entry, self.revision));
    }
}

#[gtest]
fn a_consistent_registry_matches_the_store_whatever_changes_while_pages_are_read() {
    for seed in 0..2_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut store = Store::default();
        (0..60).for_each(|_| store.change(&mut random));
        let mut registry = Registry::default();
        for _ in 0..3 {
            let mut listing = Listing::default();
            let mut after = SmolStr::default();
            loop {
                let rest = store.entries.range(after.clone()..).filter(|(id, _)| **id > after);
                let page: Vec<Registration> =
                    rest.map(|(_, entry)| entry.clone()).take(10).collect();
                let last = page.last().map(|entry| entry.id.clone());
                listing.add_page(Revision(store.revision), page);
                match last {
                    Some(last) => after = last,
                    None => break,
                }
                (0..random.u8(..4)).for_each(|_| store.change(&mut random));
            }
            registry.replace(NOW, listing);
            for (id, entry, revision) in store.changes.clone() {
                if Revision(revision) > registry.revision() {
                    match entry {
                        Some(entry) => registry.on_registered(entry),
                        None => registry.on_removed(NOW, &id, Revision(revision)),
                    }
                }
            }
            registry.advance(Revision(store.revision));
            expect_that!(registry.is_consistent(), eq(true));
            // Removed servers are dropped after their retention.
            let known = states(&mut registry, NOW + Millis(10_000));
            let stored = store.entries.iter().filter_map(|(id, entry)| {
                entry.server.as_ref().map(|server| (id.clone(), server.state))
            });
            expect_that!(known, eq(&stored.collect()), "seed {seed}");
            (0..20).for_each(|_| store.change(&mut random));
        }
    }
}

/// Guards against servers that count as removed because the list of servers could not be read to its end.
#[gtest]
fn servers_behind_the_end_of_an_incomplete_listing_stay() {
    let ids = ["i-1", "i-2", "i-3", "i-4"];
    let mut registry = registry_of(9, ids.map(|id| registration(id, 5, ServerState::Ready)));
    let mut listing = Listing::default();
    listing.add_page(Revision(12), [registration("i-2", 11, ServerState::Draining)]);
    listing.end_at("i-2".into());
    registry.replace(NOW, listing);
    let expected = [
        ("i-1".into(), ServerState::Draining),
        ("i-2".into(), ServerState::Draining),
        ("i-3".into(), ServerState::Ready),
        ("i-4".into(), ServerState::Ready),
    ];
    expect_that!(states(&mut registry, NOW), eq(&BTreeMap::from(expected)));
}
