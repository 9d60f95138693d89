use {
    crate::{
        caller::{Outcome, RequestRecord},
        cluster::Cluster,
        oracle::{
            Availability, Violation, availability, duplicate_bookings, executed_despite_not_run,
            mismatched_responses, overlapping_owners, work_after_departure,
        },
        scenario::{
            run::{Happened, Report},
            script::{Expectation, Script},
            watch::Sighting,
        },
        standin::{OwnershipInterval, Run},
    },
    oriolehoist_protocol::{Epoch, InstanceName, ServerName, Version},
    oriolehoist_time::Millis,
    std::collections::{BTreeMap, HashMap},
};

/// How many violations of one kind are told.
const MAX_TOLD: usize = 5;

/// Judges a scenario by the servers' and the callers' records.
pub(super) fn judge(
    script: &Script,
    cluster: &Cluster,
    records: &[RequestRecord],
    happened: &Happened,
    settings: &BTreeMap<InstanceName, Vec<Sighting>>,
) -> Report {
    let (runs, ownership_intervals) =
        (cluster.journal.runs(), cluster.journal.ownership_intervals());
    let evidence = Evidence {
        records,
        runs: &runs,
        happened,
        settings,
        live: cluster.daemons.iter().filter(|d| d.is_alive()).map(|d| d.name.clone()).collect(),
        availability: availability(records, happened.started, happened.ended),
        moves: moves(&ownership_intervals, happened.started),
        overlaps: overlapping_owners(&ownership_intervals, &runs),
        head: cluster.settings_version(),
    };
    let mut violations = evidence.standing();
    for expectation in &script.expectations {
        violations.extend(evidence.check(expectation));
    }
    Report {
        requests: records.len(),
        served: records.iter().filter(|r| r.is_served()).count(),
        availability: evidence.availability.clone(),
        moves: evidence.moves,
        violations,
    }
}

struct Evidence<'a> {
    records: &'a [RequestRecord],
    runs: &'a [Run],
    happened: &'a Happened,
    settings: &'a BTreeMap<InstanceName, Vec<Sighting>>,
    live: Vec<InstanceName>,
    availability: Availability,
    moves: u64,
    overlaps: Vec<Violation>,
    /// The version of the settings that the store holds.
    head: Version,
}

impl Evidence<'_> {
    /// Judges what must hold in every scenario.
    fn standing(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        found.extend(self.overlaps.iter().take(MAX_TOLD).cloned());
        found.extend(mismatched_responses(self.records).into_iter().take(MAX_TOLD));
        found.extend(duplicate_bookings(self.records, self.runs).into_iter().take(MAX_TOLD));
        found.extend(executed_despite_not_run(self.records, self.runs).into_iter().take(MAX_TOLD));
        if !self.records.iter().any(RequestRecord::is_served) {
            found.push("no request was served at all".into());
        }
        found
    }

    fn check(&self, expectation: &Expectation) -> Vec<Violation> {
        let told = |broken: bool, text: String| if broken { vec![text] } else { Vec::new() };
        match expectation {
            Expectation::Interruption => told(
                self.availability.affected_keys == 0,
                "the fault struck nothing: no key was out of service".into(),
            ),
            Expectation::ServedAgain(bound) => told(
                self.availability.longest_outage > *bound,
                format!(
                    "{} was out of service for {}, bound {bound}",
                    self.availability.longest_outage_key, self.availability.longest_outage
                ),
            ),
            Expectation::Served(percent) => {
                let served = self.records.iter().filter(|r| r.is_served()).count() as u64;
                let all = self.records.len() as u64;
                told(served * 100 < all * percent, format!("{served} of {all} served"))
            }
            Expectation::NoRefusals => self.refusals(),
            Expectation::Refusals(kind) => {
                let of_kind = |r: &RequestRecord| matches!(&r.outcome, Outcome::Refused { kind: k, .. } if k == kind);
                told(!self.records.iter().any(of_kind), format!("no refusal of kind {kind} came"))
            }
            Expectation::NoLateWork(bound) => self
                .happened
                .left
                .iter()
                .flat_map(|left| work_after_departure(self.runs, &left.server, left.at, *bound))
                .take(MAX_TOLD)
                .collect(),
            Expectation::InForceWithin(bound) => self.late_settings(*bound),
            Expectation::NoVersionFalls => self.version_falls(),
            Expectation::Versions(count) => {
                let found = self.happened.applied.len() as u64;
                told(found != *count, format!("{found} versions were accepted, not {count}"))
            }
            Expectation::HeadVersion(number) => {
                let found = self.head.0;
                told(found != *number, format!("the store holds version {found}, not {number}"))
            }
            Expectation::CrashesAtMost(most) => told(
                self.happened.crashes > *most || self.happened.crashes == 0,
                format!("{} servers crashed", self.happened.crashes),
            ),
            Expectation::StoreCalls(most) => {
                let length = self.happened.ended.since(self.happened.started).0.max(1);
                let rate = self.happened.store_calls * 1000 / length;
                told(rate > *most, format!("{rate} calls a second to the store"))
            }
            Expectation::RunsAt(key, server) => {
                let mut runs = self.runs.iter().filter(|r| r.key == *key).peekable();
                let elsewhere = runs.peek().is_none() || runs.any(|r| r.server.as_str() != server);
                told(elsewhere, format!("{key} did not run at {server} alone"))
            }
            Expectation::MovesAtMost(most) => {
                told(self.moves > *most, format!("{} shards changed owner", self.moves))
            }
            Expectation::MovesAtLeast(least) => {
                told(self.moves < *least, format!("{} shards changed owner", self.moves))
            }
        }
    }

    fn refusals(&self) -> Vec<Violation> {
        self.records
            .iter()
            .filter(|r| !r.is_served())
            .take(MAX_TOLD)
            .map(|r| {
                format!("{} due at {}: {:?} after {}", r.id, r.scheduled_at, r.outcome, r.latency())
            })
            .collect()
    }

    /// Finds daemons that live at the end and had an accepted version too late.
    fn late_settings(&self, bound: Millis) -> Vec<Violation> {
        let mut found = Vec::new();
        for applied in &self.happened.applied {
            for name in &self.live {
                let sightings = self.settings.get(name).map_or(&[][..], Vec::as_slice);
                let had = sightings.iter().find(|s| s.version >= applied.version.0);
                match had {
                    Some(seen) if seen.at <= applied.at + bound => {}
                    Some(seen) => found.push(format!(
                        "{name} had version {} after {}",
                        applied.version,
                        seen.at.since(applied.at)
                    )),
                    None => found.push(format!("{name} never had version {}", applied.version)),
                }
            }
        }
        if self.happened.applied.is_empty() {
            found.push("no version was accepted".into());
        }
        found
    }

    fn version_falls(&self) -> Vec<Violation> {
        let falls = |(name, list): (&InstanceName, &Vec<Sighting>)| {
            // A daemon that has just started has no settings, which is not an older version.
            let versions: Vec<u64> = list.iter().map(|s| s.version).filter(|v| *v > 0).collect();
            let fall = versions.windows(2).find(|pair| pair[1] < pair[0])?;
            Some(format!("{name} went from version {} to {}", fall[0], fall[1]))
        };
        self.settings.iter().filter_map(falls).collect()
    }
}

/// Counts how often, from `started` on, a shard was owned by another server than before.
fn moves(ownership_intervals: &[OwnershipInterval], started: Millis) -> u64 {
    let mut sorted: Vec<&OwnershipInterval> = ownership_intervals.iter().collect();
    sorted.sort_by_key(|b| b.epoch);
    let mut owners: HashMap<_, (Epoch, &ServerName)> = HashMap::new();
    let mut moves = 0;
    for interval in sorted {
        let before =
            owners.insert((&interval.service, interval.shard), (interval.epoch, &interval.server));
        let moved = before.is_some_and(|(_, server)| *server != interval.server);
        moves += u64::from(moved && interval.from >= started);
    }
    moves
}
