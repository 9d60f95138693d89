use {
    crate::users_platform::{
        Deployment, ResponseFault, deployment::PROXY_PORT, raw_server::REPEATS_PER_WRITE,
        server_edge,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::AbortHandle,
        time::sleep,
    },
};

/// A request, order or health check that has reached a [`ScriptedServer`].
#[derive(Clone, Debug)]
pub struct ScriptedCall {
    /// The number of the connection, which no other connection of the server has.
    pub connection: u64,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The id of the request, if it carries one.
    pub id: Option<String>,
    /// The request line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl ScriptedCall {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// What a [`ScriptedServer`] does with a call.
#[derive(Clone, Debug, Default)]
pub struct ScriptedReply {
    /// What is sent as soon as the call has arrived.
    pub before: Vec<u8>,
    /// The time until the rest is sent.
    pub delay: Duration,
    /// What is sent then.
    pub bytes: Vec<u8>,
    /// What is sent after that without end, if anything.
    pub repeated: Vec<u8>,
    /// What becomes of the connection after that.
    pub end: ScriptedEnd,
}

impl ScriptedReply {
    /// Returns a reply to a request with this id that has no end, or a refusal if the fault has one.
    pub fn endless(fault: ResponseFault, id: &str) -> ScriptedReply {
        match fault.endless(id) {
            Some((start, repeated)) => ScriptedReply {
                bytes: start.into_bytes(),
                repeated: repeated.repeat(REPEATS_PER_WRITE).into_bytes(),
                ..ScriptedReply::default()
            },
            None => ScriptedReply { bytes: raw_response(500, &[], ""), ..ScriptedReply::default() },
        }
    }
}

/// What becomes of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ScriptedEnd {
    /// It is kept for the next call.
    #[default]
    Keep,
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
}

/// A backend server whose responses are the bytes that a test chooses.
pub struct ScriptedServer {
    /// The address at which it listens.
    pub address: SocketAddr,
    task: AbortHandle,
}

type Script = Arc<dyn Fn(&ScriptedCall) -> ScriptedReply + Send + Sync>;

impl ScriptedServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken.
    pub async fn start(
        address: SocketAddr,
        script: impl Fn(&ScriptedCall) -> ScriptedReply + Send + Sync + 'static,
    ) -> eyre::Result<ScriptedServer> {
        let listener = TcpListener::bind(address).await?;
        let (address, script): (_, Script) = (listener.local_addr()?, Arc::new(script));
        let task = tokio::spawn(async move {
            let mut connections = 0;
            while let Ok((tcp, _)) = listener.accept().await {
                connections += 1;
                let (connection, script) = (connections, Arc::clone(&script));
                // A failed connection ends only its own task.
                tokio::spawn(
                    async move { serve(tcp, connection, script).await.unwrap_or_default() },
                );
            }
        });
        Ok(ScriptedServer { address, task: task.abort_handle() })
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Deployment {
    /// Starts a server whose responses are chosen by `script`, and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if its address is taken.
    pub async fn add_scripted_server(
        &self,
        index: u8,
        service: &str,
        script: impl Fn(&ScriptedCall) -> ScriptedReply + Send + Sync + 'static,
    ) -> eyre::Result<ScriptedServer> {
        let server = ScriptedServer::start(self.server_address(index), script).await?;
        self.register_address(index, service);
        Ok(server)
    }

    /// Starts such a server, and registers it at the address of a proxy in front of it. Returns the name
    /// of that edge of the network, too.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken.
    pub async fn add_scripted_server_behind_proxy(
        &self,
        index: u8,
        service: &str,
        script: impl Fn(&ScriptedCall) -> ScriptedReply + Send + Sync + 'static,
    ) -> eyre::Result<(ScriptedServer, String)> {
        let address = self.server_address(index);
        let server = ScriptedServer::start(address, script).await?;
        let edge = server_edge(index);
        let proxy = SocketAddr::new(address.ip(), PROXY_PORT);
        self.network.add_edge(&edge, proxy, address).await?;
        self.register_address_at(index, proxy, service);
        Ok((server, edge))
    }
}

async fn serve(mut tcp: TcpStream, connection: u64, script: Script) -> std::io::Result<()> {
    let mut buf = Vec::new();
    while let Some(call) = read_call(&mut tcp, &mut buf, connection).await? {
        let reply = script(&call);
        tcp.write_all(&reply.before).await?;
        sleep(reply.delay).await;
        tcp.write_all(&reply.bytes).await?;
        while !reply.repeated.is_empty() {
            tcp.write_all(&reply.repeated).await?;
        }
        match reply.end {
            ScriptedEnd::Keep => {}
            ScriptedEnd::Close => return tcp.shutdown().await,
            ScriptedEnd::Reset => return tcp.set_zero_linger(),
        }
    }
    Ok(())
}

/// Reads the next call. Returns `None` at the end of the connection.
async fn read_call(
    tcp: &mut TcpStream,
    buf: &mut Vec<u8>,
    connection: u64,
) -> std::io::Result<Option<ScriptedCall>> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|length| length.parse().ok());
            let length: usize = length.unwrap_or(0);
            if buf.len() >= end + 4 + length {
                let mut words = head.split(' ').map(str::to_owned);
                let (method, path) = (words.next(), words.next());
                let id = header(&head, "x-request-id").map(str::to_owned);
                let body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                return Ok(Some(ScriptedCall {
                    connection,
                    method: method.unwrap_or_default(),
                    path: path.unwrap_or_default(),
                    id,
                    head,
                    body,
                }));
            }
        }
        match tcp.read(&mut chunk).await? {
            0 => return Ok(None),
            read => buf.extend_from_slice(&chunk[..read]),
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|line| line.0.eq_ignore_ascii_case(name)).map(|line| line.1.trim())
}

/// Returns a response with these headers and a body of this length.
pub fn raw_response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let headers: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {length}\r\n\r\n{body}")
        .into_bytes()
}
