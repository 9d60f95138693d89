use {
    oriolehoist_protocol::{ServerAddress, ServiceName, Term, TermRecord, Witness, ZoneName},
    std::collections::BTreeMap,
};

/// A live daemon that can be chosen as a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessCandidate {
    /// The daemon.
    pub witness: Witness,
    /// The daemon's availability zone.
    pub zone: ZoneName,
}

/// The maximum number of witnesses. Five tolerate the loss of any two.
const MAX_WITNESSES: usize = 5;

/// Chooses an odd number of witnesses among the live peers, spread over availability zones.
///
/// The holder is its own witness only if it has no peers. If it has peers but cannot reach any of
/// them, it must stop renewing grants, which would not happen if it were its own witness.
pub fn choose_witnesses(holder: &Witness, peers: &[WitnessCandidate]) -> Vec<Witness> {
    let mut zones: BTreeMap<&ZoneName, Vec<&Witness>> = BTreeMap::new();
    for peer in peers.iter().filter(|p| p.witness.instance != holder.instance) {
        zones.entry(&peer.zone).or_default().push(&peer.witness);
    }
    for candidates in zones.values_mut() {
        candidates.sort_by(|a, b| b.instance.cmp(&a.instance));
    }
    let mut chosen = Vec::new();
    while chosen.len() < MAX_WITNESSES && zones.values().any(|candidates| !candidates.is_empty()) {
        let one_per_zone = zones.values_mut().filter_map(Vec::pop).cloned();
        chosen.extend(one_per_zone);
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

/// Creates the first record of a service. The caller sets the write id.
pub fn initial_record(
    service: ServiceName,
    holder: Witness,
    peers: &[WitnessCandidate],
    servers: Vec<ServerAddress>,
) -> TermRecord {
    TermRecord {
        witnesses: choose_witnesses(&holder, peers),
        service,
        term: Term(1),
        holder,
        unsettled: Vec::new(),
        servers,
        unlisted_servers: false,
        write_id: Default::default(),
    }
}

/// Creates the record that follows `previous`, under the next term. The caller sets the write id.
///
/// The previous witness set becomes unsettled, in addition to all sets that already were: a
/// previous holder may continue to renew grants until a majority of *its* witnesses has accepted a
/// higher term. This also applies if a holder replaces its own record, because it continues to rely
/// on the previous witnesses if the response to its write is lost.
pub fn successor_record(
    previous: &TermRecord,
    holder: Witness,
    peers: &[WitnessCandidate],
    servers: Vec<ServerAddress>,
) -> TermRecord {
    let mut unsettled = previous.unsettled.clone();
    // A record without witnesses has been released by an operator.
    if !previous.witnesses.is_empty() && !unsettled.contains(&previous.witnesses) {
        unsettled.push(previous.witnesses.clone());
    }
    let is_listed = |server: &ServerAddress| servers.iter().any(|s| s.address == server.address);
    TermRecord {
        service: previous.service.clone(),
        term: previous.term.next(),
        witnesses: choose_witnesses(&holder, peers),
        holder,
        unsettled,
        unlisted_servers: previous.unlisted_servers || !previous.servers.iter().all(is_listed),
        servers,
        write_id: Default::default(),
    }
}

/// Returns the record of the same term after all grants of previous holders have expired. The
/// caller sets the write id.
pub fn settled_record(record: &TermRecord) -> TermRecord {
    TermRecord { unsettled: Vec::new(), unlisted_servers: false, ..record.clone() }
}
