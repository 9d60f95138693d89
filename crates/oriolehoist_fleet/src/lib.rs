//! Which daemons of a fleet work for the others: in which order they try to become the assigner, which
//! of them relay its messages, what they tell each other of the load of servers, and how many daemons there are.
//!
//! The crate performs no I/O and reads no clock.
//!
//! ```
//! use {oriolehoist_fleet::{Candidate, Relays}, oriolehoist_port::InstanceSize};
//!
//! let size = InstanceSize::default();
//! let daemon = Candidate { zone: "north".into(), size, responds: true, can_relay: true };
//! let relays = Relays::plan(&vec![daemon; 100]);
//! assert_eq!(relays.groups.len(), 10);
//! assert!(relays.groups.iter().all(|group| group.children.len() == 9));
//! ```

mod election;
mod load_exchange;
mod relays;
mod size;
mod startup;

pub use {
    election::{Standing, claim_delay, election_delay},
    load_exchange::{LoadExchange, LoadNews, Source},
    relays::{Candidate, Group, MAX_DIRECT, Relays},
    size::{FleetNews, FleetSize},
    startup::table_read_delay,
};
