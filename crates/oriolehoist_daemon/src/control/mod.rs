//! The control actor: holds all control state and drives the I/O-free decision crates.

mod actor;
mod assigning;
mod election;
mod handlers;
mod message;
mod peers;
mod publish;
mod send;
mod service_state;
mod settings;
mod tasks;

pub(crate) use {
    actor::Control,
    message::{
        GetAssignment, GetHello, GetSettings, GetStatus, PeerAcceptTerm, PeerHeartbeat,
        PeerResigned, QueryHolder, Reply, Stop,
    },
    tasks::spawn_tasks,
};
