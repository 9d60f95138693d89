use {
    crate::{
        CallCounts, CallKind, CasRequest, Entry, Revision, StoreError, WatchAnswer, WatchRequest,
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

/// The longest wait for an answer to a read or a write.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A client of the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    calls: Arc<CallCounts>,
}

/// How a compare-and-swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written with this revision.
    Written(Revision),
    /// The entry had another revision; this is what it holds, or `None` if it does not exist.
    Conflict(Option<Entry>),
}

impl Store {
    /// Creates a client that connects from `source`, on its first call.
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
    /// Returns why there was no answer.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.calls.add(CallKind::Read);
        let answer = self
            .client
            .get(self.url("kv"))
            .query(&[("key", key)])
            .timeout(CALL_TIMEOUT)
            .send()
            .await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => decode(answer).await.map(Some),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    /// Writes `value` if the entry still has the revision `expected`.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer. The write may have taken effect all the same, now or
    /// later: ask [`StoreError::may_have_taken_effect`], and read back before deciding.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: impl Into<String>,
    ) -> Result<Swap, StoreError> {
        self.calls.add(CallKind::Write);
        let request = CasRequest { key: key.into(), expected, value: value.into(), lease: None };
        let answer =
            self.client.post(self.url("cas")).json(&request).timeout(CALL_TIMEOUT).send().await?;
        match answer.status() {
            StatusCode::OK => decode(answer).await.map(Swap::Written),
            StatusCode::CONFLICT => decode(answer).await.map(Swap::Conflict),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    /// Waits until an entry under `prefix` is newer than `after`, or `wait` has passed.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Vec<Entry>, StoreError> {
        self.calls.add(CallKind::Watch);
        let request = WatchRequest { prefix: prefix.into(), after, wait };
        let answer = self
            .client
            .post(self.url("watch"))
            .json(&request)
            .timeout(Duration::from(wait) + CALL_TIMEOUT)
            .send()
            .await?;
        match answer.status() {
            StatusCode::OK => decode::<WatchAnswer>(answer).await.map(|a| a.entries),
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/v1/{call}", self.address)
    }
}

/// Reads a whole answer as JSON.
pub(crate) async fn decode<T: DeserializeOwned>(answer: Response) -> Result<T, StoreError> {
    let body = answer.bytes().await.map_err(StoreError::Unknown)?;
    serde_json::from_slice(&body).map_err(StoreError::Malformed)
}
