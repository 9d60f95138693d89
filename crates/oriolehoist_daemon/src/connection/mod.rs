//! State with the lifetime of connections: connection pools, backend servers and the peer client.

mod backend;
mod caller_stream;
mod codec;
mod peer;
mod pool;

pub(crate) use {
    backend::{Backend, BackendLimits, Permit, PermitRefusal},
    caller_stream::{CallerListener, CallerSocket},
    codec::{MAX_MESSAGE_BYTES, decode, encode},
    peer::{PeerClient, PeerError},
    pool::Pool,
};
