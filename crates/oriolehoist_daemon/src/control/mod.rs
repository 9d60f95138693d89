//! The control thread: one actor that drives the decision crates.

mod actor;
mod assigning;
mod cell;
mod election;
mod handlers;
mod message;
mod peers;
mod publish;
mod send;
mod settings;
mod tasks;

pub(crate) use {
    actor::Control,
    message::{
        AskAssignment, AskHello, AskMissing, AskSettings, AskStatus, PeerAccept, PeerHeartbeat,
        PeerResigns, Reply, Stop,
    },
    tasks::spawn_tasks,
};
