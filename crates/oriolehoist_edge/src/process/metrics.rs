use {
    crate::process::lock,
    oriolehoist_admission::ProbeEnd,
    oriolehoist_explain::ExplainErrorKind,
    oriolehoist_port::{StoreEra, StoreRequestKind},
    oriolehoist_protocol::BuildCounts,
    oriolehoist_reach::{HandOverEnd, ReachSummary},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
        Opts, Registry, TextEncoder,
    },
    smol_str::SmolStr,
    std::{collections::BTreeSet, sync::Mutex},
};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.012, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 3.0];

/// The Prometheus metrics of a daemon.
pub(crate) struct Metrics {
    registry: Registry,
    requests: HistogramVec,
    refusals: IntCounterVec,
    malformed_requests: IntCounterVec,
    store_calls: IntCounterVec,
    store_checks: IntCounterVec,
    orders: IntCounterVec,
    syncs: IntCounterVec,
    handovers: IntCounterVec,
    sync_bytes: IntCounter,
    server_limits: IntCounterVec,
    server_statements: IntCounterVec,
    warm_up_limits: IntCounterVec,
    permit_queries: IntCounterVec,
    permits: IntCounterVec,
    explanations: IntCounterVec,
    cold_servers: IntGauge,
    held: IntGaugeVec,
    held_ends: IntCounterVec,
    held_ms: IntCounter,
    endless_responses: IntCounter,
    unexpected_responses: IntCounterVec,
    abandoned: IntCounter,
    servers_age: IntGauge,
    config_age: IntGauge,
    store_era: IntGauge,
    store_away: IntGauge,
    servers_reached: IntGauge,
    servers_lost: IntGauge,
    evacuated_zones: IntGauge,
    evacuations_age: IntGauge,
    evacuated_keys: IntGauge,
    server_speeds: IntGauge,
    daemons: IntGaugeVec,
    load_probes: IntCounterVec,
    load_probe_corrections: IntCounter,
    builds: Mutex<BuildCounts>,
    /// The services whose servers were probed for their load.
    probed_services: Mutex<BTreeSet<SmolStr>>,
}

impl Metrics {
    pub(crate) fn new() -> eyre::Result<Metrics> {
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let requests = HistogramOpts::new("oriolehoist_request_seconds", "Whole time of requests.");
        let metrics = Metrics {
            registry: Registry::new(),
            requests: HistogramVec::new(requests.buckets(BUCKETS.to_vec()), &["service"])?,
            refusals: counter("oriolehoist_refusals_total", "Refused requests.", "kind")?,
            malformed_requests: counter(
                "oriolehoist_unreadable_total",
                "Unreadable requests.",
                "status",
            )?,
            store_calls: counter("oriolehoist_store_calls_total", "Calls to the store.", "kind")?,
            store_checks: counter(
                "oriolehoist_store_checks_total",
                "Calls to a store of which one other daemon said that it fails.",
                "end",
            )?,
            orders: IntCounterVec::new(
                Opts::new("oriolehoist_orders_total", "Orders to servers."),
                &["end", "connection"],
            )?,
            syncs: counter("oriolehoist_syncs_total", "Messages to the other daemons.", "end")?,
            handovers: counter(
                "oriolehoist_handovers_total",
                "Requests that were handed over to other daemons.",
                "end",
            )?,
            server_limits: counter(
                "oriolehoist_server_limits_total",
                "Changes of the limits that servers name.",
                "change",
            )?,
            server_statements: counter(
                "oriolehoist_server_statements_total",
                "Servers that leave or pause, as they say themselves.",
                "statement",
            )?,
            warm_up_limits: counter(
                "oriolehoist_warm_up_limited_total",
                "Requests that a cold server did not get.",
                "end",
            )?,
            permit_queries: counter(
                "oriolehoist_permit_queries_total",
                "Queries for permits to send requests that this daemon has made.",
                "end",
            )?,
            permits: counter(
                "oriolehoist_permits_total",
                "Queries for permits that this daemon has answered.",
                "end",
            )?,
            explanations: counter(
                "oriolehoist_explanations_total",
                "Requests that operators asked about.",
                "end",
            )?,
            cold_servers: IntGauge::new(
                "oriolehoist_cold_servers",
                "Servers that count as cold at this daemon.",
            )?,
            held: IntGaugeVec::new(
                Opts::new(
                    "oriolehoist_held_requests",
                    "Requests that wait here, as their servers' queues are needed for urgent ones.",
                ),
                &["service"],
            )?,
            held_ends: counter(
                "oriolehoist_held_requests_total",
                "Requests that waited for a server's queue.",
                "end",
            )?,
            held_ms: IntCounter::new(
                "oriolehoist_held_ms_total",
                "Milliseconds that requests waited for a server's queue.",
            )?,
            endless_responses: IntCounter::new(
                "oriolehoist_endless_responses_total",
                "Responses of servers that were given up because they had no end.",
            )?,
            unexpected_responses: counter(
                "oriolehoist_unexpected_responses_total",
                "Responses of servers that were skipped, as they may belong to other calls.",
                "call",
            )?,
            abandoned: IntCounter::new(
                "oriolehoist_abandoned_requests_total",
                "Requests that were given up because their callers had left.",
            )?,
            sync_bytes: IntCounter::new(
                "oriolehoist_sync_bytes_total",
                "Bytes of the messages to the other daemons.",
            )?,
            servers_age: IntGauge::new(
                "oriolehoist_servers_age_milliseconds",
                "The time since the list of servers was last confirmed.",
            )?,
            config_age: IntGauge::new(
                "oriolehoist_settings_age_milliseconds",
                "The time since the configuration was last confirmed.",
            )?,
            store_era: IntGauge::new("oriolehoist_store_era", "The era of the store's data.")?,
            store_away: IntGauge::new(
                "oriolehoist_store_away",
                "Whether the platform's store does not answer this daemon or the others.",
            )?,
            servers_reached: IntGauge::new(
                "oriolehoist_servers_reached",
                "Servers with keys that have answered this daemon lately.",
            )?,
            servers_lost: IntGauge::new(
                "oriolehoist_servers_lost",
                "Servers with keys that this daemon can't reach.",
            )?,
            evacuated_zones: IntGauge::new(
                "oriolehoist_evacuated_zones",
                "Availability zones that are evacuated.",
            )?,
            evacuations_age: IntGauge::new(
                "oriolehoist_evacuations_age_milliseconds",
                "The time since the evacuated zones were last confirmed.",
            )?,
            evacuated_keys: IntGauge::new(
                "oriolehoist_evacuated_keys",
                "Keys that have not left evacuated zones, at the assigner.",
            )?,
            server_speeds: IntGauge::new(
                "oriolehoist_server_speeds",
                "Servers whose service time is known from the measurements of all daemons.",
            )?,
            daemons: IntGaugeVec::new(
                Opts::new("oriolehoist_daemons", "Daemons that this one knows of, by build."),
                &["build"],
            )?,
            load_probes: counter(
                "oriolehoist_load_probes_total",
                "Probes of servers for their load.",
                "end",
            )?,
            load_probe_corrections: IntCounter::new(
                "oriolehoist_load_probe_corrections_ms_total",
                "By how much load probes have changed expected latencies, in milliseconds.",
            )?,
            builds: Mutex::default(),
            probed_services: Mutex::default(),
        };
        metrics.registry.register(Box::new(metrics.requests.clone()))?;
        let Metrics { refusals, malformed_requests, store_calls, store_checks, .. } = &metrics;
        let Metrics { orders, syncs, handovers, server_limits, server_statements, .. } = &metrics;
        let requests = [refusals, malformed_requests, server_limits, server_statements];
        let counters =
            requests.into_iter().chain([store_calls, store_checks, orders, syncs, handovers]);
        for counter in counters {
            metrics.registry.register(Box::new(counter.clone()))?;
        }
        metrics.registry.register(Box::new(metrics.warm_up_limits.clone()))?;
        metrics.registry.register(Box::new(metrics.permit_queries.clone()))?;
        metrics.registry.register(Box::new(metrics.permits.clone()))?;
        metrics.registry.register(Box::new(metrics.explanations.clone()))?;
        metrics.registry.register(Box::new(metrics.cold_servers.clone()))?;
        metrics.registry.register(Box::new(metrics.held.clone()))?;
        metrics.registry.register(Box::new(metrics.held_ends.clone()))?;
        metrics.registry.register(Box::new(metrics.held_ms.clone()))?;
        metrics.registry.register(Box::new(metrics.endless_responses.clone()))?;
        metrics.registry.register(Box::new(metrics.unexpected_responses.clone()))?;
        metrics.registry.register(Box::new(metrics.abandoned.clone()))?;
        metrics.registry.register(Box::new(metrics.sync_bytes.clone()))?;
        metrics.registry.register(Box::new(metrics.servers_age.clone()))?;
        metrics.registry.register(Box::new(metrics.config_age.clone()))?;
        metrics.registry.register(Box::new(metrics.store_era.clone()))?;
        metrics.registry.register(Box::new(metrics.store_away.clone()))?;
        metrics.registry.register(Box::new(metrics.servers_reached.clone()))?;
        metrics.registry.register(Box::new(metrics.servers_lost.clone()))?;
        let Metrics { evacuated_zones, evacuations_age, evacuated_keys, .. } = &metrics;
        for gauge in [evacuated_zones, evacuations_age, evacuated_keys] {
            metrics.registry.register(Box::new(gauge.clone()))?;
        }
        metrics.registry.register(Box::new(metrics.server_speeds.clone()))?;
        metrics.registry.register(Box::new(metrics.daemons.clone()))?;
        metrics.registry.register(Box::new(metrics.load_probes.clone()))?;
        metrics.registry.register(Box::new(metrics.load_probe_corrections.clone()))?;
        Ok(metrics)
    }

    /// Sets how many daemons run which build. Returns whether that has changed.
    pub(crate) fn set_builds(&self, builds: BuildCounts) -> bool {
        let mut known = lock(&self.builds);
        if *known == builds {
            return false;
        }
        *known = builds;
        self.daemons.reset();
        for (build, count) in known.bounded() {
            self.daemons.with_label_values(&[build]).set(count as i64);
        }
        true
    }

    /// Records the end of a load probe.
    pub(crate) fn on_load_probe(&self, end: ProbeEnd) {
        self.load_probes.with_label_values(&[end.name()]).inc();
    }

    /// Records by how much the response to a load probe has changed the expected latency.
    pub(crate) fn on_load_probe_correction(&self, change: Millis) {
        self.load_probe_corrections.inc_by(change.0);
    }

    /// Records that a server of a service is probed. Returns whether it is the first of its service.
    pub(crate) fn on_probed_service(&self, service: &SmolStr) -> bool {
        let mut services = lock(&self.probed_services);
        !services.contains(service) && services.insert(service.clone())
    }

    /// Returns how many daemons run which build.
    pub(crate) fn builds(&self) -> BuildCounts {
        lock(&self.builds).clone()
    }

    /// Sets the number of servers whose service time is known from the measurements of all daemons.
    pub(crate) fn set_server_speeds(&self, servers: usize) {
        self.server_speeds.set(servers as i64);
    }

    /// Records the duration of a request, including its retries.
    pub(crate) fn observe(&self, service: &str, duration: Millis) {
        self.requests.with_label_values(&[service]).observe(duration.0 as f64 / 1000.0);
    }

    pub(crate) fn on_refusal(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.to_string().as_str()]).inc();
    }

    pub(crate) fn on_malformed_request(&self, status: u16) {
        self.malformed_requests.with_label_values(&[status.to_string().as_str()]).inc();
    }

    pub(crate) fn on_store_call(&self, kind: StoreRequestKind) {
        self.store_calls.with_label_values(&[kind.name()]).inc();
    }

    pub(crate) fn on_order(&self, outcome: &str, connection: &str) {
        self.orders.with_label_values(&[outcome, connection]).inc();
    }

    /// Records a message to another daemon, and whether that daemon confirmed it.
    pub(crate) fn on_sync(&self, bytes: usize, confirmed: bool) {
        self.syncs.with_label_values(&[if confirmed { "done" } else { "failed" }]).inc();
        self.sync_bytes.inc_by(bytes as u64);
    }

    /// Records how a request that was handed over to another daemon ended.
    pub(crate) fn on_handed_over(&self, end: HandOverEnd) {
        let end = match end {
            HandOverEnd::Handled => "handled",
            HandOverEnd::NoPath => "no-path",
            HandOverEnd::CutOff => "cut-off",
            HandOverEnd::Failed => "failed",
            HandOverEnd::Abandoned => "abandoned",
        };
        self.handovers.with_label_values(&[end]).inc();
    }

    /// Records that a server's limit was `set` or `ended`, or that it is `malformed`.
    pub(crate) fn on_server_limit(&self, change: &str) {
        self.server_limits.with_label_values(&[change]).inc();
    }

    /// Records that a server said that it is `leaving` or `paused`, or something `malformed`.
    pub(crate) fn on_server_statement(&self, statement: &str) {
        self.server_statements.with_label_values(&[statement]).inc();
    }

    /// Records that a request was `refused` because a server is cold, or `diverted` to another one.
    pub(crate) fn on_warm_up_limit(&self, end: &str) {
        self.warm_up_limits.with_label_values(&[end]).inc();
    }

    /// Records how a query of this daemon for a permit ended: `issued`, `denied`, `refused` by a daemon that
    /// issues none, `unanswered`, or `late`.
    pub(crate) fn on_permit_query(&self, end: &str) {
        self.permit_queries.with_label_values(&[end]).inc();
    }

    /// Records how this daemon has answered a query for a permit: `issued`, `denied` or `refused`.
    pub(crate) fn on_permit_answered(&self, end: &str) {
        self.permits.with_label_values(&[end]).inc();
    }

    /// Records that a request was explained, or why not.
    pub(crate) fn on_explained(&self, error: Option<ExplainErrorKind>) {
        let end = error.map_or_else(|| "explained".to_owned(), |error| error.to_string());
        self.explanations.with_label_values(&[end.as_str()]).inc();
    }

    /// Sets how many servers count as cold.
    pub(crate) fn set_cold_servers(&self, count: usize) {
        self.cold_servers.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets how many requests to a service wait for a server's queue.
    pub(crate) fn set_held(&self, service: &str, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.held.with_label_values(&[service]).set(count);
    }

    /// Records that a request which waited for a server's queue was `sent` or `refused`, or that its
    /// caller `left`, and how long it waited.
    pub(crate) fn on_held(&self, end: &str, waited: Millis) {
        self.held_ends.with_label_values(&[end]).inc();
        self.held_ms.inc_by(waited.0);
    }

    /// Records that a response was given up because it had no end.
    pub(crate) fn on_endless_response(&self) {
        self.endless_responses.inc();
    }

    /// Records that responses were skipped during a call, which is a `request` or an `order`.
    pub(crate) fn on_unexpected_responses(&self, call: &str, count: u32) {
        self.unexpected_responses.with_label_values(&[call]).inc_by(u64::from(count));
    }

    /// Records that a request was given up because its caller had left.
    pub(crate) fn on_abandoned(&self) {
        self.abandoned.inc();
    }

    /// Sets the ages of the list of servers and of the configuration.
    pub(crate) fn set_ages(&self, servers: Millis, config: Millis) {
        let set = |gauge: &IntGauge, age: Millis| {
            gauge.set(i64::try_from(age.0).unwrap_or(i64::MAX));
        };
        set(&self.servers_age, servers);
        set(&self.config_age, config);
    }

    /// Sets the number of evacuated zones.
    pub(crate) fn set_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.set(i64::try_from(zones).unwrap_or(i64::MAX));
    }

    /// Sets the time since the evacuated zones were last confirmed.
    pub(crate) fn set_evacuations_age(&self, age: Millis) {
        self.evacuations_age.set(i64::try_from(age.0).unwrap_or(i64::MAX));
    }

    /// Sets the number of keys that have not left evacuated zones.
    pub(crate) fn set_evacuated_keys(&self, keys: u32) {
        self.evacuated_keys.set(i64::from(keys));
    }

    /// Sets how many of the servers that hold keys are reached.
    pub(crate) fn set_reach(&self, reach: ReachSummary) {
        self.servers_reached.set(i64::from(reach.reached));
        self.servers_lost.set(i64::from(reach.lost));
    }

    /// Sets the era of the store.
    pub(crate) fn set_store_era(&self, era: StoreEra) {
        self.store_era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
    }

    /// Counts a call to a store that is suspected to be away.
    pub(crate) fn on_store_check(&self, answered: bool) {
        let end = if answered { "answered" } else { "failed" };
        self.store_checks.with_label_values(&[end]).inc();
    }

    /// Sets whether the store is away.
    pub(crate) fn set_store_away(&self, away: bool) {
        self.store_away.set(i64::from(away));
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> eyre::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
