use {
    crate::{
        lock::lock,
        users_platform::{Deployment, deployment::INTERNAL_PORTS},
    },
    std::{
        collections::HashSet,
        fs,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::UdpSocket, task::JoinSet},
};

/// The port at which the daemons exchange datagrams.
const DATAGRAM_PORT: u16 = 7721;
/// The ports of a daemon behind a proxy. It sends its datagrams to the second one of each other daemon.
const PROXIED_PORTS: &str = "internal_ports = [7740, 7755]";
const PROXIED_DATAGRAM_PORT: u16 = 7741;
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A proxy for all datagrams between one daemon and the others, until it is dropped.
pub struct DatagramProxy {
    cut_off: Arc<Mutex<HashSet<IpAddr>>>,
    _tasks: JoinSet<()>,
}

impl DatagramProxy {
    /// Drops all datagrams to and from a daemon at this address from now on.
    pub fn cut_off_from(&self, other: IpAddr) {
        lock(&self.cut_off).insert(other);
    }
}

impl Deployment {
    /// Restarts a daemon behind a proxy for datagrams, and waits until it is ready. Its metrics are at another
    /// port then, and no requests are handed over to it.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken, or the daemon is not ready in time.
    pub async fn restart_behind_datagram_proxy(
        &mut self,
        index: usize,
    ) -> eyre::Result<DatagramProxy> {
        let daemon = &mut self.daemons[index];
        daemon.kill();
        let settings = fs::read_to_string(&daemon.settings_file)?;
        fs::write(&daemon.settings_file, settings.replace(INTERNAL_PORTS, PROXIED_PORTS))?;
        let ip = daemon.peer_address.ip();
        let outside = Arc::new(UdpSocket::bind(SocketAddr::new(ip, DATAGRAM_PORT)).await?);
        let target = SocketAddr::new(ip, PROXIED_DATAGRAM_PORT);
        let cut_off: Arc<Mutex<HashSet<IpAddr>>> = Arc::default();
        let mut tasks = JoinSet::new();
        let mut inside = Vec::new();
        let others = self.daemons.iter().map(|daemon| daemon.peer_address.ip());
        for other in others.filter(|other| *other != ip) {
            let socket = SocketAddr::new(other, PROXIED_DATAGRAM_PORT);
            let socket = Arc::new(UdpSocket::bind(socket).await?);
            inside.push((other, Arc::clone(&socket)));
            let (outside, cut_off) = (Arc::clone(&outside), Arc::clone(&cut_off));
            tasks.spawn(async move {
                let mut buf = [0; MAX_DATAGRAM_BYTES];
                let to = SocketAddr::new(other, DATAGRAM_PORT);
                loop {
                    // Receiving fails if an earlier datagram found no listener.
                    let Ok(length) = socket.recv(&mut buf).await else { continue };
                    if !lock(&cut_off).contains(&other) {
                        let _ = outside.send_to(&buf[..length], to).await;
                    }
                }
            });
        }
        let cut_off_by = Arc::clone(&cut_off);
        tasks.spawn(async move {
            let mut buf = [0; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((length, from)) = outside.recv_from(&mut buf).await else { continue };
                let socket = inside.iter().find(|(other, _)| *other == from.ip());
                if let Some((other, socket)) = socket
                    && !lock(&cut_off_by).contains(other)
                {
                    let _ = socket.send_to(&buf[..length], target).await;
                }
            }
        });
        let daemon = &mut self.daemons[index];
        daemon.start()?;
        daemon.wait_until_ready(Duration::from_secs(12)).await?;
        Ok(DatagramProxy { cut_off, _tasks: tasks })
    }
}
