use {
    oriolehoist_protocol::Version,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// The store's key of the version in force. It is replaced by compare-and-swap only.
pub const HEAD_KEY: &str = "settings/head";

/// Returns the store's key under which a replaced version is kept.
pub fn history_key(version: Version) -> String {
    format!("settings/history/{version}")
}

/// One accepted version of the settings, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsVersion {
    /// The version.
    pub version: Version,
    /// The version that its author started from.
    pub base: Version,
    /// Who applied it.
    pub author: SmolStr,
    /// When, in milliseconds since the Unix epoch.
    pub time: Millis,
    /// Unique to the write, so that a writer whose reply was lost can recognise its own version.
    pub write_id: SmolStr,
    /// The document. After a merge it is plain JSON, without comments.
    pub text: String,
}
