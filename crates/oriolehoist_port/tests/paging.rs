//! Lists that are read in pages, from stores that may return any pages.

use {
    googletest::prelude::*,
    oriolehoist_port::{Coverage, Item, NextPage, Paging, Revision, StoreRequest},
};

fn items(keys: &[&str]) -> Vec<Item> {
    let item = |key: &&str| Item {
        key: (*key).to_owned(),
        value: bytes::Bytes::new(),
        revision: Revision(1),
    };
    keys.iter().map(item).collect()
}

fn up_to(key: &str) -> NextPage {
    NextPage::None(Coverage::UpTo(key.to_owned()))
}

#[gtest]
fn the_next_page_begins_after_the_greatest_key() {
    let mut paging = Paging::new("p/");
    let request = |after: Option<&str>| StoreRequest::List {
        prefix: "p/".into(),
        after: after.map(String::from),
    };
    expect_that!(paging.request(), eq(&request(None)));
    expect_that!(paging.on_page(&items(&["p/a", "p/c", "p/b"]), true), eq(&NextPage::More));
    expect_that!(paging.request(), eq(&request(Some("p/c"))));
    let end = paging.on_page(&items(&["p/d"]), false);
    expect_that!(end, eq(&NextPage::None(Coverage::Complete)));
}

/// Guards against a list without end.
#[gtest]
fn a_page_without_items_behind_the_one_before_ends_the_list() {
    for repeated in [&["p/a", "p/b"][..], &["p/b"], &["p/a"], &[]] {
        let mut paging = Paging::new("p/");
        expect_that!(paging.on_page(&items(&["p/a", "p/b"]), true), eq(&NextPage::More));
        expect_that!(paging.on_page(&items(repeated), true), eq(&up_to("p/b")), "{repeated:?}");
    }
    expect_that!(Paging::new("p/").on_page(&[], true), eq(&up_to("")));
}

#[gtest]
fn an_incomplete_list_includes_the_keys_up_to_the_last_one() {
    let coverage = Coverage::UpTo("p/b".into());
    expect_that!(
        ["p/a", "p/b", "p/ba", "p/c"].map(|key| coverage.includes(key)),
        eq([true, true, false, false])
    );
    expect_that!(Coverage::Complete.includes("p/c"), eq(true));
}
