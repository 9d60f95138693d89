use {
    crate::{lock::lock, users_platform::Deployment},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        task::AbortHandle,
        time::sleep,
    },
};

/// How a [`ProbedServer`] answers.
#[derive(Clone, Debug)]
pub struct ProbedBehaviour {
    /// How long a request runs.
    pub service_time: Duration,
    /// The fourth number in the load header, if the server sends it.
    pub work_percent: Option<u16>,
    /// How long a health check waits for its response.
    pub health_delay: Duration,
    /// When a second response to a health check follows the first one, if one does.
    pub extra_response: Option<Duration>,
    /// The id of the server in responses to health checks, if it is that of another one.
    pub health_id: Option<String>,
    /// Whether responses to health checks carry the id of a request.
    pub names_request: bool,
    /// The status line of an invalid response whose body is the whole response to a health check, if
    /// health checks get one.
    pub invalid_health_status: Option<&'static str>,
    /// Whether requests are refused as not run, without naming them.
    pub refuses_requests: bool,
}

impl Default for ProbedBehaviour {
    fn default() -> ProbedBehaviour {
        ProbedBehaviour {
            service_time: Duration::from_millis(20),
            work_percent: Some(100),
            health_delay: Duration::ZERO,
            extra_response: None,
            health_id: None,
            names_request: false,
            invalid_health_status: None,
            refuses_requests: false,
        }
    }
}

/// What has reached a [`ProbedServer`].
#[derive(Clone, Debug, Default)]
pub struct ProbedArrivals {
    /// The number of connections.
    pub connections: usize,
    /// The number of health checks.
    pub health_checks: usize,
    /// How often each request ran, by its id.
    pub runs: HashMap<String, u32>,
    /// How many messages arrived on a connection before the one before them was answered.
    pub pipelined: usize,
}

/// A backend server without keys that reports its load in responses to health checks, and builds its
/// responses as raw bytes.
pub struct ProbedServer {
    arrivals: Arc<Mutex<ProbedArrivals>>,
    task: AbortHandle,
}

struct Connection {
    id: String,
    behaviour: ProbedBehaviour,
    arrivals: Arc<Mutex<ProbedArrivals>>,
    rx: OwnedReadHalf,
    tx: Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
}

impl ProbedServer {
    /// Starts a server with this id.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken.
    pub async fn start(
        id: &str,
        address: SocketAddr,
        behaviour: ProbedBehaviour,
    ) -> eyre::Result<ProbedServer> {
        let listener = TcpListener::bind(address).await?;
        let arrivals: Arc<Mutex<ProbedArrivals>> = Arc::default();
        let (id, collected) = (id.to_owned(), Arc::clone(&arrivals));
        let task = tokio::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                lock(&collected).connections += 1;
                let connection =
                    Connection::new(&id, behaviour.clone(), Arc::clone(&collected), tcp);
                // A failed connection ends only its own task.
                tokio::spawn(async move { connection.serve().await.unwrap_or_default() });
            }
        });
        Ok(ProbedServer { arrivals, task: task.abort_handle() })
    }

    /// Returns what has reached the server.
    pub fn arrivals(&self) -> ProbedArrivals {
        lock(&self.arrivals).clone()
    }
}

impl Deployment {
    /// Starts a server of `plain` that reports its load in responses to health checks, and registers
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if its address is taken.
    pub async fn add_probed_server(
        &self,
        index: u8,
        behaviour: ProbedBehaviour,
    ) -> eyre::Result<ProbedServer> {
        let (id, address) = (format!("i-{index}"), self.server_address(index));
        let server = ProbedServer::start(&id, address, behaviour).await?;
        self.register_address(index, "plain");
        Ok(server)
    }

    /// Removes the registration of a server that a test runs itself.
    pub fn unregister_address(&self, index: u8) {
        self.store.remove(&format!("servers/i-{index}"));
    }
}

impl Drop for ProbedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    fn new(
        id: &str,
        behaviour: ProbedBehaviour,
        arrivals: Arc<Mutex<ProbedArrivals>>,
        tcp: TcpStream,
    ) -> Connection {
        let (rx, tx) = tcp.into_split();
        let tx = Arc::new(tokio::sync::Mutex::new(tx));
        Connection { id: id.to_owned(), behaviour, arrivals, rx, tx }
    }

    async fn serve(mut self) -> std::io::Result<()> {
        let mut buf = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let end = loop {
                if let Some(end) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                    break end + 4;
                }
                match self.rx.read(&mut chunk).await? {
                    0 => return Ok(()),
                    read => buf.extend_from_slice(&chunk[..read]),
                }
            };
            let head: Vec<u8> = buf.drain(..end).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            match head.starts_with("GET /health") {
                true => self.answer_health_check().await?,
                false => self.answer_request(&head).await?,
            }
        }
    }

    /// Records whether something arrived before the last message was answered. The connection is
    /// useless then.
    fn check_pipelining(&mut self) -> std::io::Result<()> {
        match self.rx.try_read(&mut [0; 1]) {
            Ok(read) if read > 0 => {
                lock(&self.arrivals).pipelined += 1;
                Err(std::io::ErrorKind::InvalidData.into())
            }
            _ => Ok(()),
        }
    }

    async fn answer_health_check(&mut self) -> std::io::Result<()> {
        lock(&self.arrivals).health_checks += 1;
        sleep(self.behaviour.health_delay).await;
        let id = self.behaviour.health_id.clone().unwrap_or_else(|| self.id.clone());
        let named = if self.behaviour.names_request { "x-request-id: another\r\n" } else { "" };
        let response = self.response("200 OK", &id, named, "");
        let response = match self.behaviour.invalid_health_status {
            Some(status) => self.response(status, &id, named, &response),
            None => response,
        };
        self.check_pipelining()?;
        self.write(&response).await?;
        if let Some(delay) = self.behaviour.extra_response {
            let tx = Arc::clone(&self.tx);
            tokio::spawn(async move {
                sleep(delay).await;
                // The connection may have been closed.
                let _ = tx.lock().await.write_all(response.as_bytes()).await;
            });
        }
        Ok(())
    }

    async fn answer_request(&mut self, head: &str) -> std::io::Result<()> {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        let id = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
        let id = id.map(|(_, id)| id.trim().to_owned()).unwrap_or_default();
        if self.behaviour.refuses_requests {
            let not_run = "x-not-executed: 1\r\n";
            let response = self.response("503 Service Unavailable", &self.id, not_run, "");
            return self.write(&response).await;
        }
        *lock(&self.arrivals).runs.entry(id.clone()).or_default() += 1;
        sleep(self.behaviour.service_time).await;
        self.check_pipelining()?;
        let named = format!("x-request-id: {id}\r\nx-response-signature: sig\r\n");
        let body = format!("probed {id} whole");
        let response = self.response("200 OK", &self.id, &named, &body);
        self.write(&response).await
    }

    fn response(&self, status: &str, id: &str, headers: &str, body: &str) -> String {
        let percent = self.behaviour.work_percent;
        let load = percent.map_or("1,0,6".to_owned(), |percent| format!("1,0,6,{percent}"));
        format!(
            "HTTP/1.1 {status}\r\nx-instance-id: {id}\r\nx-server-load: {load}\r\n{headers}\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    async fn write(&self, response: &str) -> std::io::Result<()> {
        self.tx.lock().await.write_all(response.as_bytes()).await
    }
}
