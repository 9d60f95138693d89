use {
    reqwest::Method,
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::{Duration, Instant},
    },
};

/// A caller.
pub struct Client {
    http: reqwest::Client,
    host: String,
    ids: AtomicU64,
    name: String,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The id of the request.
    pub id: String,
    /// The status; `None` if the connection failed.
    pub status: Option<u16>,
    /// When to come back.
    pub retry_after: Option<f64>,
    /// The body.
    pub body: String,
    /// When it was asked, and how long it took.
    pub asked: Instant,
    /// How long it took.
    pub took: Duration,
}

impl Client {
    /// Creates a caller for a host; `name` begins the ids of its requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new(host: &str, name: &str) -> eyre::Result<Client> {
        let http = reqwest::Client::builder().no_proxy().retry(reqwest::retry::never()).build()?;
        Ok(Client { http, host: host.into(), ids: AtomicU64::new(1), name: name.into() })
    }

    /// Asks a daemon once.
    pub async fn ask(
        &self,
        daemon: SocketAddr,
        method: Method,
        path: &str,
        key: Option<u16>,
        deadline: Duration,
    ) -> Reply {
        let id = format!("{}-{}", self.name, self.ids.fetch_add(1, Ordering::Relaxed));
        let asked = Instant::now();
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
        let mut reply = Reply {
            id,
            status: None,
            retry_after: None,
            body: String::new(),
            asked,
            took: Duration::ZERO,
        };
        if let Ok(answer) = request.send().await {
            reply.status = Some(answer.status().as_u16());
            let after = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
            reply.retry_after = after.and_then(|after| after.parse().ok());
            match answer.text().await {
                Ok(body) => reply.body = body,
                Err(_) => reply.status = None,
            }
        }
        reply.took = asked.elapsed();
        reply
    }
}

impl Reply {
    /// Returns whether it was served with its own answer.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.body.contains(&format!(" {} ", self.id))
    }
}
