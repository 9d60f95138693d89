//! What the actor does with each message.

use {
    crate::control::{
        actor::{Control, Role},
        message::{Input, ServerList, Sync, SyncAnswer},
    },
    kameo::message::{Context, Message},
    oriolehoist_port::StoreRequest,
    std::time::Duration,
};

/// The daemon is to hand its role over and take no new one.
pub(crate) struct Stop;

/// The daemon is asked what it knows.
pub(crate) struct AskKnowledge;

/// The reader of the store asks what is needed.
pub(crate) struct AskReading;

/// The reader of the servers asks which ones are known.
pub(crate) struct AskServers;

/// Wraps a reply, so that any type can be one.
#[derive(Debug, kameo::Reply)]
pub(crate) struct Reply<T: Send + 'static>(pub(crate) T);

/// What a daemon reads in the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    pub(crate) servers: bool,
    pub(crate) members: bool,
    /// Whether there is a configuration.
    pub(crate) config: bool,
    /// Whether the others rely on this daemon to notice changes of the configuration.
    pub(crate) config_closely: bool,
}

impl Message<Input> for Control {
    type Reply = ();

    async fn handle(&mut self, input: Input, cx: &mut Context<Self, ()>) {
        let me = cx.actor_ref();
        self.on_input(&me, input);
    }
}

impl Message<Sync> for Control {
    type Reply = Reply<SyncAnswer>;

    async fn handle(&mut self, sync: Sync, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let offered = sync.versions.config;
        let mut answer = self.on_sync(sync);
        if self.known.versions.config > offered {
            answer.config = Some(self.known.config_bytes.clone());
        }
        Reply(answer)
    }
}

impl Message<AskKnowledge> for Control {
    type Reply = Reply<Sync>;

    async fn handle(&mut self, _: AskKnowledge, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.knowledge())
    }
}

impl Message<AskReading> for Control {
    type Reply = Reply<Reading>;

    async fn handle(&mut self, _: AskReading, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(Reading {
            servers: self.reads_servers(),
            members: matches!(self.role, Role::Assigner(_)),
            config: self.known.config.is_some(),
            config_closely: self.watches_config_closely(),
        })
    }
}

impl Message<AskServers> for Control {
    type Reply = Reply<ServerList>;

    async fn handle(&mut self, _: AskServers, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.known.servers.clone())
    }
}

impl Message<Stop> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Stop, cx: &mut Context<Self, ()>) {
        let me = cx.actor_ref();
        self.update_readiness();
        if let Role::Assigner(assigner) = &self.role {
            let lease = assigner.lease();
            assigner.sender.revoke();
            // What is on its way ends before the next assigner gives orders.
            tokio::time::sleep(Duration::from(oriolehoist_keyspace::GRANT_TIMEOUT)).await;
            let _ = self.store.call(StoreRequest::RevokeLease(lease)).await;
            self.sync_peers(&me, true);
            self.step_down("the daemon is stopping");
        }
    }
}
