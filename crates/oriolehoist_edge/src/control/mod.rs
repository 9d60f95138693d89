//! The control thread: the cluster state and the assigner's role.

mod actor;
mod assigner;
mod builds;
mod claim;
mod cluster_state;
mod cold_servers;
mod config_reader;
mod election;
mod evacuation_reader;
mod evacuations;
mod fanout;
mod field;
mod fleet_size;
mod follower;
mod handlers;
mod load_gossip;
mod message;
mod order_log;
mod orders;
mod peer_query;
mod peer_state;
mod peers;
mod permits;
mod reclaim;
mod relay;
mod relayed_loads;
mod role_reach;
mod server_speeds;
mod servers;
mod store;
mod store_check;
mod stored_suspects;
mod table;
mod tasks;
mod term;

pub(crate) use {
    actor::Control,
    field::OrDash,
    handlers::Stop,
    message::Member,
    peers::{control_router, metrics_router, readiness_router},
    store::StoreClient,
    tasks::spawn_tasks,
};
