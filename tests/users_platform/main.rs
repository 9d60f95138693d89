//! Daemons on the users' platform, as processes, around stand-ins for everything else.

mod assigner;
mod load;
mod requests;
mod servers;
mod store;
