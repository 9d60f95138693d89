use {
    crate::{
        caller::{Outcome, RequestRecord},
        cluster::Cluster,
        oracle::{
            Availability, Violation, availability, duplicate_bookings, executed_despite_not_run,
            mismatched_responses, overlapping_owners, work_after_departure,
        },
        scenario::{
            run::{Report, Timeline},
            script::{Expectation, Script},
            settings_monitor::VersionObservation,
        },
        standin::{OwnershipInterval, Run},
    },
    oriolehoist_protocol::{Epoch, InstanceName, ServerName, Version},
    oriolehoist_time::Millis,
    std::collections::{BTreeMap, HashMap},
};

/// The maximum number of violations that one check reports.
const MAX_REPORTED: usize = 5;

/// Evaluates a scenario by what servers and callers recorded.
pub(super) fn evaluate(
    script: &Script,
    cluster: &Cluster,
    records: &[RequestRecord],
    timeline: &Timeline,
    observed_versions: &BTreeMap<InstanceName, Vec<VersionObservation>>,
) -> Report {
    let (runs, ownership_intervals) =
        (cluster.journal.runs(), cluster.journal.ownership_intervals());
    let evaluation = Evaluation {
        records,
        runs: &runs,
        timeline,
        observed_versions,
        running_daemons: cluster
            .daemons
            .iter()
            .filter(|d| d.is_alive())
            .map(|d| d.name.clone())
            .collect(),
        availability: availability(records, timeline.started, timeline.ended),
        moves: count_moves(&ownership_intervals, timeline.started),
        overlaps: overlapping_owners(&ownership_intervals, &runs),
        settings_version: cluster.settings_version(),
    };
    let mut violations = evaluation.check_invariants();
    for expectation in &script.expectations {
        violations.extend(evaluation.check(expectation));
    }
    Report {
        requests: records.len(),
        served: records.iter().filter(|r| r.is_served()).count(),
        availability: evaluation.availability.clone(),
        moves: evaluation.moves,
        violations,
    }
}

struct Evaluation<'a> {
    records: &'a [RequestRecord],
    runs: &'a [Run],
    timeline: &'a Timeline,
    observed_versions: &'a BTreeMap<InstanceName, Vec<VersionObservation>>,
    running_daemons: Vec<InstanceName>,
    availability: Availability,
    moves: u64,
    overlaps: Vec<Violation>,
    /// The version of the settings in the store.
    settings_version: Version,
}

impl Evaluation<'_> {
    /// Checks the invariants that must hold in every scenario.
    fn check_invariants(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        violations.extend(self.overlaps.iter().take(MAX_REPORTED).cloned());
        violations.extend(mismatched_responses(self.records).into_iter().take(MAX_REPORTED));
        violations
            .extend(duplicate_bookings(self.records, self.runs).into_iter().take(MAX_REPORTED));
        violations.extend(
            executed_despite_not_run(self.records, self.runs).into_iter().take(MAX_REPORTED),
        );
        if !self.records.iter().any(RequestRecord::is_served) {
            violations.push("no request was served at all".into());
        }
        violations
    }

    fn check(&self, expectation: &Expectation) -> Vec<Violation> {
        let violation_if =
            |broken: bool, text: String| if broken { vec![text] } else { Vec::new() };
        match expectation {
            Expectation::Interruption => violation_if(
                self.availability.affected_keys == 0,
                "the fault had no effect: no key had an outage".into(),
            ),
            Expectation::ServedAgain(bound) => violation_if(
                self.availability.longest_outage > *bound,
                format!(
                    "{} had an outage of {}, more than {bound}",
                    self.availability.longest_outage_key, self.availability.longest_outage
                ),
            ),
            Expectation::Served(percent) => {
                let served = self.records.iter().filter(|r| r.is_served()).count() as u64;
                let all = self.records.len() as u64;
                violation_if(
                    served * 100 < all * percent,
                    format!("{served} of {all} requests were served, less than {percent} %"),
                )
            }
            Expectation::NoRefusals => self.unserved_requests(),
            Expectation::Refusals(kind) => {
                let of_kind = |r: &RequestRecord| matches!(&r.outcome, Outcome::Refused { kind: k, .. } if k == kind);
                violation_if(
                    !self.records.iter().any(of_kind),
                    format!("no request was refused as {kind}"),
                )
            }
            Expectation::NoLateWork(bound) => self
                .timeline
                .departures
                .iter()
                .flat_map(|departure| {
                    work_after_departure(self.runs, &departure.server, departure.at, *bound)
                })
                .take(MAX_REPORTED)
                .collect(),
            Expectation::InForceWithin(bound) => self.check_settings_delay(*bound),
            Expectation::NoVersionFalls => self.check_version_order(),
            Expectation::Versions(count) => {
                let accepted = self.timeline.applied_versions.len() as u64;
                violation_if(
                    accepted != *count,
                    format!("{accepted} versions of the settings were accepted, not {count}"),
                )
            }
            Expectation::HeadVersion(number) => {
                let stored = self.settings_version.0;
                violation_if(
                    stored != *number,
                    format!("the store holds version {stored} of the settings, not {number}"),
                )
            }
            Expectation::CrashesAtMost(limit) => violation_if(
                self.timeline.crashes > *limit || self.timeline.crashes == 0,
                format!("{} servers crashed, expected 1 to {limit}", self.timeline.crashes),
            ),
            Expectation::StoreCalls(limit) => {
                let duration = self.timeline.ended.since(self.timeline.started).0.max(1);
                let rate = self.timeline.store_requests * 1000 / duration;
                violation_if(
                    rate > *limit,
                    format!("the store received {rate} requests per second, more than {limit}"),
                )
            }
            Expectation::RunsAt(key, server) => {
                let mut runs = self.runs.iter().filter(|r| r.key == *key).peekable();
                let elsewhere = runs.peek().is_none() || runs.any(|r| r.server.as_str() != server);
                violation_if(
                    elsewhere,
                    format!("requests for {key} did not run, or not only at {server}"),
                )
            }
            Expectation::MovesAtMost(limit) => violation_if(
                self.moves > *limit,
                format!("shards changed owner {} times, more than {limit}", self.moves),
            ),
            Expectation::MovesAtLeast(limit) => violation_if(
                self.moves < *limit,
                format!("shards changed owner {} times, less than {limit}", self.moves),
            ),
        }
    }

    fn unserved_requests(&self) -> Vec<Violation> {
        self.records
            .iter()
            .filter(|r| !r.is_served())
            .take(MAX_REPORTED)
            .map(|r| {
                format!(
                    "{} scheduled at {}: {:?} after {}",
                    r.id,
                    r.scheduled_at,
                    r.outcome,
                    r.latency()
                )
            })
            .collect()
    }

    /// Finds daemons that run at the end and did not apply each accepted version within `bound`.
    fn check_settings_delay(&self, bound: Millis) -> Vec<Violation> {
        let mut found = Vec::new();
        for applied in &self.timeline.applied_versions {
            for name in &self.running_daemons {
                let observations = self.observed_versions.get(name).map_or(&[][..], Vec::as_slice);
                let observation = observations.iter().find(|o| o.version >= applied.version.0);
                match observation {
                    Some(observation) if observation.observed_at <= applied.at + bound => {}
                    Some(observation) => found.push(format!(
                        "{name} applied settings version {} only after {}",
                        applied.version,
                        observation.observed_at.since(applied.at)
                    )),
                    None => found
                        .push(format!("{name} never applied settings version {}", applied.version)),
                }
            }
        }
        if self.timeline.applied_versions.is_empty() {
            found.push("no version of the settings was accepted".into());
        }
        found
    }

    fn check_version_order(&self) -> Vec<Violation> {
        let find_fall = |(name, list): (&InstanceName, &Vec<VersionObservation>)| {
            // A daemon that has just started has no settings and reports version 0, which is not an
            // older version.
            let versions: Vec<u64> = list.iter().map(|o| o.version).filter(|v| *v > 0).collect();
            let fall = versions.windows(2).find(|pair| pair[1] < pair[0])?;
            Some(format!("{name} went back from settings version {} to {}", fall[0], fall[1]))
        };
        self.observed_versions.iter().filter_map(find_fall).collect()
    }
}

/// Counts how often a shard changed its owner from `started` on.
fn count_moves(ownership_intervals: &[OwnershipInterval], started: Millis) -> u64 {
    let mut sorted: Vec<&OwnershipInterval> = ownership_intervals.iter().collect();
    sorted.sort_by_key(|interval| interval.epoch);
    let mut owners: HashMap<_, (Epoch, &ServerName)> = HashMap::new();
    let mut moves = 0;
    for interval in sorted {
        let previous =
            owners.insert((&interval.service, interval.shard), (interval.epoch, &interval.server));
        let moved = previous.is_some_and(|(_, server)| *server != interval.server);
        moves += u64::from(moved && interval.from >= started);
    }
    moves
}
