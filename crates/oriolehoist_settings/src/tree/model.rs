use {
    crate::tree::groups::{
        Placement, PlacementOverrides, Policy, PolicyOverrides, ServerOverrides, ServerSettings,
        TimingOverrides, TimingValues,
    },
    oriolehoist_protocol::{ServerName, ServiceName, ZoneName},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The settings of a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the site.
    pub site: SmolStr,
    /// The availability zones of the site.
    pub zones: Vec<ZoneName>,
    /// The services of the site.
    pub services: BTreeMap<ServiceName, Service>,
    /// How receipts are signed.
    #[serde(default)]
    pub receipts: Receipts,
    #[serde(default)]
    policy: PolicyOverrides,
    #[serde(default)]
    server: ServerOverrides,
    #[serde(default)]
    placement: PlacementOverrides,
    #[serde(default)]
    timing: TimingOverrides,
}

/// How receipts are signed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Receipts {
    /// The id of the signing key; any available key is used if it is absent.
    pub sign_with: Option<SmolStr>,
}

/// A service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether each key is owned exclusively by one server.
    pub keyed: bool,
    /// Number of shards into which the keys are divided.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// The backend servers of the service.
    pub targets: BTreeMap<ServerName, Target>,
    /// Restrictions on which servers may own certain keys.
    #[serde(default)]
    pub bindings: Vec<Binding>,
    /// Overrides for each priority class.
    #[serde(default)]
    pub classes: BTreeMap<SmolStr, Class>,
    /// Overrides for each workspace.
    #[serde(default, rename = "tenants")]
    pub workspaces: BTreeMap<SmolStr, Workspace>,
    #[serde(default)]
    policy: PolicyOverrides,
    #[serde(default)]
    server: ServerOverrides,
    #[serde(default)]
    placement: PlacementOverrides,
    #[serde(default)]
    timing: TimingOverrides,
}

const fn default_shards() -> u32 {
    256
}

/// Restricts ownership of the shard of a key to some servers of the service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Binding {
    /// The key. The restriction applies to all keys of its shard.
    pub key: SmolStr,
    /// The servers that may own the shard.
    pub targets: Vec<ServerName>,
}

/// Overrides for a priority class.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    policy: PolicyOverrides,
}

/// Overrides for a workspace.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workspace {
    policy: PolicyOverrides,
}

/// Whether a backend server receives requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The server receives requests.
    #[default]
    Live,
    /// The server completes the requests it has, and receives no new ones.
    Drain,
}

/// A backend server of a service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address at which the server receives requests and orders.
    pub address: SocketAddr,
    /// The availability zone of the server.
    pub zone: ZoneName,
    /// Whether the server receives requests.
    #[serde(default)]
    pub state: TargetState,
    #[serde(default)]
    server: ServerOverrides,
}

impl Settings {
    /// Returns the policy for the requests of a class and a workspace to a service. Overrides of the
    /// workspace take precedence over those of the class.
    pub fn policy(&self, service: &Service, class: &str, workspace: &str) -> Policy {
        let mut policy =
            Policy::default().with_overrides(&self.policy).with_overrides(&service.policy);
        if let Some(class) = service.classes.get(class) {
            policy = policy.with_overrides(&class.policy);
        }
        if let Some(workspace) = service.workspaces.get(workspace) {
            policy = policy.with_overrides(&workspace.policy);
        }
        policy
    }

    /// Returns the settings of one server of a service.
    pub fn server_of(&self, service: &Service, target: &Target) -> ServerSettings {
        ServerSettings::default()
            .with_overrides(&self.server)
            .with_overrides(&service.server)
            .with_overrides(&target.server)
    }

    /// Returns the limits on moving the shards of a service.
    pub fn placement_of(&self, service: &Service) -> Placement {
        Placement::default().with_overrides(&self.placement).with_overrides(&service.placement)
    }

    /// Returns the ownership timeouts of a service.
    pub fn timing_of(&self, service: &Service) -> TimingValues {
        TimingValues::default().with_overrides(&self.timing).with_overrides(&service.timing)
    }
}
