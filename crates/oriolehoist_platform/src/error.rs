use derive_more::{Display, Error};

/// Error of a call to the platform.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The call did not reach the platform, so it had no effect.
    #[display("the platform can't be reached: {_0}")]
    Unreached(reqwest::Error),
    /// The call may or may not have taken effect.
    #[display("the outcome of the call is unknown: {_0}")]
    Unknown(reqwest::Error),
    /// The platform refused the call, so it had no effect.
    #[display("the platform refused the call with HTTP status {_0}")]
    #[error(ignore)]
    Refused(u16),
    /// The response is larger than allowed. The call may have taken effect.
    #[display("the response of the platform is too large")]
    TooLarge,
    /// The response is malformed. The call may have taken effect.
    #[display("the response of the platform is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The HTTP client could not be built.
    #[display("the HTTP client can't be built: {_0}")]
    Client(reqwest::Error),
}

impl StoreError {
    /// Returns whether a write may have taken effect despite the error.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            StoreError::Unknown(_) | StoreError::TooLarge | StoreError::Malformed(_) => true,
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
