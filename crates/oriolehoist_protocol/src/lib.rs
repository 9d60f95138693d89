//! Identifiers, messages and stored records shared by daemons, backend servers and the platform.
//!
//! All types are plain data. Messages between daemons and orders to backend servers are encoded as
//! MessagePack and sent over HTTP. Records in the platform's key-value store are JSON.
//!
//! ```
//! use oriolehoist_protocol::{Epoch, ShardId, Term};
//!
//! let first = Epoch::first(Term(1));
//! assert!(first < first.next());
//! assert!(first.next() < Epoch::first(Term(2)));
//! assert_eq!(ShardId::of_key("bar", 1), ShardId(0));
//! ```

mod assignment;
mod build;
mod handover;
mod header;
mod id;
mod peer;
mod record;
mod server;

pub use {
    assignment::{Assignment, AssignmentDelta, RouteState, ShardChange, ShardRoute},
    build::{BuildCounts, MAX_SHOWN_BUILDS, build_name, shown_build},
    handover::{HANDOVER_PATH, HandOverReply, MessageHeaders, SIGHT_PATH, ServerSight},
    header::{
        ATTEMPT, CLASS, DEADLINE_MS, EPOCH, EXCHANGE, INCARNATION, KEY, NOT_RUN, RECEIPT, REFUSAL,
        REQUEST_ID, RUN_STATE, SERVICE, SHARD, WORKSPACE,
    },
    id::{
        Epoch, Incarnation, InstanceName, ServerName, ServiceName, ShardId, Term, Version, ZoneName,
    },
    peer::{
        AcceptTermRequest, AcceptTermResponse, AssignerContact, CrashReport, Heartbeat,
        HeartbeatResponse, HolderQuery, HolderQueryResponse, PeerHello, Resignation, SuspectNews,
        SuspectNotice, SuspectReport,
    },
    record::{ServerAddress, TermRecord, Witness, quorum_size},
    server::{HeldGrant, LoadReport, Order, OrderBody, OrderOutcome, OrderResponse, ShardGrant},
};
