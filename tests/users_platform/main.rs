//! Runs daemon processes on the users' platform, with stand-ins for its store and the backend
//! servers.

mod assigner;
mod builds;
mod callers_that_left;
mod cold_fleet;
mod cold_servers;
mod endless_calls;
mod endless_responses;
mod evacuations;
mod explain;
mod foreign_names;
mod handovers;
mod headroom;
mod incomplete_lists;
mod interrupted_heads;
mod load;

mod load_probes;
mod log_lines;
mod odd_entries;
mod partial_partitions;
mod quarantine;
mod rate_limits;
mod relays;
mod repeated_responses;
mod requests;
mod server_statements;
mod servers;
mod silent_connections;
mod statuses;
mod stopping;
mod stops_with_long_work;
mod store;
mod store_outages;
