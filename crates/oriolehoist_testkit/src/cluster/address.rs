use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

/// A range of loopback addresses that one cluster has to itself.
///
/// Every process has an address of its own, so that faults can tell who connects.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    second: u8,
    third: u8,
}

static NEXT: AtomicU8 = AtomicU8::new(0);

impl Addresses {
    /// Draws a range that no other cluster of this test run uses.
    pub(super) fn draw() -> Addresses {
        let second = 16 + u8::try_from(std::process::id() % 200).unwrap_or(0);
        Addresses { second, third: NEXT.fetch_add(1, Ordering::Relaxed) }
    }

    pub(super) fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last))
    }

    pub(super) fn store(&self) -> SocketAddr {
        (self.ip(1), 7000).into()
    }

    pub(super) fn store_edge(&self) -> SocketAddr {
        (self.ip(2), 7000).into()
    }

    pub(super) fn board(&self) -> SocketAddr {
        (self.ip(1), 7100).into()
    }

    pub(super) fn board_edge(&self) -> SocketAddr {
        (self.ip(2), 7100).into()
    }

    pub(super) fn server(&self, index: usize) -> SocketAddr {
        (self.ip(3), port(10_000, index)).into()
    }

    pub(super) fn server_edge(&self, index: usize) -> SocketAddr {
        (self.ip(4), port(10_000, index)).into()
    }

    pub(super) fn daemon_ip(&self, index: usize) -> IpAddr {
        self.ip(10 + u8::try_from(index).unwrap_or(u8::MAX - 10))
    }

    pub(super) fn callers(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 8000).into()
    }

    pub(super) fn peers(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 8001).into()
    }

    pub(super) fn advertised_address(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 9001).into()
    }

    pub(super) fn operators(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 8002).into()
    }
}

fn port(base: u16, index: usize) -> u16 {
    base + u16::try_from(index).unwrap_or(0)
}
