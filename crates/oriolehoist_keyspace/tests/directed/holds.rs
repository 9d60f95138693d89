//! Moves and losses: when an earlier owner has ended.

use {
    crate::support::*,
    googletest::prelude::*,
    oriolehoist_keyspace::{HOLD, Holder, OrderEnd, OrderToSend},
    oriolehoist_port::{Order, OrderAnswer, ServerState},
    oriolehoist_time::Millis,
};

#[gtest]
fn a_hold_is_counted_from_the_answer_by_the_slowest_clock() {
    let ready = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let mut assigner = Assigner::new(&ready);
    let mut last = START;
    for order in assigner.step(HOLD) {
        assigner.keeper.on_order_ended(assigner.now, order.flight, &done());
        last = assigner.now;
    }
    // No renewal follows: the server has left at once, and answers nothing.
    assigner.keeper.on_servers(last, ready[1..].iter());
    let mut given = None;
    while given.is_none() && assigner.now < last + Millis(10_000) {
        for order in assigner.step(HOLD) {
            let to_lost = order.server.id == "a";
            let took =
                !to_lost && matches!(order.order, Order::Grant { range, .. } if range.first == 0);
            if took {
                given = Some(assigner.now);
            }
            let end = if to_lost { OrderEnd::Unsent } else { done() };
            assigner.keeper.on_order_ended(assigner.now, order.flight, &end);
        }
    }
    expect_that!(given, some(ge(last + Millis(HOLD.0 * 102 / 100))));
    expect_that!(given, some(lt(last + HOLD + Millis(400))));
}

#[gtest]
fn a_planned_move_takes_the_handover_along() {
    let servers = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let mut assigner = Assigner::new(&servers);
    assigner.run(Millis(1000));
    let leaving = [server("a", ServerState::Draining), server("b", ServerState::Ready)];
    assigner.keeper.on_servers(assigner.now, leaving.iter());
    let orders = assigner.run(Millis(200));
    let handed = orders.iter().any(|order| {
        order.server.id == "b"
            && matches!(&order.order, Order::Grant { handover: Some(text), .. } if text == "handover")
    });
    expect_that!(handed, eq(true));
    let routes = assigner.keeper.routes(assigner.now);
    for routed in &routes.0 {
        expect_that!(routed.holder, eq(&Holder::Server(life("b"))));
    }
}

#[gtest]
fn keys_of_a_server_whose_address_another_has_are_given_away_at_once() {
    let servers = ["a", "b"].map(|id| server(id, ServerState::Ready));
    let mut assigner = Assigner::new(&servers);
    assigner.run(Millis(1000));
    let end = assigner.now + Millis(1500);
    let mut given = None;
    while given.is_none() && assigner.now < end {
        for order in assigner.step(HOLD) {
            let refused = OrderEnd::Answered(OrderAnswer::Refused(400));
            let replaced = order.server.id == "a";
            let takes = matches!(order.order, Order::Grant { range, .. } if range.first == 0);
            if takes && !replaced {
                given = Some(assigner.now);
            }
            let end = if replaced { refused } else { done() };
            assigner.keeper.on_order_ended(assigner.now, order.flight, &end);
        }
    }
    // The next renewal is due after half a second, well before the hold has lapsed.
    expect_that!(given, some(lt(Millis(end.0 - 800))));
    let routes = assigner.keeper.routes(end);
    expect_that!(
        routes.0.iter().all(|routed| routed.holder != Holder::Server(life("a"))),
        eq(true)
    );
}

/// Lets server `a` fall silent after `calm`, and returns how many keys had no new owner 2 s later.
fn keys_without_owner_after_a_loss(calm: Millis) -> u32 {
    let ready = [server("a", ServerState::Ready), server("b", ServerState::Ready)];
    let mut assigner = Assigner::new(&ready);
    assigner.run(calm);
    let owned = assigner.keeper.assigned();
    let lost = owned.iter().filter(|assigned| assigned.owner == life("a"));
    let mut left: u32 = lost.map(|assigned| assigned.range.count()).sum();
    let end = assigner.now + Millis(2000);
    let mut unanswered: Vec<(Millis, OrderToSend)> = Vec::new();
    while assigner.now < end {
        for order in assigner.step(HOLD) {
            if order.server.id == "a" {
                unanswered.push((assigner.now + order.timeout, order));
                continue;
            }
            if let Order::Grant { range, .. } = order.order
                && owned.iter().any(|assigned| {
                    assigned.owner == life("a") && assigned.range.contains(range.first)
                })
                && assigner.keeper.routes(assigner.now).holder(range.first)
                    != Some(&Holder::Server(life("b")))
            {
                left -= range.count();
            }
            assigner.keeper.on_order_ended(assigner.now, order.flight, &done());
        }
        let now = assigner.now;
        for (_, order) in unanswered.extract_if(.., |(ends, _)| *ends <= now) {
            assigner.keeper.on_order_ended(now, order.flight, &OrderEnd::Unanswered);
        }
    }
    left
}

/// Plays the loss of a server that holds half of the keys, at every moment between two renewals.
#[gtest]
fn keys_of_a_server_that_falls_silent_have_an_owner_again_within_two_seconds() {
    for after in (0..=600).step_by(20) {
        let left = keys_without_owner_after_a_loss(Millis(2000 + after));
        // The one key whose renewal went ahead may be held for longer.
        expect_that!(left, le(1), "lost {after} ms later");
    }
}
