use {
    bytes::Bytes,
    serde::{Serialize, de::DeserializeOwned},
};

/// The largest control message between daemons and backend servers, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Encodes a message as MessagePack with named fields, so that processes of different versions can
/// exchange it.
pub(crate) fn encode(message: &impl Serialize) -> Bytes {
    rmp_serde::to_vec_named(message).map(Bytes::from).unwrap_or_else(|error| {
        unreachable!("control messages are plain data and always encode: {error}")
    })
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are not MessagePack or don't match `T`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
