use {
    crate::{connection::Link, process::lock},
    oriolehoist_time::Millis,
    std::{collections::HashMap, net::SocketAddr, sync::Mutex},
};

/// Open connections that wait for their next call, by the address of the other side.
#[derive(Debug, Default)]
pub(crate) struct IdleLinks {
    links: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    until: Millis,
}

impl IdleLinks {
    /// Takes the connection that was used last, if there is one on which nothing has come since.
    pub(crate) fn take(&self, now: Millis, address: SocketAddr) -> Option<Link> {
        let mut links = lock(&self.links);
        let links = links.get_mut(&address)?;
        links.retain(|idle| now < idle.until);
        while let Some(idle) = links.pop() {
            if idle.link.is_quiet() {
                return Some(idle.link);
            }
        }
        None
    }

    /// Keeps a connection until a moment.
    pub(crate) fn keep(&self, until: Millis, address: SocketAddr, link: Link) {
        let mut links = lock(&self.links);
        links.entry(address).or_default().push(Idle { link, until });
    }

    /// Closes every connection.
    pub(crate) fn clear(&self) {
        lock(&self.links).clear();
    }
}
