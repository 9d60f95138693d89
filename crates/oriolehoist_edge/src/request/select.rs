//! Which server a request goes to.

use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{
            forward::{Job, SOON},
            refuse::Refusal,
        },
    },
    oriolehoist_keyspace::Holder,
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// How much longer an answer may be expected to take from the daemon's own availability zone
/// before another is preferred: bytes between zones cost.
const OWN_ZONE_ADVANTAGE: Millis = Millis(25);
/// Differences in the expected time below this are decided at random.
const RANDOM_SPREAD: u64 = 12;
/// How long before the agreed end a leaving server gets no more requests: the registration may
/// have been read late.
const LEAVING_MARGIN: Millis = Millis(900);

/// Where a request goes, or what it has to wait for.
pub(crate) enum Choice {
    Server(Arc<Backend>),
    /// Its keys are being moved: the next view tells where.
    Wait,
    Refuse(Refusal),
}

/// Chooses a server; those in `tried` are avoided where there is a choice.
pub(crate) fn select(cx: &Shared, job: &Job, tried: &[SmolStr]) -> Choice {
    match job.key {
        Some(key) => owner(cx, job, key),
        None => any_server(cx, job, tried),
    }
}

fn owner(cx: &Shared, job: &Job, key: u16) -> Choice {
    let now = cx.clock.now();
    let holder = job.view.keys.get(&job.service).and_then(|routes| routes.holder(key));
    let life = match holder {
        None => {
            return Choice::Refuse(Refusal::new(
                RefusalKind::NoOwner,
                "the key was never assigned",
            ));
        }
        Some(Holder::Moving) => return Choice::Wait,
        Some(Holder::Lost(after)) => {
            let refusal = Refusal::new(RefusalKind::OwnerLost, "the owner was lost");
            return Choice::Refuse(refusal.come_back(*after));
        }
        Some(Holder::Server(life)) => life,
    };
    let drained = |backend: &Backend| {
        let limit = cx.boot.bounds.drain_period.since(LEAVING_MARGIN);
        backend.leaving_for(now).is_some_and(|leaving| leaving > limit)
    };
    match job.view.backends.get(&life.id) {
        Some(backend) if backend.life == *life && !drained(backend) => {
            Choice::Server(Arc::clone(backend))
        }
        Some(_) => Choice::Wait,
        None => Choice::Refuse(Refusal::new(RefusalKind::OwnerLost, "the owner is not registered")),
    }
}

fn any_server(cx: &Shared, job: &Job, tried: &[SmolStr]) -> Choice {
    let now = cx.clock.now();
    let Some(servers) = job.view.services.get(&job.service) else {
        return Choice::Refuse(Refusal::new(RefusalKind::Unreachable, "the service has no server"));
    };
    let untried = || servers.iter().filter(|server| !tried.contains(&server.life.id));
    let fresh = untried().next().is_some();
    let candidates = servers
        .iter()
        .filter(|server| !fresh || !tried.contains(&server.life.id))
        .filter(|server| !server.is_at_share());
    // The daemons take turns by chance, since a server that has just started is slow.
    let tries = fastrand::usize(0..job.view.daemons.max(1)) == 0;
    let cost = |server: &Arc<Backend>| {
        if tries && server.gauge().is_untried() {
            return Millis::ZERO;
        }
        let zone = match server.zone == cx.boot.zone {
            true => Millis::ZERO,
            false => OWN_ZONE_ADVANTAGE,
        };
        server.gauge().expected_latency(now) + zone + Millis(fastrand::u64(0..=RANDOM_SPREAD))
    };
    match candidates.min_by_key(|server| cost(server)) {
        Some(server) => Choice::Server(Arc::clone(server)),
        None => {
            let refusal = Refusal::new(RefusalKind::Overloaded, "every server is at its share");
            Choice::Refuse(refusal.come_back(SOON))
        }
    }
}
