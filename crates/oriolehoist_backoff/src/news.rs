use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// What a daemon knows of calls to the store, its own ones and those of others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreNews {
    /// How long ago the store last answered a call.
    pub answered_age: Option<Millis>,
    /// How long ago the store last failed to answer a call. Used only if no failure has a name.
    pub failed_age: Option<Millis>,
    /// The latest failures of up to two daemons. Missing in the messages of releases up to 43ed65f.
    pub failures: Vec<CallFailure>,
}

/// The latest failed call of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFailure {
    /// The number of the daemon's run.
    pub daemon: u64,
    /// How long ago the store failed to answer it.
    pub age: Millis,
}
