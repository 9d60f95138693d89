use {
    bytes::Bytes,
    serde::{Serialize, de::DeserializeOwned},
};

/// The largest message between two processes of the project, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Encodes a message as MessagePack with named fields, so that versions can differ.
pub(crate) fn encode(message: &impl Serialize) -> Bytes {
    rmp_serde::to_vec_named(message)
        .map(Bytes::from)
        .unwrap_or_else(|error| unreachable!("messages are plain data: {error}"))
}

/// Decodes a message.
///
/// # Errors
///
/// Returns what is wrong with it.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
