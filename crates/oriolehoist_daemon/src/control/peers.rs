use {
    crate::control::message::PeerStatus,
    oriolehoist_ownership::{TakeoverRank, WitnessCandidate},
    oriolehoist_platform::{Instance, InstanceRole, InstanceState},
    oriolehoist_protocol::{PeerHello, ServerName, ServiceName, Version, Witness},
    oriolehoist_time::Millis,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// How long a peer that says nothing counts as live.
const LIVE_FOR: Millis = Millis(1500);
/// How long an address that never answers is remembered.
const FORGOTTEN_AFTER: Millis = Millis::from_secs(600);

/// The other daemons, and the servers that the platform says are leaving.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: BTreeMap<SocketAddr, Peer>,
    leaving_servers: BTreeSet<ServerName>,
    listed: bool,
}

#[derive(Debug)]
struct Peer {
    added: Millis,
    seen: Option<Seen>,
}

#[derive(Debug)]
struct Seen {
    at: Millis,
    hello: PeerHello,
}

impl Peers {
    /// Adds addresses at which daemons may be found.
    pub(crate) fn learn(
        &mut self,
        now: Millis,
        me: SocketAddr,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        for address in addresses.into_iter().filter(|&a| a != me) {
            self.known.entry(address).or_insert(Peer { added: now, seen: None });
        }
    }

    /// Takes the platform's list. It lags, so it only adds daemons and never removes one.
    pub(crate) fn on_list(&mut self, now: Millis, me: SocketAddr, list: &[Instance]) {
        let entries = list.iter().filter(|i| i.role == InstanceRole::Entry);
        self.learn(now, me, entries.map(|i| i.address));
        self.listed = true;
        self.leaving_servers = list
            .iter()
            .filter(|i| i.role == InstanceRole::Server && i.state == InstanceState::Leaving)
            .map(|i| ServerName(i.name.0.clone()))
            .collect();
    }

    /// Notes a peer's answer.
    pub(crate) fn on_hello(&mut self, now: Millis, address: SocketAddr, hello: PeerHello) {
        let peer = self.known.entry(address).or_insert(Peer { added: now, seen: None });
        peer.seen = Some(Seen { at: now, hello });
    }

    /// Forgets addresses that have not answered for long.
    pub(crate) fn forget_old(&mut self, now: Millis) {
        self.known.retain(|_, peer| {
            let last = peer.seen.as_ref().map_or(peer.added, |seen| seen.at);
            now.since(last) < FORGOTTEN_AFTER
        });
    }

    /// Returns every address at which a daemon may be found.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.known.keys().copied()
    }

    /// Returns the daemons that have answered lately.
    pub(crate) fn live(&self, now: Millis) -> impl Iterator<Item = &PeerHello> + '_ {
        self.known
            .values()
            .filter_map(|peer| peer.seen.as_ref())
            .filter(move |seen| now.since(seen.at) < LIVE_FOR)
            .map(|seen| &seen.hello)
    }

    /// Returns the live daemons that stay, as possible witnesses.
    pub(crate) fn witnesses(&self, now: Millis) -> Vec<WitnessCandidate> {
        self.live(now)
            .filter(|hello| !hello.leaving)
            .map(|hello| WitnessCandidate {
                witness: hello.witness.clone(),
                zone: hello.zone.clone(),
            })
            .collect()
    }

    /// Returns this daemon's rank among the live ones for taking over a service's term.
    ///
    /// The order differs from service to service, so that the terms spread over the daemons.
    pub(crate) fn rank(&self, now: Millis, me: &Witness, service: &ServiceName) -> TakeoverRank {
        let order = |witness: &Witness| {
            oriolehoist_protocol::ShardId::of_key(
                &format!("{service}/{}", witness.instance),
                u32::MAX,
            )
        };
        let mine = order(me);
        let before = self.live(now).filter(|h| !h.leaving && order(&h.witness) < mine).count();
        TakeoverRank(u32::try_from(before).unwrap_or(u32::MAX))
    }

    /// Returns the live peer with the newest settings, if they are newer than `version`.
    pub(crate) fn newer_settings(&self, now: Millis, version: Version) -> Option<SocketAddr> {
        let newest = self.live(now).max_by_key(|hello| hello.settings)?;
        (newest.settings > version).then_some(newest.witness.address)
    }

    /// Returns the newest version of the settings that a live peer has.
    pub(crate) fn newest_settings(&self, now: Millis) -> Version {
        self.live(now).map(|hello| hello.settings).max().unwrap_or_default()
    }

    /// Returns whether the list was read and every daemon on it has answered.
    pub(crate) fn all_asked(&self) -> bool {
        self.listed && self.known.values().all(|peer| peer.seen.is_some())
    }

    /// Returns the live peer that routes by the newest assignment of a service.
    pub(crate) fn newest_assignment(
        &self,
        now: Millis,
        service: &ServiceName,
    ) -> Option<SocketAddr> {
        let heard = |h: &PeerHello| {
            h.assigner_contacts
                .iter()
                .find(|heard| heard.service == *service)
                .map(|heard| heard.assignment)
        };
        self.live(now).max_by_key(|h| heard(h)).map(|h| h.witness.address)
    }

    /// Returns how many live peers have, and have not, heard the assigner of a service after `since`.
    pub(crate) fn hearing(&self, now: Millis, service: &ServiceName, since: Millis) -> Hearing {
        let mut hearing = Hearing::default();
        for seen in self.known.values().filter_map(|peer| peer.seen.as_ref()) {
            let heard = seen.hello.assigner_contacts.iter().find(|h| h.service == *service);
            match heard.and_then(|heard| heard.last_heartbeat_age) {
                _ if now.since(seen.at) >= LIVE_FOR => {}
                Some(ago) if seen.at.since(ago) > since => hearing.hear += 1,
                _ => hearing.miss += 1,
            }
        }
        hearing
    }

    /// Returns the servers that the platform says are leaving.
    pub(crate) fn leaving_servers(&self) -> &BTreeSet<ServerName> {
        &self.leaving_servers
    }

    /// Lists the live peers for operators.
    pub(crate) fn status(&self, now: Millis) -> Vec<PeerStatus> {
        self.live(now)
            .map(|hello| PeerStatus {
                instance: hello.witness.instance.clone(),
                address: hello.witness.address,
                settings: hello.settings,
                leaving: hello.leaving,
            })
            .collect()
    }
}

/// How many peers hear an assigner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Hearing {
    pub(crate) hear: usize,
    pub(crate) miss: usize,
}
