use {oriolehoist_port::InstanceSize, smol_str::SmolStr, std::collections::BTreeMap};

/// Up to this number of daemons, the assigner sends its messages to each of them itself.
pub const MAX_DIRECT: usize = 20;

/// A daemon, as the assigner knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its availability zone.
    pub zone: SmolStr,
    /// The size of its machine.
    pub size: InstanceSize,
    /// Whether it has confirmed the last message that it got, from the assigner or from a relay.
    pub responds: bool,
    /// Whether its program can relay messages.
    pub can_relay: bool,
}

/// A relay, and the daemons that get the assigner's messages from it, as indices of candidates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The relay.
    pub relay: usize,
    /// The daemons that it passes messages on to.
    pub children: Vec<usize>,
}

/// Which daemons relay the assigner's messages to which others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Relays {
    /// The groups with a relay.
    pub groups: Vec<Group>,
    /// The daemons that get the messages from the assigner itself.
    pub direct: Vec<usize>,
}

impl Relays {
    /// Divides the daemons into groups within their availability zones, each with about as many
    /// daemons as there are groups. The largest ones that respond are the relays.
    ///
    /// Messages of all daemons at the assigner, and at each relay, grow with the square root of the
    /// number of daemons. Daemons that don't respond belong to no group, so that they hold up no
    /// relay.
    pub fn plan(candidates: &[Candidate]) -> Relays {
        if candidates.len() <= MAX_DIRECT {
            return Relays { groups: Vec::new(), direct: (0..candidates.len()).collect() };
        }
        let mut relays = Relays::default();
        let mut zones: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, candidate) in candidates.iter().enumerate() {
            match candidate.responds {
                true => zones.entry(&candidate.zone).or_default().push(index),
                false => relays.direct.push(index),
            }
        }
        let group_count = (candidates.len() as f64).sqrt();
        for mut members in zones.into_values() {
            let share = members.len() as f64 / candidates.len() as f64;
            let count = ((group_count * share).round() as usize).clamp(1, members.len());
            // The sort is stable, so the order of the candidates decides between equal sizes.
            members.sort_by_key(|index| {
                let candidate = &candidates[*index];
                std::cmp::Reverse((candidate.can_relay, candidate.size))
            });
            let able = members.iter().filter(|index| candidates[**index].can_relay).count();
            let count = count.min(able);
            if count == 0 {
                relays.direct.extend(members);
                continue;
            }
            let mut groups: Vec<Group> = members[..count]
                .iter()
                .map(|relay| Group { relay: *relay, children: Vec::new() })
                .collect();
            for (position, child) in members[count..].iter().enumerate() {
                groups[position % count].children.push(*child);
            }
            relays.groups.extend(groups);
        }
        relays
    }
}
