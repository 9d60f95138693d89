use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// The path at which a daemon explains requests, at the address that serves its status.
pub const EXPLAIN_PATH: &str = "/explain";

/// The request to explain, as the query of a `GET` on [`EXPLAIN_PATH`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainQuery {
    /// The method.
    pub method: SmolStr,
    /// The host that callers name.
    pub host: SmolStr,
    /// The path, with a query if there is one.
    pub path: String,
    /// The key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// How long the caller would wait for the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Millis>,
}
