use {
    crate::{
        CallCounts, CallKind, CasRequest, Entry, Revision, StoreError, WatchRequest, WatchResponse,
    },
    oriolehoist_time::Millis,
    reqwest::{Client, Response, StatusCode},
    serde::de::DeserializeOwned,
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

/// Timeout for reads and writes.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum size of a response body, in bytes. A watch may return several values of a megabyte.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Client of the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    calls: Arc<CallCounts>,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written with this revision.
    Written(Revision),
    /// The entry has another revision; this is the entry, or `None` if it does not exist.
    Conflict(Option<Entry>),
}

impl Store {
    /// Creates a client that connects from the local address `source`, or from any if `source` is
    /// unspecified. It connects on the first call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Client`] if the HTTP client can't be built.
    pub fn new(source: IpAddr, address: SocketAddr) -> Result<Store, StoreError> {
        let client = Client::builder()
            .no_proxy()
            .local_address(Some(source).filter(|source| !source.is_unspecified()))
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(StoreError::Client)?;
        Ok(Store { client, address, calls: Arc::default() })
    }

    /// Returns the counters of the calls made through this client and its clones.
    pub fn calls(&self) -> &CallCounts {
        &self.calls
    }

    /// Reads one entry.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable response.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.calls.add(CallKind::Read);
        let response = self
            .client
            .get(self.url("kv"))
            .query(&[("key", key)])
            .timeout(CALL_TIMEOUT)
            .send()
            .await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => decode(response).await.map(Some),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    /// Writes `value` if the entry still has the revision `expected`.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable response. The write may have taken effect all the
    /// same, or take effect later. Check [`StoreError::may_have_taken_effect`], and read the entry
    /// before deciding how to proceed.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: impl Into<String>,
    ) -> Result<CasOutcome, StoreError> {
        self.calls.add(CallKind::Write);
        let request = CasRequest { key: key.into(), expected, value: value.into(), lease: None };
        let response =
            self.client.post(self.url("cas")).json(&request).timeout(CALL_TIMEOUT).send().await?;
        match response.status() {
            StatusCode::OK => decode(response).await.map(CasOutcome::Written),
            StatusCode::CONFLICT => decode(response).await.map(CasOutcome::Conflict),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    /// Waits until an entry under `prefix` is newer than `after`, or `wait` has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable response.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Vec<Entry>, StoreError> {
        self.calls.add(CallKind::Watch);
        let request = WatchRequest { prefix: prefix.into(), after, wait };
        let response = self
            .client
            .post(self.url("watch"))
            .json(&request)
            .timeout(Duration::from(wait) + CALL_TIMEOUT)
            .send()
            .await?;
        match response.status() {
            StatusCode::OK => decode::<WatchResponse>(response).await.map(|watch| watch.entries),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    fn url(&self, endpoint: &str) -> String {
        format!("http://{}/v1/{endpoint}", self.address)
    }
}

/// Reads the body of a response as JSON.
pub(crate) async fn decode<T: DeserializeOwned>(mut response: Response) -> Result<T, StoreError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(StoreError::Unknown)? {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(StoreError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).map_err(StoreError::Malformed)
}
