//! An assigner that follows another one.

use {
    crate::support::*,
    googletest::prelude::*,
    oriolehoist_keyspace::{Assigned, Fences, HOLD, Holder, Keeper},
    oriolehoist_port::{KeyRange, Order, ServerState},
    oriolehoist_time::Millis,
};

#[gtest]
fn an_earlier_owner_that_a_stored_table_names_is_not_renewed() {
    let mut keeper = Keeper::new();
    let assigned = Assigned {
        range: KeyRange::ALL,
        owner: life("b"),
        fence: 9,
        formers: vec![(life("a"), 5)],
    };
    keeper.adopt(START, &[assigned], LONGEST_HOLD);
    let servers = [
        server("a", ServerState::Ready),
        server("b", ServerState::Draining),
        server("c", ServerState::Ready),
    ];
    keeper.on_servers(START, servers.iter());
    let mut fences = Fences::default();
    expect_that!(keeper.plan(START, 1, &mut fences), eq(true));
    let stored = keeper.assigned();
    expect_that!(stored.iter().all(|assigned| assigned.formers.len() == 2), eq(true));
    // The plan is not stored yet: nobody may be granted anything.
    let orders = keeper.orders(START + STEP, HOLD);
    expect_that!(orders.iter().any(is_grant), eq(false));
}

#[gtest]
fn a_takeover_repeats_the_same_grants() {
    let ready = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let mut first = Assigner::new(&ready);
    first.run(Millis(3000));
    let table = first.keeper.assigned();
    let mut second = first.taken_over(&ready);
    let orders = second.keeper.orders(second.now, HOLD);
    expect_that!(orders.len(), eq(table.len()));
    for (order, assigned) in orders.iter().zip(&table) {
        let expected = Order::Grant {
            range: assigned.range,
            fence: assigned.fence,
            hold: HOLD,
            handover: None,
        };
        expect_that!(order.order, eq(&expected));
        expect_that!(order.server, eq(&assigned.owner));
    }
}

#[gtest]
fn a_server_that_leaves_right_after_a_takeover_hands_over_without_delay() {
    let ready = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let mut first = Assigner::new(&ready);
    first.run(Millis(3000));
    let mut second = first.taken_over(&ready);
    second.run(Millis(500));
    let leaving = [server("a", ServerState::Draining), server("b", ServerState::Ready)];
    second.keeper.on_servers(second.now, leaving.iter());
    second.run(Millis(500));
    let routes = second.keeper.routes(second.now);
    for routed in &routes.0 {
        expect_that!(routed.holder, eq(&Holder::Server(life("b"))));
    }
}

#[gtest]
fn a_server_that_leaves_during_a_takeover_hands_over_without_delay() {
    let ready = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let leaving = [server("a", ServerState::Draining), server("b", ServerState::Ready)];
    let mut first = Assigner::new(&ready);
    first.run(Millis(3000));
    let mut second = first.taken_over(&leaving);
    second.run(Millis(500));
    let routes = second.keeper.routes(second.now);
    for routed in &routes.0 {
        expect_that!(routed.holder, eq(&Holder::Server(life("b"))));
    }
}

#[gtest]
fn an_owner_goes_on_being_asked_while_it_gets_a_new_fence() {
    let ready = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let mut first = Assigner::new(&ready);
    first.run(Millis(3000));
    let before = first.keeper.routes(first.now);
    let mut second = first.taken_over(&ready);
    for _ in 0..20 {
        second.step(HOLD);
        expect_that!(second.keeper.routes(second.now), eq(&before));
    }
}

#[gtest]
fn an_assigner_that_ends_while_owners_get_new_fences_costs_no_keys() {
    let ready = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let mut first = Assigner::new(&ready);
    first.run(Millis(3000));
    let before = first.keeper.routes(first.now);
    let mut second = first.taken_over(&ready);
    expect_that!(second.keeper.plan(second.now, 1, &mut second.fences), eq(true));
    // Its plan is stored, and it ends before it gives an order.
    let mut third = second.taken_over(&ready);
    expect_that!(third.keeper.routes(third.now), eq(&before));
    let orders = third.keeper.orders(third.now, HOLD);
    expect_that!(orders.iter().all(is_grant), eq(true));
    expect_that!(orders.len(), eq(2));
}
