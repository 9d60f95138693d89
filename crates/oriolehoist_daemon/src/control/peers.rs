use {
    crate::control::message::PeerStatus,
    oriolehoist_ownership::{TakeoverRank, WitnessCandidate},
    oriolehoist_platform::{Instance, InstanceRole, InstanceState},
    oriolehoist_protocol::{PeerHello, ServerName, ServiceName, Version, Witness, shown_build},
    oriolehoist_time::Millis,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// How long a peer counts as live after its last response.
const LIVENESS_TIMEOUT: Millis = Millis(1500);
/// How long the address of a peer that does not respond is kept.
const PEER_EXPIRY: Millis = Millis::from_secs(600);

/// The known peers, and the backend servers that the platform last listed as leaving.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: BTreeMap<SocketAddr, Peer>,
    leaving_servers: BTreeSet<ServerName>,
    /// Whether the platform's list of instances has been read.
    list_read: bool,
}

/// A possible peer at a known address.
#[derive(Debug)]
struct Peer {
    /// When the address was added.
    added: Millis,
    /// The last response, if there was one.
    last_hello: Option<ReceivedHello>,
}

/// A response to `/hello`, and when it was received.
#[derive(Debug)]
struct ReceivedHello {
    at: Millis,
    hello: PeerHello,
}

impl Peers {
    /// Adds addresses of possible peers.
    pub(crate) fn add_addresses(
        &mut self,
        now: Millis,
        own_address: SocketAddr,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        for address in addresses.into_iter().filter(|&a| a != own_address) {
            self.known.entry(address).or_insert(Peer { added: now, last_hello: None });
        }
    }

    /// Handles the platform's list of instances. The list lags, so it adds peers but never removes
    /// any.
    pub(crate) fn on_instance_list(
        &mut self,
        now: Millis,
        own_address: SocketAddr,
        list: &[Instance],
    ) {
        let daemons = list.iter().filter(|i| i.role == InstanceRole::Entry);
        self.add_addresses(now, own_address, daemons.map(|i| i.address));
        self.list_read = true;
        for server in list.iter().filter(|i| i.role == InstanceRole::Server) {
            let name = ServerName(server.name.0.clone());
            match server.state {
                InstanceState::Leaving => drop(self.leaving_servers.insert(name)),
                InstanceState::Live => drop(self.leaving_servers.remove(&name)),
            }
        }
    }

    /// Records a peer's response to `/hello`.
    pub(crate) fn on_hello(&mut self, now: Millis, address: SocketAddr, hello: PeerHello) {
        let peer = self.known.entry(address).or_insert(Peer { added: now, last_hello: None });
        peer.last_hello = Some(ReceivedHello { at: now, hello });
    }

    /// Removes the addresses that have not responded for [`PEER_EXPIRY`].
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.known.retain(|_, peer| {
            let last_seen = peer.last_hello.as_ref().map_or(peer.added, |last| last.at);
            now.since(last_seen) < PEER_EXPIRY
        });
    }

    /// Returns the addresses of all known peers, live or not.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.known.keys().copied()
    }

    /// Returns the latest responses of the live peers.
    pub(crate) fn live(&self, now: Millis) -> impl Iterator<Item = &PeerHello> + '_ {
        self.known
            .values()
            .filter_map(|peer| peer.last_hello.as_ref())
            .filter(move |last| now.since(last.at) < LIVENESS_TIMEOUT)
            .map(|last| &last.hello)
    }

    /// Returns the live peers that are not stopping, as possible witnesses.
    pub(crate) fn witness_candidates(&self, now: Millis) -> Vec<WitnessCandidate> {
        self.live(now)
            .filter(|hello| !hello.leaving)
            .map(|hello| WitnessCandidate {
                witness: hello.witness.clone(),
                zone: hello.zone.clone(),
            })
            .collect()
    }

    /// Returns this daemon's position among the live daemons in the takeover order of a service.
    ///
    /// Each service orders the daemons by a hash of its name and theirs, so that the terms spread
    /// over the daemons.
    pub(crate) fn takeover_rank(
        &self,
        now: Millis,
        identity: &Witness,
        service: &ServiceName,
    ) -> TakeoverRank {
        let hash = |witness: &Witness| {
            oriolehoist_protocol::ShardId::of_key(
                &format!("{service}/{}", witness.instance),
                u32::MAX,
            )
        };
        let own_hash = hash(identity);
        let ahead = self.live(now).filter(|h| !h.leaving && hash(&h.witness) < own_hash).count();
        TakeoverRank(u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    /// Returns the address of the live peer with the newest settings if they are newer than
    /// `version`.
    pub(crate) fn peer_with_newer_settings(
        &self,
        now: Millis,
        version: Version,
    ) -> Option<SocketAddr> {
        let newest = self.live(now).max_by_key(|hello| hello.settings)?;
        (newest.settings > version).then_some(newest.witness.address)
    }

    /// Returns the newest settings version that a live peer has.
    pub(crate) fn newest_settings(&self, now: Millis) -> Version {
        self.live(now).map(|hello| hello.settings).max().unwrap_or_default()
    }

    /// Returns whether the platform's list has been read and every known peer has responded.
    pub(crate) fn have_all_responded(&self) -> bool {
        self.list_read && self.known.values().all(|peer| peer.last_hello.is_some())
    }

    /// Returns the address of the live peer that routes by the newest assignment of a service.
    pub(crate) fn peer_with_newest_assignment(
        &self,
        now: Millis,
        service: &ServiceName,
    ) -> Option<SocketAddr> {
        let assignment = |h: &PeerHello| {
            h.assigner_contacts
                .iter()
                .find(|contact| contact.service == *service)
                .map(|contact| contact.assignment)
        };
        self.live(now).max_by_key(|h| assignment(h)).map(|h| h.witness.address)
    }

    /// Counts the live peers that have, and that have not, had a heartbeat from a service's
    /// assigner after `since`.
    pub(crate) fn count_assigner_contacts(
        &self,
        now: Millis,
        service: &ServiceName,
        since: Millis,
    ) -> ContactCounts {
        let mut counts = ContactCounts::default();
        for last in self.known.values().filter_map(|peer| peer.last_hello.as_ref()) {
            let contact = last.hello.assigner_contacts.iter().find(|h| h.service == *service);
            match contact.and_then(|contact| contact.last_heartbeat_age) {
                _ if now.since(last.at) >= LIVENESS_TIMEOUT => {}
                Some(ago) if last.at.since(ago) > since => counts.in_contact += 1,
                _ => counts.out_of_contact += 1,
            }
        }
        counts
    }

    /// Returns the backend servers that the platform last listed as leaving. Those that have vanished
    /// from the list are among them: they have stopped, or will soon.
    pub(crate) fn leaving_servers(&self) -> &BTreeSet<ServerName> {
        &self.leaving_servers
    }

    /// Returns the status of the live peers, for operators.
    pub(crate) fn status(&self, now: Millis) -> Vec<PeerStatus> {
        self.live(now)
            .map(|hello| PeerStatus {
                instance: hello.witness.instance.clone(),
                address: hello.witness.address,
                settings: hello.settings,
                leaving: hello.leaving,
                build: shown_build(hello.build.as_deref()),
            })
            .collect()
    }
}

/// How many live peers do and do not get an assigner's heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ContactCounts {
    pub(crate) in_contact: usize,
    pub(crate) out_of_contact: usize,
}
