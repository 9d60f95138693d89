use {
    crate::{CallCounts, CallKind, StoreError, store::decode},
    oriolehoist_protocol::{InstanceName, ZoneName},
    reqwest::{Client, StatusCode},
    serde::{Deserialize, Serialize},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Timeout for reading the list.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// A daemon of this router.
    Entry,
    /// A backend server.
    Server,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance will be stopped soon and must not receive new requests.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance. For a backend server, this is the name of the server.
    pub name: InstanceName,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// What runs on it.
    pub role: InstanceRole,
    /// Whether the instance is about to be stopped.
    pub state: InstanceState,
    /// Address at which a daemon receives messages from peers, or a server receives requests.
    pub address: SocketAddr,
}

/// Client of the platform's list of live and leaving instances. The list may be out of date.
#[derive(Clone, Debug)]
pub struct InstanceList {
    client: Client,
    address: SocketAddr,
}

impl InstanceList {
    /// Creates a client that connects from the local address `source`, or from any if `source` is
    /// unspecified.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Client`] if the HTTP client can't be built.
    pub fn new(source: IpAddr, address: SocketAddr) -> Result<InstanceList, StoreError> {
        let client = Client::builder()
            .no_proxy()
            .local_address(Some(source).filter(|source| !source.is_unspecified()))
            .timeout(LIST_TIMEOUT)
            .build()
            .map_err(StoreError::Client)?;
        Ok(InstanceList { client, address })
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no usable response.
    pub async fn read(&self, calls: &CallCounts) -> Result<Vec<Instance>, StoreError> {
        calls.add(CallKind::List);
        let response =
            self.client.get(format!("http://{}/v1/instances", self.address)).send().await?;
        match response.status() {
            StatusCode::OK => decode(response).await,
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }
}
