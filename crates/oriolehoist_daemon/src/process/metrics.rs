use {
    oriolehoist_admission::Class,
    oriolehoist_platform::{CallCounts, CallKind},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    prometheus::{
        CounterVec, Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry,
        TextEncoder,
    },
    std::{collections::HashSet, sync::Mutex},
};

/// The parts of a request's time that are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting at the daemon.
    Queue,
    /// At the server.
    Service,
    /// All of it.
    Whole,
}

impl Phase {
    const fn name(self) -> &'static str {
        match self {
            Phase::Queue => "queue",
            Phase::Service => "service",
            Phase::Whole => "whole",
        }
    }
}

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.004, 0.008, 0.012, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];

/// How many tenants have series of their own; the rest share one name.
const MAX_TENANTS: usize = 32;
/// The name under which the other tenants are counted.
const OTHER_TENANTS: &str = "other";

/// The metrics of one daemon.
pub(crate) struct Metrics {
    registry: Registry,
    by_class: HistogramVec,
    by_tenant: HistogramVec,
    refusals: IntCounterVec,
    store_calls: IntCounterVec,
    unavailable: CounterVec,
    moved: GaugeVec,
    imbalance: GaugeVec,
    tenants: Mutex<HashSet<String>>,
}

impl Metrics {
    pub(crate) fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let metrics = Metrics {
            by_class: HistogramVec::new(
                histogram("oriolehoist_request_seconds", "Time of requests, by class."),
                &["service", "class", "phase"],
            )?,
            by_tenant: HistogramVec::new(
                histogram("oriolehoist_tenant_seconds", "Whole time of requests, by tenant."),
                &["service", "tenant"],
            )?,
            refusals: IntCounterVec::new(
                Opts::new("oriolehoist_refusals_total", "Refused requests, by kind."),
                &["kind"],
            )?,
            store_calls: IntCounterVec::new(
                Opts::new("oriolehoist_store_calls_total", "Calls to the platform, by kind."),
                &["kind"],
            )?,
            unavailable: CounterVec::new(
                Opts::new(
                    "oriolehoist_unavailable_shard_seconds_total",
                    "Time for which shards could not be served, as the assigner saw it.",
                ),
                &["service"],
            )?,
            moved: GaugeVec::new(
                Opts::new("oriolehoist_moved_shards", "Shards moved under the present assigner."),
                &["service"],
            )?,
            imbalance: GaugeVec::new(
                Opts::new(
                    "oriolehoist_imbalance_ratio",
                    "Greatest over mean number of shards of a server.",
                ),
                &["service"],
            )?,
            tenants: Mutex::default(),
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> eyre::Result<()> {
        self.registry.register(Box::new(self.by_class.clone()))?;
        self.registry.register(Box::new(self.by_tenant.clone()))?;
        self.registry.register(Box::new(self.refusals.clone()))?;
        self.registry.register(Box::new(self.store_calls.clone()))?;
        self.registry.register(Box::new(self.unavailable.clone()))?;
        self.registry.register(Box::new(self.moved.clone()))?;
        self.registry.register(Box::new(self.imbalance.clone()))?;
        Ok(())
    }

    /// Notes how long one phase of a request took.
    pub(crate) fn observe(&self, service: &str, class: Class, phase: Phase, took: Millis) {
        self.by_class
            .with_label_values(&[service, class.name(), phase.name()])
            .observe(seconds(took));
    }

    /// Notes how long a whole request of a tenant took.
    pub(crate) fn observe_tenant(&self, service: &str, tenant: &str, took: Millis) {
        let label = self.tenant_label(tenant);
        self.by_tenant.with_label_values(&[service, label.as_str()]).observe(seconds(took));
    }

    /// Counts a refusal.
    pub(crate) fn on_refusal(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.to_string().as_str()]).inc();
    }

    /// Notes what an assigner knows of a service.
    pub(crate) fn on_assigner(
        &self,
        service: &str,
        unowned: usize,
        elapsed: Millis,
        moved: u64,
        imbalance: f64,
    ) {
        self.unavailable.with_label_values(&[service]).inc_by(unowned as f64 * seconds(elapsed));
        self.moved.with_label_values(&[service]).set(moved as f64);
        self.imbalance.with_label_values(&[service]).set(imbalance);
    }

    /// Writes every metric in the text format.
    pub(crate) fn render(&self, calls: &CallCounts) -> eyre::Result<Vec<u8>> {
        for kind in CallKind::ALL {
            let counter = self.store_calls.with_label_values(&[kind.name()]);
            counter.inc_by(calls.get(kind).saturating_sub(counter.get()));
        }
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }

    fn tenant_label(&self, tenant: &str) -> String {
        let mut known = self.tenants.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match known.contains(tenant) {
            true => tenant.to_owned(),
            false if known.len() < MAX_TENANTS => {
                known.insert(tenant.to_owned());
                tenant.to_owned()
            }
            false => OTHER_TENANTS.to_owned(),
        }
    }
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(BUCKETS.to_vec())
}

fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1000.0
}
