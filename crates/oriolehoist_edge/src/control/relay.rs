//! A daemon that relays the assigner's messages to others.

use {
    crate::control::{
        actor::{Control, Role},
        fanout::{SYNC_INTERVAL, Target},
        message::SyncMessage,
    },
    crate::process::LoadPeers,
    kameo::actor::ActorRef,
    oriolehoist_keyspace::LoadReport,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// What the assigner has asked a relay to do.
#[derive(Debug, Default)]
pub(crate) struct RelayDuty {
    /// The daemons that get the state from this one.
    children: Vec<SmolStr>,
    /// When the assigner last asked for it.
    heard_at: Millis,
    /// Whether the children are to learn that the assigner resigns.
    resigning: bool,
    /// What the children have measured since the last response to the assigner.
    load: BTreeMap<SmolStr, LoadReport>,
    /// The highest term that a child knows.
    highest_term: u64,
}

impl Control {
    /// Takes on or gives up the duty of a relay as a message of the assigner says.
    pub(super) fn update_relay_duty(&mut self, sync: &SyncMessage) {
        match &mut self.relay {
            None if sync.relayed_after.is_some() => {
                let up = vec![sync.from.address];
                self.cx.set_load_peers(LoadPeers::Relayed { up, down: Vec::new() });
            }
            Some(_) if sync.relayed_after.is_some() => {}
            _ if sync.children.is_empty() => {
                self.relay = None;
                self.cx.set_load_peers(LoadPeers::All);
            }
            duty => {
                let now = self.cx.clock.now();
                let duty = duty.get_or_insert_default();
                (duty.heard_at, duty.resigning) = (now, sync.resigning);
                if duty.children != sync.children {
                    duty.children.clone_from(&sync.children);
                    self.fanout.retain(&sync.children);
                }
                let members = self.state.members.get();
                let addresses = |names: &[SmolStr]| {
                    let known = names.iter().filter_map(|name| members.get(name));
                    let others = known.filter(|member| member.instance != self.local.instance);
                    others.map(|member| member.address).collect::<Vec<_>>()
                };
                let mut up = addresses(&sync.relays);
                up.push(sync.from.address);
                let down = addresses(&sync.children);
                self.cx.set_load_peers(LoadPeers::Relayed { up, down });
            }
        }
    }

    /// Sends the state to the children, if this daemon is a relay and hears from the assigner.
    pub(super) fn sync_children(&mut self, control: &ActorRef<Control>) {
        let now = self.now();
        let timeout = self.assigner_timeout();
        let Some(duty) = &mut self.relay else { return };
        let is_assigner = matches!(self.role, Role::Assigner(_));
        if is_assigner || now.since(duty.heard_at) > timeout {
            self.relay = None;
            return;
        }
        let members = self.state.members.get();
        let children = duty.children.iter().filter_map(|child| members.get(child));
        let targets: Vec<Target> = children
            .filter(|member| !member.is_same_run(&self.local))
            .map(|member| Target {
                member: member.clone(),
                interval: SYNC_INTERVAL,
                children: Vec::new(),
            })
            .collect();
        let resigning = std::mem::take(&mut duty.resigning);
        self.send_syncs(control, &targets, resigning);
    }

    /// Records what a child has responded, for the next response to the assigner.
    pub(super) fn on_child_synced(&mut self, load: &[(SmolStr, LoadReport)], term: u64) {
        let Some(duty) = &mut self.relay else { return };
        duty.highest_term = duty.highest_term.max(term);
        for (service, report) in load {
            duty.load.entry(service.clone()).or_default().merge(report);
        }
    }

    /// Takes what the children have measured since the last call.
    pub(super) fn take_relayed_load(&mut self) -> Vec<(SmolStr, LoadReport)> {
        let load = self.relay.as_mut().map(|duty| std::mem::take(&mut duty.load));
        load.unwrap_or_default().into_iter().collect()
    }

    /// Returns the highest term that this daemon or one of its children knows.
    pub(super) fn highest_known_term(&self) -> u64 {
        self.relay.as_ref().map_or(self.term, |duty| duty.highest_term.max(self.term))
    }
}
