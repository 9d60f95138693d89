//! The control actor's message handlers.

use {
    crate::control::{
        actor::{Control, Role},
        message::{Input, SyncMessage, SyncResponse},
    },
    kameo::message::{Context, Message},
    oriolehoist_port::{StoreEra, StoreRequest},
    oriolehoist_registry::Registry,
    std::time::Duration,
};

/// How many of the daemons, on average, send an assigner that lacks it the configuration with their
/// next response.
const CONFIG_SENDERS: usize = 2;

/// Tells the daemon to hand over the assigner's role, and not to take it again.
pub(crate) struct Stop;

/// Asks for a snapshot of the cluster state.
pub(crate) struct GetClusterState {
    /// The store's era, if the sender knows it.
    pub(crate) store_era: Option<StoreEra>,
}

/// Asks which parts of the store this daemon has to read.
pub(crate) struct GetStoreReadPlan;

/// Asks for the known servers.
pub(crate) struct GetServers;

/// A wrapper that implements [`kameo::Reply`] for any type.
#[derive(Debug, kameo::Reply)]
pub(crate) struct ActorReply<T: Send + 'static>(pub(crate) T);

/// Which parts of the store this daemon reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreReadPlan {
    pub(crate) reads_servers: bool,
    /// Whether this daemon is the assigner, which also reads the members and the evacuated zones.
    pub(crate) is_assigner: bool,
    /// Whether a configuration is known.
    pub(crate) has_config: bool,
    /// Whether it is known who owns the keys.
    pub(crate) has_routes: bool,
    /// Whether only this daemon's own watch confirms its configuration.
    pub(crate) confirms_config_itself: bool,
    /// Whether the configuration comes by way of relays, so that there is no watch of it.
    pub(crate) config_is_relayed: bool,
}

impl Message<Input> for Control {
    type Reply = ();

    async fn handle(&mut self, input: Input, cx: &mut Context<Self, ()>) {
        let control = cx.actor_ref();
        self.on_input(&control, input);
    }
}

impl Message<SyncMessage> for Control {
    type Reply = ActorReply<SyncResponse>;

    async fn handle(
        &mut self,
        sync: SyncMessage,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let sender_config_version = sync.versions.config;
        let mut response = self.on_sync(sync);
        // One of the daemons is enough, because a configuration may be large.
        let is_chosen = fastrand::usize(0..self.state.members.get().len().max(1)) < CONFIG_SENDERS;
        if self.state.config_version > sender_config_version && is_chosen {
            response.config = Some(self.state.config_bytes.clone());
        }
        ActorReply(response)
    }
}

impl Message<GetClusterState> for Control {
    type Reply = ActorReply<SyncMessage>;

    async fn handle(
        &mut self,
        GetClusterState { store_era }: GetClusterState,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if let Some(era) = store_era {
            self.cx.observe_store_era(era, "peer");
            self.check_era();
        }
        ActorReply(self.state_snapshot())
    }
}

impl Message<GetStoreReadPlan> for Control {
    type Reply = ActorReply<StoreReadPlan>;

    async fn handle(
        &mut self,
        _: GetStoreReadPlan,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        ActorReply(StoreReadPlan {
            reads_servers: self.reads_servers(),
            is_assigner: self.publish_role(),
            has_config: self.state.config.is_some(),
            has_routes: !self.state.key_routes().is_empty(),
            confirms_config_itself: self.confirms_config_itself(),
            config_is_relayed: self.state.config.is_some() && self.is_relayed(),
        })
    }
}

impl Message<GetServers> for Control {
    type Reply = ActorReply<Registry>;

    async fn handle(&mut self, _: GetServers, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        ActorReply(self.state.registry.clone())
    }
}

impl Message<Stop> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Stop, cx: &mut Context<Self, ()>) {
        let control = cx.actor_ref();
        self.update_readiness();
        // A lease of an earlier era may be another daemon's now.
        if let Role::Assigner(assigner) = &self.role
            && assigner.suspension.is_none()
        {
            let lease = assigner.lease();
            assigner.order_sender.revoke();
            // Waits for the timeout of grants and probes, so that those in flight have ended before
            // the next assigner can send any orders. A release in flight may last longer.
            tokio::time::sleep(Duration::from(oriolehoist_keyspace::GRANT_TIMEOUT)).await;
            // If this fails, the lease expires on its own.
            let _ = self.store.call(StoreRequest::RevokeLease(lease)).await;
            self.sync_peers(&control, true);
            self.step_down("the daemon is shutting down");
        }
    }
}
