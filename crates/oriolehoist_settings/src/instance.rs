use {
    crate::{
        Problem, Problems,
        document::{Field, Schema, check_schema, parse_node},
    },
    oriolehoist_protocol::{InstanceName, ZoneName},
    serde::Deserialize,
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr, path::PathBuf},
};

/// Configuration that a daemon needs to start, read from a file on its instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceFile {
    /// The instance's name.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address on which the daemon listens for callers.
    pub callers: SocketAddr,
    /// Address on which the daemon listens for the other daemons.
    pub peers: SocketAddr,
    /// Address at which the other daemons reach this one, if it differs from `peers`.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Address on which the daemon listens for operators.
    pub operators: SocketAddr,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Address of the platform's instance list.
    pub instances: SocketAddr,
    /// Addresses of other daemons, for use while the instance list is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File of each signing key for receipts, by key id.
    #[serde(default)]
    pub receipt_keys: BTreeMap<SmolStr, PathBuf>,
    /// Log level: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: SmolStr,
}

fn default_log() -> SmolStr {
    "info".into()
}

/// Maximum length of a file path, in bytes.
const MAX_PATH_BYTES: usize = 4096;

const INSTANCE_FILE: Schema = Schema::Object(&[
    Field::required("instance", Schema::Name),
    Field::required("zone", Schema::Name),
    Field::required("callers", Schema::Address),
    Field::required("peers", Schema::Address),
    Field::optional("advertised", Schema::Address),
    Field::required("operators", Schema::Address),
    Field::required("store", Schema::Address),
    Field::required("instances", Schema::Address),
    Field::optional("seeds", Schema::Array(&Schema::Address)),
    Field::optional("receipt_keys", Schema::Map(&Schema::String { max_bytes: MAX_PATH_BYTES })),
    Field::optional("log", Schema::Enum(&["error", "warn", "info", "debug"])),
]);

/// Parses and validates an instance file.
///
/// # Errors
///
/// Returns every problem that was found.
pub fn parse_instance_file(text: &str) -> Result<InstanceFile, Problems> {
    let root = parse_node(text)?;
    check_schema(&root, &INSTANCE_FILE)?;
    serde_json::from_value(root.to_json()).map_err(|error| {
        Problem {
            position: root.position,
            path: String::new(),
            expected: "an instance file".into(),
            found: error.to_string(),
        }
        .into()
    })
}
