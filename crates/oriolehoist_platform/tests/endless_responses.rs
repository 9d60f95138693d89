//! Tests of calls to a platform whose responses have no end.

use {
    googletest::prelude::*,
    oriolehoist_platform::{CallCounts, InstanceList, Revision, Store},
    oriolehoist_time::Millis,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const MAX_SENT_BYTES: u64 = 40 << 20;

/// Starts a platform that sends a start and then the same bytes without end to each call. Returns its
/// address and how many bytes it has sent.
async fn endless_platform(
    start: &'static str,
    repeated: String,
) -> eyre::Result<(SocketAddr, Arc<AtomicU64>)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let (address, sent) = (listener.local_addr()?, Arc::new(AtomicU64::new(0)));
    let counter = Arc::clone(&sent);
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let (counter, repeated) = (Arc::clone(&counter), repeated.clone());
            tokio::spawn(async move {
                // The calls of these tests fit into one read.
                let mut buf = [0; 4096];
                let _ = tcp.read(&mut buf).await;
                let _ = tcp.write_all(start.as_bytes()).await;
                while tcp.write_all(repeated.as_bytes()).await.is_ok() {
                    counter.fetch_add(repeated.len() as u64, Ordering::Relaxed);
                }
            });
        }
    });
    Ok((address, sent))
}

async fn check(start: &'static str, repeated: &str) -> eyre::Result<()> {
    let local = Ipv4Addr::LOCALHOST.into();
    let (address, sent) = endless_platform(start, repeated.repeat(64)).await?;
    let (store, list) = (Store::new(local, address)?, InstanceList::new(local, address)?);
    let mut sent_before = 0;
    let mut expect_bounded = |call: &str, failed: bool| {
        let total = sent.load(Ordering::Relaxed);
        let received = total - sent_before;
        sent_before = total;
        println!("{call}: {} KB sent", received >> 10);
        expect_that!(failed, eq(true), "{call}");
        expect_that!(received, lt(MAX_SENT_BYTES), "{call}");
    };
    expect_bounded("get", store.get("key").await.is_err());
    let written = store.compare_and_swap("key", Revision::ABSENT, "value").await;
    expect_bounded("compare_and_swap", written.is_err());
    let watched = store.watch("key", Revision::ABSENT, Millis(200)).await;
    expect_bounded("watch", watched.is_err());
    expect_bounded("list", list.read(&CallCounts::default()).await.is_err());
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_is_given_up() -> eyre::Result<()> {
    let piece = "x".repeat(1024);
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    check(chunked, &format!("400\r\n{piece}\r\n")).await?;
    check("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", &piece).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_is_given_up() -> eyre::Result<()> {
    let piece = "x".repeat(1024);
    check("HTTP/1.1 200 OK\r\n", &format!("x-more: {piece}\r\n")).await
}
