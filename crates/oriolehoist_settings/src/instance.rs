use {
    crate::{
        Problem, Problems,
        document::{Field, Shape, check_shape, parse_node},
    },
    oriolehoist_protocol::{InstanceName, ZoneName},
    serde::Deserialize,
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr, path::PathBuf},
};

/// What a daemon must know to start, read from a file on its instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceFile {
    /// The instance's name.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for the other daemons.
    pub peers: SocketAddr,
    /// Where the other daemons reach it, if that is not where it listens.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// The platform's list of instances.
    pub instances: SocketAddr,
    /// Where other daemons may be found while the list is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The file of each key for receipts, by the key's id.
    #[serde(default)]
    pub receipt_keys: BTreeMap<SmolStr, PathBuf>,
    /// How much is logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: SmolStr,
}

fn default_log() -> SmolStr {
    "info".into()
}

/// The longest path of a file, in bytes.
const MAX_PATH_BYTES: usize = 4096;

const INSTANCE: Shape = Shape::Record(&[
    Field::required("instance", Shape::Name),
    Field::required("zone", Shape::Name),
    Field::required("callers", Shape::Address),
    Field::required("peers", Shape::Address),
    Field::optional("advertised", Shape::Address),
    Field::required("operators", Shape::Address),
    Field::required("store", Shape::Address),
    Field::required("instances", Shape::Address),
    Field::optional("seeds", Shape::List(&Shape::Address)),
    Field::optional("receipt_keys", Shape::Map(&Shape::Text { most: MAX_PATH_BYTES })),
    Field::optional("log", Shape::Choice(&["error", "warn", "info", "debug"])),
]);

/// Parses and checks an instance file.
///
/// # Errors
///
/// Returns every problem that was found.
pub fn parse_instance(text: &str) -> Result<InstanceFile, Problems> {
    let root = parse_node(text)?;
    check_shape(&root, &INSTANCE)?;
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
