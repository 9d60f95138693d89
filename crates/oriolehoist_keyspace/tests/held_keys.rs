//! Tests of noticing the servers that have got keys.

use {
    googletest::prelude::*,
    oriolehoist_keyspace::{HeldKeys, Holder, KeyRoutes, RoutedRange, ServerIncarnation},
    oriolehoist_port::KeyRange,
};

fn server(id: &str) -> ServerIncarnation {
    ServerIncarnation { id: id.into(), started_at: 7 }
}

fn routes(ranges: &[(u16, u16, Holder)]) -> KeyRoutes {
    let routed = |(first, last, holder): &(u16, u16, Holder)| RoutedRange {
        range: KeyRange { first: *first, last: *last },
        holder: holder.clone(),
    };
    KeyRoutes(ranges.iter().map(routed).collect())
}

#[gtest]
fn a_server_has_got_keys_if_it_serves_more_than_before() {
    let (a, b) = (Holder::Server(server("a")), Holder::Server(server("b")));
    let mut held = HeldKeys::default();
    let first = routes(&[(0, 99, a.clone()), (100, u16::MAX, Holder::Moving)]);
    expect_that!(held.update(&first), elements_are![eq(&server("a"))]);
    expect_that!(held.update(&first), is_empty());
    let moved = routes(&[(0, 49, a.clone()), (50, u16::MAX, b.clone())]);
    expect_that!(held.update(&moved), elements_are![eq(&server("b"))]);
    let lost = routes(&[(0, 49, a.clone()), (50, u16::MAX, Holder::Lost(100.into()))]);
    expect_that!(held.update(&lost), is_empty());
    expect_that!(held.update(&moved), elements_are![eq(&server("b"))]);
}
