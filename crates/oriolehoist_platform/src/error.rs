use derive_more::{Display, Error};

/// Why a call to the platform gave no answer.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The call never reached the platform: nothing was changed.
    #[display("the platform can't be reached: {_0}")]
    Unreached(reqwest::Error),
    /// The call may or may not have taken effect.
    #[display("the outcome of the call is unknown: {_0}")]
    Unknown(reqwest::Error),
    /// The platform answered that it can't serve now: nothing was changed.
    #[display("the platform refused with status {_0}")]
    #[error(ignore)]
    Refused(u16),
    /// The answer could not be understood; the call may have taken effect.
    #[display("the platform's answer is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The client could not be built.
    #[display("the client can't be built: {_0}")]
    Client(reqwest::Error),
}

impl StoreError {
    /// Returns whether a write may have taken effect all the same.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            StoreError::Unknown(_) | StoreError::Malformed(_) => true,
            StoreError::Unreached(_) | StoreError::Refused(_) | StoreError::Client(_) => false,
        }
    }
}

impl From<reqwest::Error> for StoreError {
    fn from(error: reqwest::Error) -> StoreError {
        match error.is_connect() {
            true => StoreError::Unreached(error),
            false => StoreError::Unknown(error),
        }
    }
}
