//! How many daemons run which build.

use {
    crate::{control::cluster_state::ClusterState, process::Shared},
    oriolehoist_log::{Event, report},
    oriolehoist_protocol::BuildCounts,
};

impl ClusterState {
    /// Counts the builds of the members, and logs a change.
    pub(super) fn observe_builds(&self, cx: &Shared) {
        let members = self.members.get().values();
        let builds = BuildCounts::of(members.map(|member| member.build.as_deref()));
        let text = builds.to_string();
        if cx.metrics.set_builds(builds) {
            report(Event::BuildsChanged, format_args!("builds={text}"));
        }
    }
}
