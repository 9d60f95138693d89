//! The message handlers of the control actor.

use {
    crate::{
        control::{
            actor::Control,
            message::{
                AcceptTermResponseReceived, AssignmentReceived, AssignmentWriteFinished,
                DaemonStatus, GetAssignment, GetHello, GetSettings, GetStatus, GetSyncPlan,
                HeartbeatResponseReceived, HelloReceived, InstancesListed, OrderResponseReceived,
                PeerAcceptTerm, PeerHeartbeat, PeerResigned, QueryHolder, RecordWriteFinished,
                Reply, SettingsReceived, Stop, SyncPlan, Tick,
            },
            service_state::PeerAck,
        },
        process::LivePeers,
    },
    kameo::message::{Context, Message},
    oriolehoist_ownership::Event,
    oriolehoist_protocol::{
        AcceptTermResponse, Assignment, BuildCounts, HeartbeatResponse, HolderQueryResponse,
        PeerHello, ServiceName, Version, build_name,
    },
    oriolehoist_settings::SettingsVersion,
    std::sync::Arc,
};

impl Message<Tick> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, ()>) {
        let actor = cx.actor_ref();
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in &names {
            let is_assigner = self.services.get(name).is_some_and(|state| state.assigner.is_some());
            match is_assigner {
                true if self.is_bettered(name) => self.resign_service(name),
                true => self.tick_assigner(name, &actor),
                false => self.try_take_over(name, &actor),
            }
        }
        self.try_apply_initial_settings();
        let now = self.now();
        self.peers.remove_expired(now);
    }
}

impl Message<Stop> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Stop, _: &mut Context<Self, ()>) {
        self.resign();
    }
}

impl Message<PeerHeartbeat> for Control {
    type Reply = Reply<Option<HeartbeatResponse>>;

    async fn handle(
        &mut self,
        PeerHeartbeat(heartbeat): PeerHeartbeat,
        cx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.now();
        let settings = self.settings.version();
        let Some(state) = self.services.get_mut(&heartbeat.service) else { return Reply(None) };
        let before = state.follower.assignment().version;
        let response = state.follower.on_heartbeat(now, &heartbeat);
        let changed = heartbeat.delta.is_some() && state.follower.assignment().version != before;
        let accepted = response.accepted;
        if changed {
            self.publish();
        }
        // An assigner at this daemon must step down if the heartbeat has a higher term, as after
        // any other heartbeat response.
        let event = Event::HeartbeatResponse {
            from: self.cx.identity.instance.clone(),
            sent: now,
            response: HeartbeatResponse { lease_granted: false, accepted, ..response.clone() },
        };
        self.step(&heartbeat.service, event, &cx.actor_ref());
        if heartbeat.asks_reach {
            self.cx.ask_reach_of(&heartbeat.service);
        }
        let reach = Some(self.cx.reach_report_of(&heartbeat.service));
        Reply(Some(HeartbeatResponse { settings, reach, ..response }))
    }
}

impl Message<PeerAcceptTerm> for Control {
    type Reply = Reply<Option<AcceptTermResponse>>;

    async fn handle(
        &mut self,
        PeerAcceptTerm(request): PeerAcceptTerm,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.now();
        let state = self.services.get_mut(&request.service);
        Reply(state.map(|state| state.follower.on_accept_term(now, &request)))
    }
}

impl Message<PeerResigned> for Control {
    type Reply = ();

    async fn handle(&mut self, PeerResigned(message): PeerResigned, _: &mut Context<Self, ()>) {
        if let Some(state) = self.services.get_mut(&message.service) {
            state.follower.on_resignation(message.term);
        }
    }
}

impl Message<QueryHolder> for Control {
    type Reply = Reply<HolderQueryResponse>;

    async fn handle(
        &mut self,
        QueryHolder(query): QueryHolder,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.now();
        let state = self.services.get(&query.service);
        // A daemon that does not know the service yet does not object to a takeover.
        Reply(HolderQueryResponse {
            holder_lost: state.is_none_or(|state| state.has_lost_holder(now)),
        })
    }
}

impl Message<GetHello> for Control {
    type Reply = Reply<PeerHello>;

    async fn handle(&mut self, _: GetHello, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.hello())
    }
}

impl Message<GetSyncPlan> for Control {
    type Reply = Reply<SyncPlan>;

    async fn handle(&mut self, _: GetSyncPlan, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.sync_plan())
    }
}

impl Message<GetSettings> for Control {
    type Reply = Reply<Option<SettingsVersion>>;

    async fn handle(&mut self, _: GetSettings, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.settings.settings_version().cloned())
    }
}

impl Message<GetAssignment> for Control {
    type Reply = Reply<Option<Assignment>>;

    async fn handle(
        &mut self,
        GetAssignment(name): GetAssignment,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Reply(self.services.get(&name).map(|state| state.follower.assignment().clone()))
    }
}

impl Message<GetStatus> for Control {
    type Reply = Reply<DaemonStatus>;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.now();
        let build = build_name();
        let peers = self.peers.live(now).map(|hello| hello.build.as_deref());
        let builds = BuildCounts::of(peers.chain([Some(build.as_str())]));
        Reply(DaemonStatus {
            instance: self.cx.identity.instance.clone(),
            zone: self.cx.zone.clone(),
            stopping: self.stopping,
            settings: self.settings.version(),
            build,
            builds,
            peers: self.peers.status(now),
            services: self.services.values().map(|state| state.status(now)).collect(),
        })
    }
}

impl Message<HelloReceived> for Control {
    type Reply = ();

    async fn handle(&mut self, message: HelloReceived, _: &mut Context<Self, ()>) {
        let now = self.now();
        let own_address = self.cx.identity.address;
        self.peers.add_addresses(now, own_address, message.hello.known_peers.iter().copied());
        if let Some(suspects) = &message.hello.suspects {
            self.cx.merge_suspects(now, &suspects.records, &message.hello.witness.instance);
        }
        self.peers.on_hello(now, message.address, message.hello);
        let live = self.peers.live(now).map(|hello| (&hello.witness, &hello.zone));
        let live = LivePeers::new(live, &self.cx.zone);
        self.cx.ways().retain(|way| live.addresses.contains(way));
        self.cx.live_peers.store(Arc::new(live));
    }
}

impl Message<InstancesListed> for Control {
    type Reply = ();

    async fn handle(&mut self, InstancesListed(list): InstancesListed, _: &mut Context<Self, ()>) {
        let now = self.now();
        let before = self.peers.leaving_servers().clone();
        self.peers.on_instance_list(now, self.cx.identity.address, &list);
        if *self.peers.leaving_servers() != before {
            self.publish();
        }
    }
}

impl Message<SettingsReceived> for Control {
    type Reply = ();

    async fn handle(
        &mut self,
        SettingsReceived(version): SettingsReceived,
        _: &mut Context<Self, ()>,
    ) {
        if self.settings.version() == Version(0) {
            self.settings.propose_initial(version);
            self.try_apply_initial_settings();
        } else if self.settings.apply_if_newer(version) {
            self.on_settings_changed();
        }
    }
}

impl Message<AssignmentReceived> for Control {
    type Reply = ();

    async fn handle(
        &mut self,
        AssignmentReceived(assignment): AssignmentReceived,
        _: &mut Context<Self, ()>,
    ) {
        let state = self.services.get_mut(&assignment.service);
        let adopted = match state {
            Some(state) if state.assigner.is_none() => state.follower.adopt_assignment(assignment),
            _ => false,
        };
        if adopted {
            self.publish();
        }
    }
}

impl Message<OrderResponseReceived> for Control {
    type Reply = ();

    async fn handle(&mut self, message: OrderResponseReceived, cx: &mut Context<Self, ()>) {
        let OrderResponseReceived {
            service,
            term,
            server,
            sent,
            is_probe,
            revoked_grants,
            response,
        } = message;
        let is_current =
            self.services.get_mut(&service).is_some_and(|state| state.assigner_of(term).is_some());
        if !is_current {
            return;
        }
        let event = match revoked_grants {
            Some(grants) => Event::RevokeResponse { server, grants, response },
            None => Event::OrderResponse { server, sent, is_probe, response },
        };
        self.step(&service, event, &cx.actor_ref());
    }
}

impl Message<HeartbeatResponseReceived> for Control {
    type Reply = ();

    async fn handle(&mut self, message: HeartbeatResponseReceived, cx: &mut Context<Self, ()>) {
        let HeartbeatResponseReceived { service, term, from, sent, response } = message;
        let now = self.now();
        let Some(state) = self.services.get_mut(&service) else { return };
        if state.assigner_of(term).is_none() {
            return;
        }
        let ack = PeerAck { version: response.version, record_write_id: response.record.clone() };
        state.heartbeats.acks.insert(from.clone(), ack);
        if let Some(reach) = response.reach {
            state.heartbeats.reach.insert(from.clone(), (now, reach));
        }
        self.step(&service, Event::HeartbeatResponse { from, sent, response }, &cx.actor_ref());
    }
}

impl Message<AcceptTermResponseReceived> for Control {
    type Reply = ();

    async fn handle(&mut self, message: AcceptTermResponseReceived, cx: &mut Context<Self, ()>) {
        let AcceptTermResponseReceived { service, term, from, response } = message;
        let is_current =
            self.services.get_mut(&service).is_some_and(|state| state.assigner_of(term).is_some());
        if is_current {
            self.step(&service, Event::AcceptTermResponse { from, response }, &cx.actor_ref());
        }
    }
}

impl Message<RecordWriteFinished> for Control {
    type Reply = ();

    async fn handle(&mut self, message: RecordWriteFinished, cx: &mut Context<Self, ()>) {
        self.on_record_write_finished(message, &cx.actor_ref());
    }
}

impl Message<AssignmentWriteFinished> for Control {
    type Reply = ();

    async fn handle(&mut self, message: AssignmentWriteFinished, _: &mut Context<Self, ()>) {
        let Some(state) = self.services.get_mut(&message.service) else { return };
        state.store.writing = false;
        if let (Some((version, revision)), true) =
            (message.stored, state.assigner_of(message.term).is_some())
        {
            state.store.version = version;
            state.store.revision = revision;
        }
    }
}
