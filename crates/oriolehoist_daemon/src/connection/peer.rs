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

/// How many idle connections are kept to another process for control.
const MAX_IDLE: usize = 2;

/// Why a message to another process got no answer.
#[derive(Debug, Display, Error)]
pub(crate) enum PeerError {
    /// No answer came.
    #[display("no answer: {_0}")]
    Unanswered(reqwest::Error),
    /// The other process refused the message.
    #[display("refused with status {_0}")]
    #[error(ignore)]
    Refused(StatusCode),
    /// The answer was too large.
    #[display("the answer is too large")]
    TooLarge,
    /// The answer could not be understood.
    #[display("the answer is malformed: {_0}")]
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

    /// Sends a message and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns why there is none. The connections to that process have then been given up, so
    /// that the next message uses a new one.
    pub(crate) async fn ask<T: DeserializeOwned>(
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
        let answer = match sent {
            Ok(answer) => read(answer).await,
            Err(error) => Err(PeerError::Unanswered(error)),
        };
        if matches!(answer, Err(PeerError::Unanswered(_))) {
            pool.retire(pooled.generation);
        }
        codec::decode(&answer?).map_err(PeerError::Malformed)
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let pool = || Arc::new(Pool::new(self.source, MAX_IDLE));
        Arc::clone(pools.entry(address).or_insert_with(pool))
    }
}

async fn read(mut answer: Response) -> Result<Vec<u8>, PeerError> {
    if !answer.status().is_success() {
        return Err(PeerError::Refused(answer.status()));
    }
    let mut body = Vec::new();
    while let Some(chunk) = answer.chunk().await.map_err(PeerError::Unanswered)? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(PeerError::TooLarge);
        }
    }
    Ok(body)
}
