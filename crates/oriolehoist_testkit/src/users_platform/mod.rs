//! Fakes of the users' platform, namely its store and its backend servers, and daemons that run on
//! it as processes.

mod client;
mod daemon;
mod datagram_proxy;
mod deployment;
mod grants;
mod peer_network;
mod probed_server;
mod raw_server;
mod scripted_server;
mod server;
mod store;
mod store_state;
mod warm_up;

pub use {
    client::{Client, ClientResponse},
    daemon::Daemon,
    datagram_proxy::DatagramProxy,
    deployment::{Deployment, HOST, STORE_EDGE, server_edge},
    grants::AcceptedGrant,
    peer_network::peer_edge,
    probed_server::{ProbedArrivals, ProbedBehaviour, ProbedServer},
    raw_server::{RawServer, ResponseFault},
    scripted_server::{ScriptedCall, ScriptedEnd, ScriptedReply, ScriptedServer, raw_response},
    server::{ArrivedRequest, ExecutedRequest, Server, ServerFaults, TurnAway},
    store::Store,
    store_state::{PageFault, StoreFaults, StoreSnapshot},
};
