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

/// The longest wait for the list.
const LIST_TIMEOUT: Duration = Duration::from_millis(800);

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// A daemon of this project.
    Entry,
    /// A backend server.
    Server,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It will be stopped soon and must get no new work.
    Leaving,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name. For a backend server this is the server's name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What runs on it.
    pub role: InstanceRole,
    /// Whether it stays.
    pub state: InstanceState,
    /// Where a daemon takes messages from peers, or a server takes requests.
    pub address: SocketAddr,
}

/// A client of the platform's list of live and leaving instances. The list lags.
#[derive(Clone, Debug)]
pub struct InstanceList {
    client: Client,
    address: SocketAddr,
}

impl InstanceList {
    /// Creates a client that connects from `source`.
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
    /// Returns why there was no answer.
    pub async fn read(&self, calls: &CallCounts) -> Result<Vec<Instance>, StoreError> {
        calls.add(CallKind::List);
        let answer =
            self.client.get(format!("http://{}/v1/instances", self.address)).send().await?;
        match answer.status() {
            StatusCode::OK => decode(answer).await,
            status => Err(StoreError::Refused(status.as_u16())),
        }
    }
}
