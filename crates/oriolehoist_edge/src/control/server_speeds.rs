//! How long servers take for a request: pooled by the assigner over what all daemons report, and sent to
//! them with its messages.

use {
    crate::process::Shared,
    oriolehoist_capacity::{
        Announced, Change, Cursor, MAX_ANNOUNCED, ServiceTimes, Speed, refresh_interval,
    },
    oriolehoist_keyspace::{LoadReport, ServerIncarnation},
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashSet},
        ops::RangeInclusive,
    },
};

/// The time between two updates of the estimates by the assigner.
const UPDATE_INTERVAL: Millis = Millis(200);
/// The service times that are accepted from the assigner, in tenths of a millisecond.
const ACCEPTED_TENTHS: RangeInclusive<u32> = 1..=6_000_000;
/// The maximum number of senders whose malformed speeds are logged.
const MAX_REPORTED_SENDERS: usize = 64;
/// How many times the refresh interval a speed is valid after it was sent, so that messages may be lost.
const VALID_REFRESHES: u64 = 3;

/// What a daemon knows of the speeds of servers.
#[derive(Debug, Default)]
pub(crate) struct ServerSpeeds {
    /// What the daemons have measured, by service. Only the assigner has it.
    service_times: BTreeMap<SmolStr, ServiceTimes<ServerIncarnation>>,
    /// What is sent to others.
    announced: Announced,
    next_update_at: Millis,
    /// The daemons whose malformed speeds have been logged.
    reported: HashSet<SmolStr>,
}

impl ServerSpeeds {
    /// Records what daemons have measured, as the assigner.
    pub(super) fn on_load(&mut self, now: Millis, reports: &[(SmolStr, LoadReport)]) {
        for (service, report) in reports.iter().filter(|(_, load)| !load.service_times.is_empty()) {
            let service_times = self.service_times.entry(service.clone()).or_default();
            for (server, millis, samples) in &report.service_times {
                service_times.add(now, server.clone(), *millis, *samples);
            }
        }
    }

    /// Updates the estimates from what the daemons have measured, as the assigner.
    pub(super) fn update(&mut self, cx: &Shared) {
        let now = cx.clock.now();
        if now < self.next_update_at {
            return;
        }
        self.next_update_at = now + UPDATE_INTERVAL;
        let Some(view) = cx.view.load() else { return };
        for (service, service_times) in &mut self.service_times {
            service_times.expire(now);
            let mean = service_times.mean(now).unwrap_or_default();
            for (server, estimate) in service_times.estimates(now) {
                // A server that is not registered any more needs no estimate.
                let backend = view.backends.get(&server.id);
                let Some(backend) = backend.filter(|backend| backend.incarnation == *server) else {
                    continue;
                };
                let change = self.announced.estimate(now, backend.short_id, estimate.millis);
                if let Some(Change { from: Some(from), to, .. }) = change {
                    let (id, samples, age) = (&server.id, estimate.samples, estimate.age.0);
                    let text = format_args!(
                        "server={id} service={service} old_ms={from:.0} new_ms={to:.0} \
                         mean_ms={mean:.0} samples={samples:.0} age_ms={age}"
                    );
                    report(Event::ServerSpeedChanged, text);
                }
            }
        }
        self.service_times.retain(|_, service_times| !service_times.is_empty());
        let valid_for = refresh_interval(self.announced.len()) * VALID_REFRESHES;
        self.announced.expire(now, valid_for);
        for Speed { server, tenths } in self.announced.speeds() {
            if let Some(backend) = view.backends_by_short_id.get(&server) {
                backend.on_pooled_service_time(now + valid_for, f64::from(tenths) / 10.0);
            }
        }
        cx.metrics.set_server_speeds(self.announced.len());
    }

    /// Takes over what the assigner has sent, also by way of a relay.
    pub(super) fn receive(&mut self, cx: &Shared, from: &SmolStr, speeds: &[(u32, u32)]) {
        let now = cx.clock.now();
        // Only the assigner has measurements of all daemons.
        self.service_times.clear();
        let accepted = speeds.iter().take(MAX_ANNOUNCED);
        let accepted = accepted.filter(|(_, tenths)| ACCEPTED_TENTHS.contains(tenths));
        let accepted: Vec<Speed> =
            accepted.map(|(server, tenths)| Speed { server: *server, tenths: *tenths }).collect();
        if accepted.len() < speeds.len()
            && self.reported.len() < MAX_REPORTED_SENDERS
            && self.reported.insert(from.clone())
        {
            let (sent, accepted) = (speeds.len(), accepted.len());
            let text = format_args!("from={from} sent={sent} accepted={accepted}");
            report(Event::ServerSpeedsMalformed, text);
        }
        for speed in &accepted {
            self.announced.receive(now, *speed);
        }
        let valid_for = refresh_interval(self.announced.len()) * VALID_REFRESHES;
        self.announced.expire(now, valid_for);
        let Some(view) = cx.view.load() else { return };
        for Speed { server, tenths } in &accepted {
            if let Some(backend) = view.backends_by_short_id.get(server) {
                backend.on_pooled_service_time(now + valid_for, f64::from(*tenths) / 10.0);
            }
        }
        if !accepted.is_empty() {
            cx.metrics.set_server_speeds(self.announced.len());
        }
    }

    /// Returns what to send a daemon with the next message.
    pub(super) fn due(&self, now: Millis, cursor: &mut Cursor) -> Vec<(u32, u32)> {
        let due = self.announced.due(now, cursor).into_iter();
        due.map(|speed| (speed.server, speed.tenths)).collect()
    }
}
