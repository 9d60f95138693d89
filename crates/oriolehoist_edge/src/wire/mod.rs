//! What daemons send each other and keep in the store.
//!
//! Daemons of two builds run side by side while a deployment is upgraded, so a build decodes what
//! the one before it writes, and the other way round. `docs/design/mixed-builds.md` says how each kind
//! of message is versioned. The module is public so that this can be tested without a network.
//!
//! ```
//! use oriolehoist_edge::wire::{RelayedLoads, encode_compact};
//!
//! let message = RelayedLoads { format: RelayedLoads::FORMAT.into(), ..RelayedLoads::default() };
//! let bytes = encode_compact(&message).unwrap();
//! assert!(RelayedLoads::decode(&bytes).is_some());
//! ```

mod datagram;
mod handover;
mod state;
mod stored;

pub use {
    datagram::{
        ColdServer, ColdServers, LoadMessage, PermitAnswer, PermitQuery, RelayedLimits,
        RelayedLoads,
    },
    handover::{HandedOverRefusal, HandedOverRequest, Reply},
    rmp_serde::{decode::Error as DecodeError, encode::Error as EncodeError},
    state::{Member, RouteEntry, RouteKey, SyncMessage, SyncResponse, Versions},
    stored::{AssignerRecord, StoredSuspects},
};

use serde::{
    Serialize,
    de::{DeserializeOwned, Error},
};

/// The maximum depth of values in values. Messages have about ten levels. The decoder's own limit of 1024
/// uses up the stack of a thread in a debug build when it skips an unknown field.
const MAX_DEPTH: usize = 64;

/// Encodes a message as MessagePack with the names of its fields, so that the receiver can skip those
/// that it does not know.
///
/// # Errors
///
/// Returns an error if the value can't be represented.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, EncodeError> {
    rmp_serde::to_vec_named(message)
}

/// Encodes a message as MessagePack without the names of its fields, for datagrams.
///
/// # Errors
///
/// Returns an error if the value can't be represented.
pub fn encode_compact<T: Serialize>(message: &T) -> Result<Vec<u8>, EncodeError> {
    rmp_serde::to_vec(message)
}

/// Decodes a message of either encoding.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of this type, or if others follow it: a text would
/// otherwise count as a small number, which is the value of its first byte.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut deserializer = rmp_serde::Deserializer::new(bytes);
    deserializer.set_max_depth(MAX_DEPTH);
    let message = T::deserialize(&mut deserializer)?;
    match deserializer.get_ref().is_empty() {
        true => Ok(message),
        false => Err(DecodeError::custom("bytes after the end of the message")),
    }
}
