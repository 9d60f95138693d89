use {
    crate::tree::groups::{
        Placement, PlacementOverrides, Policy, PolicyOverrides, Server, ServerOverrides,
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
    /// The site's name.
    pub site: SmolStr,
    /// Its availability zones.
    pub zones: Vec<ZoneName>,
    /// Its services.
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
    /// The id of the key to sign with.
    pub sign_with: Option<SmolStr>,
}

/// One service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether each key is owned by one server.
    pub keyed: bool,
    /// Into how many shards the keys are split.
    #[serde(default = "default_shards")]
    pub shards: u32,
    /// The backend servers.
    pub targets: BTreeMap<ServerName, Target>,
    /// Which servers may own certain keys.
    #[serde(default)]
    pub bindings: Vec<Binding>,
    /// Overrides for each class.
    #[serde(default)]
    pub classes: BTreeMap<SmolStr, Class>,
    /// Overrides for each tenant.
    #[serde(default)]
    pub tenants: BTreeMap<SmolStr, Tenant>,
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

/// Binds the shard of a key to some of the service's servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Binding {
    /// The key. Every other key of its shard is bound with it.
    pub key: SmolStr,
    /// The servers that may own it.
    pub targets: Vec<ServerName>,
}

/// Overrides for a class of requests.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    policy: PolicyOverrides,
}

/// Overrides for a tenant.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    policy: PolicyOverrides,
}

/// Whether a backend server takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It takes work.
    #[default]
    Live,
    /// It finishes what it has and gets no more.
    Drain,
}

/// One backend server of a service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes work.
    #[serde(default)]
    pub state: TargetState,
    #[serde(default)]
    server: ServerOverrides,
}

impl Settings {
    /// Returns the policy for a service's requests of a class and a tenant.
    pub fn policy(&self, service: &Service, class: &str, tenant: &str) -> Policy {
        let mut policy = Policy::default().overridden(&self.policy).overridden(&service.policy);
        if let Some(class) = service.classes.get(class) {
            policy = policy.overridden(&class.policy);
        }
        if let Some(tenant) = service.tenants.get(tenant) {
            policy = policy.overridden(&tenant.policy);
        }
        policy
    }

    /// Returns what one server of a service can take.
    pub fn server_of(&self, service: &Service, target: &Target) -> Server {
        Server::default()
            .overridden(&self.server)
            .overridden(&service.server)
            .overridden(&target.server)
    }

    /// Returns how eagerly the shards of a service are moved.
    pub fn placement_of(&self, service: &Service) -> Placement {
        Placement::default().overridden(&self.placement).overridden(&service.placement)
    }

    /// Returns the times that ownership rests on for a service.
    pub fn timing_of(&self, service: &Service) -> TimingValues {
        TimingValues::default().overridden(&self.timing).overridden(&service.timing)
    }
}
