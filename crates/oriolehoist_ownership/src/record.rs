use {
    oriolehoist_protocol::{ServerAddress, ServiceName, Term, TermRecord, Witness, ZoneName},
    std::collections::BTreeMap,
};

/// A live daemon that can be named as a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The daemon.
    pub witness: Witness,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The greatest number of witnesses. Five tolerate the loss of any two.
const MAX_WITNESSES: usize = 5;

/// Chooses witnesses among the live peers: an odd number, spread over availability zones.
///
/// The holder is its own witness only when it has no peer: otherwise a holder that is cut off from
/// every peer must stop renewing.
pub fn choose_witnesses(holder: &Witness, peers: &[PeerView]) -> Vec<Witness> {
    let mut zones: BTreeMap<&ZoneName, Vec<&Witness>> = BTreeMap::new();
    for peer in peers.iter().filter(|p| p.witness.instance != holder.instance) {
        zones.entry(&peer.zone).or_default().push(&peer.witness);
    }
    for members in zones.values_mut() {
        members.sort_by(|a, b| b.instance.cmp(&a.instance));
    }
    let mut chosen = Vec::new();
    while chosen.len() < MAX_WITNESSES && zones.values().any(|m| !m.is_empty()) {
        let round = zones.values_mut().filter_map(Vec::pop).cloned();
        chosen.extend(round);
    }
    chosen.truncate(MAX_WITNESSES);
    if chosen.is_empty() {
        chosen.push(holder.clone());
    }
    if chosen.len() > 1 && chosen.len().is_multiple_of(2) {
        chosen.pop();
    }
    chosen
}

/// Makes the first record of a service.
pub fn initial_record(
    service: ServiceName,
    holder: Witness,
    peers: &[PeerView],
    servers: Vec<ServerAddress>,
) -> TermRecord {
    TermRecord {
        witnesses: choose_witnesses(&holder, peers),
        service,
        term: Term(1),
        holder,
        unsettled: Vec::new(),
        servers,
        write_id: Default::default(),
    }
}

/// Makes the record that follows `previous`.
///
/// The previous witnesses become unsettled, together with every set that was unsettled before: an
/// earlier holder may go on renewing until a majority of *its* witnesses has accepted a higher
/// term. The rule is the same when a holder succeeds itself, since the reply to its write may be
/// lost and it then still relies on the earlier witnesses.
pub fn successor_record(
    previous: &TermRecord,
    holder: Witness,
    peers: &[PeerView],
    servers: Vec<ServerAddress>,
) -> TermRecord {
    let mut unsettled = previous.unsettled.clone();
    // A record without witnesses is one that an operator has released.
    if !previous.witnesses.is_empty() && !unsettled.contains(&previous.witnesses) {
        unsettled.push(previous.witnesses.clone());
    }
    TermRecord {
        service: previous.service.clone(),
        term: previous.term.next(),
        witnesses: choose_witnesses(&holder, peers),
        holder,
        unsettled,
        servers,
        write_id: Default::default(),
    }
}
