use {
    crate::{
        connection::{ClientConnection, ConnectionState},
        process::lock,
    },
    http::HeaderValue,
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    std::{collections::HashMap, net::SocketAddr, sync::Mutex},
};

/// Idle client connections, by the address of the peer.
#[derive(Debug, Default)]
pub(crate) struct IdlePool {
    connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: ClientConnection,
    expires_at: Millis,
}

impl IdlePool {
    /// Takes the most recently used connection that is still open, has no unread input and admits a
    /// request with this id, if there is one.
    ///
    /// If there are only connections that don't admit it, the one that expires first is closed: the
    /// connection that is opened in its place comes to the pool as well.
    pub(crate) fn take(
        &self,
        now: Millis,
        address: SocketAddr,
        id: Option<&HeaderValue>,
    ) -> Option<ClientConnection> {
        let mut connections = lock(&self.connections);
        let connections = connections.get_mut(&address)?;
        connections.retain(|entry| now < entry.expires_at);
        let admits = |entry: &IdleConnection| id.is_none_or(|id| entry.connection.admits(id));
        while let Some(index) = connections.iter().rposition(admits) {
            let IdleConnection { connection, .. } = connections.remove(index);
            match connection.state() {
                ConnectionState::Idle => return Some(connection),
                ConnectionState::Closed => {}
                ConnectionState::HasUnexpectedInput => {
                    let number = connection.number();
                    let text = format_args!("to={address} connection={number} skipped=0");
                    report(Event::ResponseUnexpected, text);
                }
            }
        }
        let first = (0..connections.len()).min_by_key(|index| connections[*index].expires_at);
        if let Some(first) = first {
            connections.remove(first);
        }
        None
    }

    /// Adds a connection, which expires at `expires_at`.
    pub(crate) fn put(
        &self,
        expires_at: Millis,
        address: SocketAddr,
        connection: ClientConnection,
    ) {
        let mut connections = lock(&self.connections);
        connections.entry(address).or_default().push(IdleConnection { connection, expires_at });
    }

    /// Closes the connections to an address that have received nothing since `since`.
    pub(crate) fn close_silent(&self, address: SocketAddr, since: Millis) {
        if let Some(connections) = lock(&self.connections).get_mut(&address) {
            connections.retain(|entry| entry.connection.received_at() > since);
        }
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        lock(&self.connections).clear();
    }
}
