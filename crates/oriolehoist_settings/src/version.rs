use {
    oriolehoist_protocol::Version,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Store key of the version in force. It is only written by compare-and-swap.
pub const HEAD_KEY: &str = "settings/head";

/// Returns the store key of a version that has been replaced.
pub fn history_key(version: Version) -> String {
    format!("settings/history/{version}")
}

/// One accepted version of the settings, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsVersion {
    /// The version number.
    pub version: Version,
    /// The version on which the edit was based.
    pub base: Version,
    /// Who applied the edit.
    pub author: SmolStr,
    /// The time of the edit, in milliseconds since the Unix epoch.
    pub time: Millis,
    /// Unique id of the write, so that a writer that got no response can recognise its own version.
    pub write_id: SmolStr,
    /// The document. After a merge it is plain JSON, without comments.
    pub text: String,
}
