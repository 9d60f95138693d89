//! The first step of this daemon with a request.

use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{
            forward::{RequestLife, RoutedRequest, expected_load, terms},
            quarantine, rate_limit,
            refusal::{Refusal, status},
            select::{
                Candidate, NoCandidate, Selection, all_at_connection_limit, candidates,
                select_owner,
            },
        },
    },
    oriolehoist_admission::best_server,
    oriolehoist_explain::{ExplainedRefusal, Step},
    oriolehoist_forwarding::{ExpectedLoad, Gates, HandOverNext, PlatformNext, Selected},
    oriolehoist_refusal::RetryAdvice,
    oriolehoist_time::Millis,
    std::sync::Arc,
};

/// The seed of the choice among the daemons that may be asked to take a request. With a fixed one, equal
/// queries get equal responses.
const DAEMON_CHOICE_SEED: u64 = 1;

/// The checks before a request is sent, without their effects.
struct QueryGates<'a> {
    cx: &'a Shared,
    request: &'a RoutedRequest,
    backend: &'a Backend,
    /// Whether the limit on the request rate would refuse some of such requests at random.
    is_random: bool,
}

impl Gates for QueryGates<'_> {
    fn count(&mut self) {}

    fn expected_load(&mut self) -> ExpectedLoad {
        expected_load(self.cx, self.request, self.backend)
    }

    fn pass_quarantine(&mut self) -> Result<(), Refusal> {
        quarantine::check(self.cx, self.request)
    }

    fn take_from_rate_limit(&mut self) -> Result<(), Refusal> {
        self.is_random = rate_limit::would_draw(self.cx, self.request, self.backend)?;
        Ok(())
    }

    // Only a request that was sent before needs a retry.
    fn try_spend_retry(&mut self) -> bool {
        true
    }
}

/// Returns what this daemon does first with a request.
pub(super) fn first_step(cx: &Shared, request: &RoutedRequest) -> Step {
    let mut life = RequestLife::new(terms(request));
    loop {
        let now = cx.clock.now();
        let (selection, is_drawn) = select(cx, request, &life);
        let server = match selection {
            Selection::Server(server) => server,
            Selection::Wait(reason) => {
                return match life.on_moving(now) {
                    Millis::ZERO => refuse(&life.on_move_timed_out()),
                    at_most_ms => Step::Wait { reason: reason.into(), at_most_ms },
                };
            }
            Selection::Refuse(refusal) => return refuse(&life.on_none_selected(refusal)),
            // Only for requests that are sent: no sample is drawn here.
            Selection::Any(_) => return refuse(&all_at_connection_limit()),
        };
        let id = server.incarnation.id.clone();
        let is_path_lost = cx.paths().is_lost(server.short_id);
        let next = match life.on_selected(id.clone(), is_path_lost) {
            Selected::Refuse(refusal) => return refuse(&refusal),
            Selected::HandOver => match hand_over(cx, request, &mut life, &server) {
                Ok(step) => return step,
                Err(next) => next,
            },
            Selected::Admit => {
                let mut gates = QueryGates { cx, request, backend: &server, is_random: false };
                match life.admit(now, &mut gates) {
                    Ok(()) => {
                        let is_random = is_drawn || gates.is_random;
                        return Step::Send { server: id, is_random };
                    }
                    Err(next) => next,
                }
            }
        };
        match next {
            // Each time another server is left out.
            PlatformNext::Select => {}
            PlatformNext::WaitAndSelect { timeout } => {
                let reason = "newer routes are needed".into();
                return Step::Wait { reason, at_most_ms: timeout };
            }
            PlatformNext::Hold { wait: at_most_ms } => {
                let reason = "urgent requests need the server's queue".into();
                return Step::Wait { reason, at_most_ms };
            }
            PlatformNext::Refuse(refusal) => return refuse(&refusal),
        }
    }
}

/// Selects the owner, or the best server by estimate. Returns whether others are drawn at random as well.
fn select(cx: &Shared, request: &RoutedRequest, life: &RequestLife) -> (Selection, bool) {
    if let Some(key) = request.key {
        return (select_owner(cx, request, key), false);
    }
    let candidates = match eligible(cx, request, life) {
        Ok(candidates) => candidates,
        Err(NoCandidate { refusal, .. }) => return (Selection::Refuse(refusal), false),
    };
    let selection = match best_server(&candidates) {
        Some(best) => Selection::Server(Arc::clone(candidates[best].server)),
        None => Selection::Refuse(all_at_connection_limit()),
    };
    (selection, candidates.len() > 1)
}

/// Returns the servers among which one is chosen for a request without a key.
///
/// # Errors
///
/// Returns the refusal of a request that no server may get.
pub(super) fn eligible<'a>(
    cx: &'a Shared,
    request: &'a RoutedRequest,
    life: &RequestLife,
) -> Result<Vec<Candidate<'a>>, NoCandidate> {
    let rate_wait = |server: &Backend| rate_limit::peek_wait(cx, request, server);
    candidates(cx, request, life.tried(), life.saturated(), rate_wait)
}

/// Returns the hand-over to a daemon that may reach a server.
///
/// # Errors
///
/// Returns the next step if none does.
fn hand_over(
    cx: &Shared,
    request: &RoutedRequest,
    life: &mut RequestLife,
    server: &Backend,
) -> Result<Step, PlatformNext> {
    let now = cx.clock.now();
    match life.start_hand_over(now) {
        HandOverNext::ChooseDaemon => {}
        HandOverNext::NoPath => return Err(life.on_no_path()),
        HandOverNext::Refuse(refusal) => return Ok(refuse(&refusal)),
    }
    let known = &request.view.handover_peers;
    let mut rng = fastrand::Rng::with_seed(DAEMON_CHOICE_SEED);
    let chosen = cx.peers().choose(now, server.short_id, known, &[], &mut rng);
    match chosen.map(|daemon| (daemon, life.ask_daemon(|| true))) {
        Some((daemon, Ok(_))) => {
            Ok(Step::HandOver { server: server.incarnation.id.clone(), daemon })
        }
        Some((_, Err(refusal))) => Ok(refuse(&refusal)),
        None => Err(life.on_no_path()),
    }
}

/// Returns the step of refusing a request, as its caller is told.
pub(super) fn refuse(refusal: &Refusal) -> Step {
    let default = match refusal.kind.response().retry_advice {
        RetryAdvice::After(after) => Some(after),
        RetryAdvice::Never => None,
    };
    Step::Refuse(ExplainedRefusal {
        kind: refusal.kind,
        status: status(refusal),
        reason: refusal.reason.into(),
        expected_wait_ms: refusal.expected_wait,
        retry_after_ms: refusal.retry_after.or(default),
    })
}
