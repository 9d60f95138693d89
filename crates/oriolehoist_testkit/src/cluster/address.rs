use {
    crate::loopback::reserve_range,
    std::{
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
};

/// A range of loopback addresses that is reserved for one cluster.
///
/// Every process has its own address, so that faults can be limited to the connections of one
/// process. Addresses named `edge` belong to the fault-injecting proxies in front of processes.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddressRange {
    second_octet: u8,
    third_octet: u8,
}

impl AddressRange {
    /// Allocates a range that no other test uses.
    ///
    /// # Errors
    ///
    /// Returns an error if no range is free.
    pub(super) fn allocate() -> io::Result<AddressRange> {
        let [second_octet, third_octet] = reserve_range()?;
        Ok(AddressRange { second_octet, third_octet })
    }

    pub(super) fn ip(&self, last_octet: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, last_octet))
    }

    pub(super) fn store(&self) -> SocketAddr {
        (self.ip(1), 7000).into()
    }

    pub(super) fn store_edge(&self) -> SocketAddr {
        (self.ip(2), 7000).into()
    }

    pub(super) fn instance_list(&self) -> SocketAddr {
        (self.ip(1), 7100).into()
    }

    pub(super) fn instance_list_edge(&self) -> SocketAddr {
        (self.ip(2), 7100).into()
    }

    pub(super) fn server(&self, index: usize) -> SocketAddr {
        (self.ip(3), port_at(10_000, index)).into()
    }

    pub(super) fn server_edge(&self, index: usize) -> SocketAddr {
        (self.ip(4), port_at(10_000, index)).into()
    }

    /// The address of a daemon's listeners, and the local address of its outgoing connections.
    pub(super) fn daemon_ip(&self, index: usize) -> IpAddr {
        self.ip(10 + u8::try_from(index).unwrap_or(u8::MAX - 10))
    }

    /// The address at which a daemon listens for callers.
    pub(super) fn caller(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 8000).into()
    }

    /// The address at which a daemon listens for other daemons.
    pub(super) fn peer(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 8001).into()
    }

    /// The address of the proxy in front of a daemon, which the daemon advertises to its peers.
    pub(super) fn advertised(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 9001).into()
    }

    /// The address at which a daemon listens for operators.
    pub(super) fn operator(&self, index: usize) -> SocketAddr {
        (self.daemon_ip(index), 8002).into()
    }
}

fn port_at(base: u16, index: usize) -> u16 {
    base + u16::try_from(index).unwrap_or(0)
}
