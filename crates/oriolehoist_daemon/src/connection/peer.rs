use {
    crate::connection::{MAX_MESSAGE_BYTES, Pool, codec},
    derive_more::{Display, Error},
    oriolehoist_time::Millis,
    reqwest::{Response, StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// How many idle connections for control messages are kept to each process.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Why a message to another process got no usable response.
#[derive(Debug, Display, Error)]
pub(crate) enum PeerError {
    /// The process could not be reached or did not respond in time.
    #[display("no response: {_0}")]
    NoResponse(reqwest::Error),
    /// The process refused the message.
    #[display("refused with status {_0}")]
    #[error(ignore)]
    Refused(StatusCode),
    /// The response exceeds [`MAX_MESSAGE_BYTES`].
    #[display("the response exceeds {MAX_MESSAGE_BYTES} bytes")]
    TooLarge,
    /// The response could not be decoded.
    #[display("the response is malformed: {_0}")]
    Malformed(rmp_serde::decode::Error),
}

/// Sends control messages to daemons and backend servers.
#[derive(Debug)]
pub(crate) struct PeerClient {
    source: IpAddr,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

impl PeerClient {
    /// Creates a client that connects from `source`.
    pub(crate) fn new(source: IpAddr) -> PeerClient {
        PeerClient { source, pools: Mutex::default() }
    }

    /// Sends a message and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable response. After [`PeerError::NoResponse`], all connections to
    /// that process have been discarded, so that the next message opens a new one.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &impl Serialize,
        timeout: Millis,
    ) -> Result<T, PeerError> {
        let pool = self.pool(address);
        let pooled = pool.client();
        let sent = pooled
            .client
            .post(format!("http://{address}{path}"))
            .timeout(Duration::from(timeout))
            .body(codec::encode(message))
            .send()
            .await;
        let response = match sent {
            Ok(response) => read_body(response).await,
            Err(error) => Err(PeerError::NoResponse(error)),
        };
        if matches!(response, Err(PeerError::NoResponse(_))) {
            pool.retire(pooled.generation);
        }
        codec::decode(&response?).map_err(PeerError::Malformed)
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let pool = || Arc::new(Pool::new(self.source, MAX_IDLE_CONNECTIONS));
        Arc::clone(pools.entry(address).or_insert_with(pool))
    }
}

async fn read_body(mut response: Response) -> Result<Vec<u8>, PeerError> {
    if !response.status().is_success() {
        return Err(PeerError::Refused(response.status()));
    }
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(PeerError::NoResponse)? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(PeerError::TooLarge);
        }
    }
    Ok(body)
}
