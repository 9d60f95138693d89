use {
    oriolehoist_admission::Class,
    oriolehoist_explain::ExplainErrorKind,
    oriolehoist_platform::{CallCounts, CallKind},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    prometheus::{
        CounterVec, Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry,
        TextEncoder,
    },
    std::{collections::HashSet, sync::Mutex},
};

/// The phases of a request whose durations are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting in the daemon's queue.
    Queue,
    /// In flight at the backend server.
    Service,
    /// The whole request, from its arrival to its response.
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

/// How many workspaces get a time series of their own. The rest share one, which bounds the number
/// of series.
const MAX_WORKSPACES: usize = 32;
/// The label value of the workspaces without a time series of their own.
const OTHER_WORKSPACES: &str = "other";

/// The metrics of one daemon.
pub(crate) struct Metrics {
    registry: Registry,
    by_class: HistogramVec,
    by_workspace: HistogramVec,
    refusals: IntCounterVec,
    store_calls: IntCounterVec,
    explanations: IntCounterVec,
    unavailable: CounterVec,
    moved: GaugeVec,
    imbalance: GaugeVec,
    workspaces: Mutex<HashSet<String>>,
}

impl Metrics {
    pub(crate) fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let metrics = Metrics {
            by_class: HistogramVec::new(
                histogram("oriolehoist_request_seconds", "Time of requests, by class."),
                &["service", "class", "phase"],
            )?,
            by_workspace: HistogramVec::new(
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
            explanations: IntCounterVec::new(
                Opts::new("oriolehoist_explanations_total", "Requests that operators asked about."),
                &["end"],
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
            workspaces: Mutex::default(),
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> eyre::Result<()> {
        self.registry.register(Box::new(self.by_class.clone()))?;
        self.registry.register(Box::new(self.by_workspace.clone()))?;
        self.registry.register(Box::new(self.refusals.clone()))?;
        self.registry.register(Box::new(self.store_calls.clone()))?;
        self.registry.register(Box::new(self.explanations.clone()))?;
        self.registry.register(Box::new(self.unavailable.clone()))?;
        self.registry.register(Box::new(self.moved.clone()))?;
        self.registry.register(Box::new(self.imbalance.clone()))?;
        Ok(())
    }

    /// Records the duration of one phase of a request.
    pub(crate) fn observe(&self, service: &str, class: Class, phase: Phase, took: Millis) {
        self.by_class
            .with_label_values(&[service, class.name(), phase.name()])
            .observe(seconds(took));
    }

    /// Records the duration of a whole request of a workspace.
    pub(crate) fn observe_workspace(&self, service: &str, workspace: &str, took: Millis) {
        let label = self.workspace_label(workspace);
        self.by_workspace.with_label_values(&[service, label.as_str()]).observe(seconds(took));
    }

    /// Counts a refusal.
    pub(crate) fn on_refusal(&self, kind: RefusalKind) {
        self.refusals.with_label_values(&[kind.to_string().as_str()]).inc();
    }

    /// Records that a request was explained, or why not.
    pub(crate) fn on_explained(&self, error: Option<ExplainErrorKind>) {
        let end = error.map_or_else(|| "explained".to_owned(), |error| error.to_string());
        self.explanations.with_label_values(&[end.as_str()]).inc();
    }

    /// Records an assigner's statistics of a service: the shards without an owner, the shards moved
    /// and the imbalance. `elapsed` is the time since the last call.
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

    /// Renders every metric in the Prometheus text format.
    pub(crate) fn render(&self, calls: &CallCounts) -> eyre::Result<Vec<u8>> {
        for kind in CallKind::ALL {
            let counter = self.store_calls.with_label_values(&[kind.name()]);
            counter.inc_by(calls.get(kind).saturating_sub(counter.get()));
        }
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }

    fn workspace_label(&self, workspace: &str) -> String {
        let mut labelled =
            self.workspaces.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match labelled.contains(workspace) {
            true => workspace.to_owned(),
            false if labelled.len() < MAX_WORKSPACES => {
                labelled.insert(workspace.to_owned());
                workspace.to_owned()
            }
            false => OTHER_WORKSPACES.to_owned(),
        }
    }
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(BUCKETS.to_vec())
}

fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1000.0
}
