use {
    reqwest::Method,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

/// An HTTP client that sends requests to the daemons of a deployment.
pub struct Client {
    http: reqwest::Client,
    host: String,
    ids: AtomicU64,
    name: String,
}

/// The response to one request.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The id of the request.
    pub id: String,
    /// The status code; `None` if the connection failed or the response was incomplete.
    pub status: Option<u16>,
    /// The `retry-after` header, in seconds.
    pub retry_after: Option<f64>,
    /// The body.
    pub body: String,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The time from sending the request until the end of the response.
    pub latency: Duration,
}

impl Client {
    /// Creates a client for a host. The ids of its requests start with `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(host: &str, name: &str) -> eyre::Result<Client> {
        let http = reqwest::Client::builder().no_proxy().retry(reqwest::retry::never()).build()?;
        Ok(Client { http, host: host.into(), ids: AtomicU64::new(1), name: name.into() })
    }

    /// Sends one request to a daemon, without retries.
    pub async fn send(
        &self,
        daemon: SocketAddr,
        method: Method,
        path: &str,
        key: Option<u16>,
        deadline: Duration,
    ) -> ClientResponse {
        let id = format!("{}-{}", self.name, self.ids.fetch_add(1, Ordering::Relaxed));
        let sent_at = Instant::now();
        let mut request = self
            .http
            .request(method, format!("http://{daemon}{path}"))
            .header("host", &self.host)
            .header("x-request-id", &id)
            .header("x-deadline-ms", deadline.as_millis().to_string())
            .timeout(deadline);
        if let Some(key) = key {
            request = request.header("x-shard-key", key.to_string());
        }
        let mut response = ClientResponse {
            id,
            status: None,
            retry_after: None,
            body: String::new(),
            sent_at,
            latency: Duration::ZERO,
        };
        if let Ok(http_response) = request.send().await {
            response.status = Some(http_response.status().as_u16());
            let after =
                http_response.headers().get("retry-after").and_then(|value| value.to_str().ok());
            response.retry_after = after.and_then(|after| after.parse().ok());
            match http_response.text().await {
                Ok(body) => response.body = body,
                Err(_) => response.status = None,
            }
        }
        response.latency = sent_at.elapsed();
        response
    }
}

impl ClientResponse {
    /// Returns whether the request was served, with a response that names its id.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.body.contains(&format!(" {} ", self.id))
    }
}
