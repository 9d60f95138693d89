//! Messages under way, and between whom none passes.

use {
    oriolehoist_protocol::{
        AcceptAnswer, AcceptTerm, Heartbeat, HeartbeatAnswer, Order, ServerAnswer, ShardGrant,
        Term, Witness,
    },
    oriolehoist_time::Millis,
};

#[derive(Clone, Debug)]
pub(super) enum Message {
    Order {
        from: usize,
        to: usize,
        sent: Millis,
        order: Order,
    },
    Answer {
        to: usize,
        server: usize,
        term: Term,
        sent: Millis,
        probed: bool,
        revoked: Option<Vec<ShardGrant>>,
        answer: ServerAnswer,
    },
    Beat {
        from: usize,
        to: usize,
        sent: Millis,
        beat: Heartbeat,
    },
    Beaten {
        to: usize,
        from: usize,
        sent: Millis,
        term: Term,
        answer: HeartbeatAnswer,
    },
    Accept {
        from: usize,
        witness: Witness,
        request: AcceptTerm,
    },
    Accepted {
        to: usize,
        term: Term,
        witness: Witness,
        answer: AcceptAnswer,
    },
}

/// A process of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Node {
    Daemon(usize),
    Server(usize),
}

/// Messages from one process to another are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Cut {
    pub(super) from: Node,
    pub(super) to: Node,
}

impl Message {
    /// Returns between which processes the message goes.
    pub(super) fn way(&self) -> Cut {
        let (from, to) = match self {
            Message::Order { from, to, .. } => (Node::Daemon(*from), Node::Server(*to)),
            Message::Answer { to, server, .. } => (Node::Server(*server), Node::Daemon(*to)),
            Message::Beat { from, to, .. } | Message::Beaten { to, from, .. } => {
                (Node::Daemon(*from), Node::Daemon(*to))
            }
            Message::Accept { from, witness, .. } => {
                (Node::Daemon(*from), Node::Daemon(index_of(witness)))
            }
            Message::Accepted { to, witness, .. } => {
                (Node::Daemon(index_of(witness)), Node::Daemon(*to))
            }
        };
        Cut { from, to }
    }
}

pub(super) fn index_of(witness: &Witness) -> usize {
    usize::from(witness.address.port()) - 1000
}
