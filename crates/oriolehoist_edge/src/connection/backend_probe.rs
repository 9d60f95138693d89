//! The state of the load probes to a server.

use {
    crate::{connection::Backend, process::lock},
    oriolehoist_admission::{LoadProbes, ProbeEnd, ProbeTarget},
    oriolehoist_time::Millis,
    tokio::sync::watch,
};

/// The load probes to one server.
#[derive(Debug, Default)]
pub(super) struct ServerProbes {
    probes: LoadProbes,
    /// Tells how the probe ends that was started last.
    running: Option<watch::Receiver<Option<ProbeEnd>>>,
}

/// The one load probe to a server that runs at a time.
pub(crate) enum ProbeRun {
    /// It was started by another request.
    Running(watch::Receiver<Option<ProbeEnd>>),
    /// It is to be run by the caller, which sends its end.
    New(watch::Sender<Option<ProbeEnd>>, watch::Receiver<Option<ProbeEnd>>),
}

impl Backend {
    /// Records that the server has reported how long work takes at the moment.
    pub(crate) fn on_probes_supported(&self) {
        lock(&self.load_probes).probes.on_supported();
    }

    /// Returns whether the server answers load probes, as far as is known.
    pub(crate) fn answers_probes(&self) -> bool {
        lock(&self.load_probes).probes.is_supported()
    }

    /// Returns whether the server's load was reported lately, by a server that answers probes.
    pub(crate) fn is_load_current(&self, now: Millis) -> bool {
        let report_age = self.load_estimator().report_age(now);
        lock(&self.load_probes).probes.is_current(report_age)
    }

    /// Returns whether a load probe to the server is due for a request.
    pub(crate) fn is_probe_due(
        &self,
        now: Millis,
        is_keyed: bool,
        target: impl FnOnce() -> ProbeTarget,
    ) -> bool {
        let is_supported = lock(&self.load_probes).probes.is_supported();
        is_supported && lock(&self.load_probes).probes.is_due(now, is_keyed, target())
    }

    /// Starts a load probe, or joins the one that runs.
    pub(crate) fn start_probe(&self) -> ProbeRun {
        let mut probes = lock(&self.load_probes);
        if let Some(running) = probes.running.clone()
            && running.borrow().is_none()
            && running.has_changed().is_ok()
        {
            return ProbeRun::Running(running);
        }
        let (sender, receiver) = watch::channel(None);
        probes.running = Some(receiver.clone());
        ProbeRun::New(sender, receiver)
    }

    /// Records the end of a load probe. Returns whether operators need to know that the server does
    /// not answer probes.
    pub(crate) fn on_probe_end(&self, end: ProbeEnd) -> bool {
        lock(&self.load_probes).probes.on_end(self.clock.now(), end)
    }
}
