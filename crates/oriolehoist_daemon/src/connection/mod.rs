//! What lives as long as connections: pools, backend servers and peers.

mod backend;
mod codec;
mod peer;
mod pool;

pub(crate) use {
    backend::{Backend, BackendLimits, Permit, PermitRefusal},
    codec::{MAX_MESSAGE_BYTES, decode, encode},
    peer::PeerClient,
    pool::Pool,
};
