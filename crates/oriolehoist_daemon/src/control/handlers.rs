//! What the actor does with each message.

use {
    crate::control::{
        actor::Control,
        cell::HeldByPeer,
        message::{
            AcceptAnswered, AskAssignment, AskHello, AskMissing, AskPlan, AskSettings, AskStatus,
            AssignmentArrived, AssignmentStored, DaemonStatus, HeartbeatAnswered, InstancesListed,
            OrderAnswered, PeerAccept, PeerHeartbeat, PeerPlan, PeerResigns, PeerSeen,
            RecordAttempted, Reply, SettingsArrived, Stop, Tick,
        },
    },
    kameo::message::{Context, Message},
    oriolehoist_ownership::Event,
    oriolehoist_protocol::{
        AcceptTermResponse, Assignment, HeartbeatResponse, HolderQueryResponse, PeerHello,
        ServiceName, Version,
    },
    oriolehoist_settings::SettingsVersion,
    std::sync::Arc,
};

impl Message<Tick> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Tick, cx: &mut Context<Self, ()>) {
        let me = cx.actor_ref();
        let names: Vec<ServiceName> = self.cells.keys().cloned().collect();
        for name in &names {
            let assigning = self.cells.get(name).is_some_and(|cell| cell.assigner.is_some());
            match assigning {
                true => self.tick_assigner(name, &me),
                false => self.consider_take_over(name, &me),
            }
        }
        self.consider_first_settings();
        let now = self.now();
        self.peers.forget_old(now);
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
        let Some(cell) = self.cells.get_mut(&heartbeat.service) else { return Reply(None) };
        let before = cell.follower.assignment().version;
        let answer = cell.follower.on_heartbeat(now, &heartbeat);
        let changed = heartbeat.delta.is_some() && cell.follower.assignment().version != before;
        let accepted = answer.accepted;
        if changed {
            self.publish();
        }
        // An assigner at this daemon learns of a higher term as from any other answer.
        let event = Event::HeartbeatResponse {
            from: self.cx.me.instance.clone(),
            sent: now,
            response: HeartbeatResponse { lease_granted: false, accepted, ..answer.clone() },
        };
        self.step(&heartbeat.service, event, &cx.actor_ref());
        Reply(Some(HeartbeatResponse { settings, ..answer }))
    }
}

impl Message<PeerAccept> for Control {
    type Reply = Reply<Option<AcceptTermResponse>>;

    async fn handle(
        &mut self,
        PeerAccept(request): PeerAccept,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.now();
        let cell = self.cells.get_mut(&request.service);
        Reply(cell.map(|cell| cell.follower.on_accept_term(now, &request)))
    }
}

impl Message<PeerResigns> for Control {
    type Reply = ();

    async fn handle(&mut self, PeerResigns(message): PeerResigns, _: &mut Context<Self, ()>) {
        if let Some(cell) = self.cells.get_mut(&message.service) {
            cell.follower.on_resignation(message.term);
        }
    }
}

impl Message<AskMissing> for Control {
    type Reply = Reply<HolderQueryResponse>;

    async fn handle(
        &mut self,
        AskMissing(question): AskMissing,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.now();
        let cell = self.cells.get(&question.service);
        // A daemon that does not know the service yet has nothing to miss.
        Reply(HolderQueryResponse { holder_lost: cell.is_none_or(|cell| cell.misses_holder(now)) })
    }
}

impl Message<AskHello> for Control {
    type Reply = Reply<PeerHello>;

    async fn handle(&mut self, _: AskHello, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.hello())
    }
}

impl Message<AskPlan> for Control {
    type Reply = Reply<PeerPlan>;

    async fn handle(&mut self, _: AskPlan, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.peer_plan())
    }
}

impl Message<AskSettings> for Control {
    type Reply = Reply<Option<SettingsVersion>>;

    async fn handle(&mut self, _: AskSettings, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Reply(self.settings.whole().cloned())
    }
}

impl Message<AskAssignment> for Control {
    type Reply = Reply<Option<Assignment>>;

    async fn handle(
        &mut self,
        AskAssignment(name): AskAssignment,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Reply(self.cells.get(&name).map(|cell| cell.follower.assignment().clone()))
    }
}

impl Message<AskStatus> for Control {
    type Reply = Reply<DaemonStatus>;

    async fn handle(&mut self, _: AskStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.now();
        Reply(DaemonStatus {
            instance: self.cx.me.instance.clone(),
            zone: self.cx.zone.clone(),
            stopping: self.stopping,
            settings: self.settings.version(),
            peers: self.peers.status(now),
            services: self.cells.values().map(|cell| cell.status(now)).collect(),
        })
    }
}

impl Message<PeerSeen> for Control {
    type Reply = ();

    async fn handle(&mut self, message: PeerSeen, _: &mut Context<Self, ()>) {
        let now = self.now();
        let me = self.cx.me.address;
        self.peers.learn(now, me, message.hello.known_peers.iter().copied());
        self.peers.on_hello(now, message.address, message.hello);
        let live = self.peers.live(now).map(|hello| hello.witness.address).collect();
        self.cx.peer_addresses.store(Arc::new(live));
    }
}

impl Message<InstancesListed> for Control {
    type Reply = ();

    async fn handle(&mut self, InstancesListed(list): InstancesListed, _: &mut Context<Self, ()>) {
        let now = self.now();
        let before = self.peers.leaving_servers().clone();
        self.peers.on_list(now, self.cx.me.address, &list);
        if *self.peers.leaving_servers() != before {
            self.publish();
        }
    }
}

impl Message<SettingsArrived> for Control {
    type Reply = ();

    async fn handle(
        &mut self,
        SettingsArrived(version): SettingsArrived,
        _: &mut Context<Self, ()>,
    ) {
        if self.settings.version() == Version(0) {
            self.settings.propose_first(version);
            self.consider_first_settings();
        } else if self.settings.offer(version) {
            self.on_settings_changed();
        }
    }
}

impl Message<AssignmentArrived> for Control {
    type Reply = ();

    async fn handle(
        &mut self,
        AssignmentArrived(assignment): AssignmentArrived,
        _: &mut Context<Self, ()>,
    ) {
        let cell = self.cells.get_mut(&assignment.service);
        let adopted = match cell {
            Some(cell) if cell.assigner.is_none() => cell.follower.adopt_assignment(assignment),
            _ => false,
        };
        if adopted {
            self.publish();
        }
    }
}

impl Message<OrderAnswered> for Control {
    type Reply = ();

    async fn handle(&mut self, message: OrderAnswered, cx: &mut Context<Self, ()>) {
        let OrderAnswered { service, term, server, sent, probed, revoked, answer } = message;
        let current = self.cells.get_mut(&service).is_some_and(|c| c.assigner_of(term).is_some());
        if !current {
            return;
        }
        let event = match revoked {
            Some(grants) => Event::RevokeResponse { server, grants, response: answer },
            None => Event::OrderResponse { server, sent, is_probe: probed, response: answer },
        };
        self.step(&service, event, &cx.actor_ref());
    }
}

impl Message<HeartbeatAnswered> for Control {
    type Reply = ();

    async fn handle(&mut self, message: HeartbeatAnswered, cx: &mut Context<Self, ()>) {
        let HeartbeatAnswered { service, term, from, sent, answer } = message;
        let Some(cell) = self.cells.get_mut(&service) else { return };
        if cell.assigner_of(term).is_none() {
            return;
        }
        let held = HeldByPeer { version: answer.version, record: answer.record.clone() };
        cell.heartbeats.held.insert(from.clone(), held);
        self.step(
            &service,
            Event::HeartbeatResponse { from, sent, response: answer },
            &cx.actor_ref(),
        );
    }
}

impl Message<AcceptAnswered> for Control {
    type Reply = ();

    async fn handle(&mut self, message: AcceptAnswered, cx: &mut Context<Self, ()>) {
        let AcceptAnswered { service, term, from, answer } = message;
        let current = self.cells.get_mut(&service).is_some_and(|c| c.assigner_of(term).is_some());
        if current {
            self.step(
                &service,
                Event::AcceptTermResponse { from, response: answer },
                &cx.actor_ref(),
            );
        }
    }
}

impl Message<RecordAttempted> for Control {
    type Reply = ();

    async fn handle(&mut self, message: RecordAttempted, cx: &mut Context<Self, ()>) {
        self.on_record(message, &cx.actor_ref());
    }
}

impl Message<AssignmentStored> for Control {
    type Reply = ();

    async fn handle(&mut self, message: AssignmentStored, _: &mut Context<Self, ()>) {
        let Some(cell) = self.cells.get_mut(&message.service) else { return };
        cell.store.writing = false;
        if let (Some((version, revision)), true) =
            (message.stored, cell.assigner_of(message.term).is_some())
        {
            cell.store.version = version;
            cell.store.revision = revision;
        }
    }
}
