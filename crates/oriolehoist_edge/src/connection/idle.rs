use {
    crate::connection::Link,
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
    },
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
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
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
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.entry(address).or_default().push(Idle { link, until });
    }

    /// Closes every connection.
    pub(crate) fn clear(&self) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}
