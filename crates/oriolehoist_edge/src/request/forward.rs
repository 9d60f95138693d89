use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{
            exchange::{AttemptOutcome, send_attempt},
            handover::{HandedOver, hand_over},
            hold::{RequestHolds, hold},
            load_probe::{probe_owner, probe_sample, uses_load_probes, work_factor},
            presence::CallerPresence,
            quarantine, rate_limit,
            refusal::Refusal,
            select::{Selection, select},
        },
        version::View,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method},
    oriolehoist_admission::{ProbeAllowance, RouteWork, latency_for_admission},
    oriolehoist_forwarding::{
        AttemptEnd, ExpectedLoad, Gates, HEADROOM_EXEMPT_SHARE, PlatformNext, PlatformRequest,
        PlatformTerms, Selected,
    },
    oriolehoist_port::{HttpResponse, Route},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// A request with its route and the state of its attempts.
pub(crate) struct RoutedRequest {
    pub(crate) id: HeaderValue,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
    /// When the request times out: at the caller's deadline or after the route's timeout, whichever
    /// is earlier.
    pub(crate) deadline: Millis,
    /// The latest time for a response to meet the route's latency objective.
    pub(crate) latency_objective: Millis,
    /// Whether the caller probably retries an earlier request: it grants less time than the route.
    pub(crate) is_retry: bool,
    /// The key, if the service is sharded.
    pub(crate) key: Option<u16>,
    pub(crate) service: SmolStr,
    pub(crate) route: Route,
    /// How long requests of the route run at the service's servers.
    pub(crate) work: Arc<RouteWork>,
    pub(crate) view: Arc<View>,
    /// How many attempts were made in which the request may have been sent, once it has ended.
    pub(crate) attempts: u32,
    pub(crate) last_server: SmolStr,
    /// How long that server was known to be draining when it was selected, if it was.
    pub(crate) last_draining: Option<Millis>,
    /// Whether the request counts for the retry budget and the load of its key.
    pub(crate) counted: bool,
    /// Whether its caller is still connected.
    pub(crate) presence: CallerPresence,
    /// Whether another daemon has handed it over. It is not handed on.
    pub(crate) is_handed_over: bool,
    /// The daemon that it was last handed over to.
    pub(crate) via: Option<SocketAddr>,
}

/// How a request ended.
pub(crate) enum ForwardOutcome {
    Response(HttpResponse),
    Refused(Refusal),
}

/// The state of a request with servers named by their ids.
pub(super) type RequestLife = PlatformRequest<SmolStr>;

/// Forwards a request to a server, with retries, and returns the final outcome.
pub(crate) async fn forward(cx: &Arc<Shared>, request: &mut RoutedRequest) -> ForwardOutcome {
    let may_exceed_headroom = fastrand::f64() < HEADROOM_EXEMPT_SHARE;
    let mut life = RequestLife::new(PlatformTerms { may_exceed_headroom, ..terms(request) });
    life.set_stop(cx.stop());
    if let Err(refusal) = life.check_stop(cx.clock.now(), None) {
        return ForwardOutcome::Refused(refusal);
    }
    let mut holds = RequestHolds::new(cx);
    let outcome = attempt_until_final(cx, request, &mut life, &mut holds).await;
    holds.on_ended(life.attempts());
    request.attempts = life.attempts();
    outcome
}

/// Returns what is fixed for a request.
pub(super) fn terms(request: &RoutedRequest) -> PlatformTerms {
    PlatformTerms {
        is_keyed: request.key.is_some(),
        is_idempotent: request.route.idempotent,
        is_handed_over: request.is_handed_over,
        deadline: request.deadline,
        objective_ends: request.latency_objective,
        latency_objective: request.route.latency_objective,
        max_attempts: request.route.max_attempts,
        headroom: request.view.headroom(&request.route, &request.service),
        reserved_wait: request.view.reserved_wait(&request.route, &request.service),
        may_exceed_headroom: false,
    }
}

async fn attempt_until_final(
    cx: &Arc<Shared>,
    request: &mut RoutedRequest,
    life: &mut RequestLife,
    holds: &mut RequestHolds<'_>,
) -> ForwardOutcome {
    loop {
        life.set_stop(cx.stop());
        let (backend, is_path_lost) = match select_or_wait(cx, request, life).await {
            Ok(selected) => selected,
            Err(refusal) => return ForwardOutcome::Refused(refusal),
        };
        let mut view_changes = cx.view.subscribe();
        let next = match is_path_lost {
            true => match hand_over(cx, request, life, &backend).await {
                HandedOver::Ended(outcome) => return outcome,
                HandedOver::NoPath => life.on_no_path(),
            },
            false => match attempt(cx, request, life, &backend).await {
                Ok(response) => return ForwardOutcome::Response(response),
                Err(next) => next,
            },
        };
        match next {
            PlatformNext::Select => {}
            PlatformNext::WaitAndSelect { timeout: wait } => {
                let _ = timeout(Duration::from(wait), view_changes.changed()).await;
            }
            PlatformNext::Hold { wait } => hold(cx, request, life, holds, &backend, wait).await,
            PlatformNext::Refuse(refusal) => return ForwardOutcome::Refused(refusal),
        }
    }
}

/// Returns what a server's load makes a request expect.
pub(super) fn expected_load(
    cx: &Shared,
    request: &RoutedRequest,
    server: &Backend,
) -> ExpectedLoad {
    let now = cx.clock.now();
    let work = work_factor(cx, request, server);
    let load_estimator = server.load_estimator();
    let (wait, latency) =
        (load_estimator.expected_wait(now), load_estimator.expected_latency_of(now, work));
    drop(load_estimator);
    let is_at_connection_limit = server.is_at_connection_limit();
    let is_current = uses_load_probes(cx) && server.is_load_current(now);
    let latency = latency_for_admission(wait, latency, is_current);
    ExpectedLoad { wait, latency, is_at_connection_limit, is_current }
}

/// The checks before a request is sent to a server.
struct AttemptGates<'a> {
    cx: &'a Shared,
    request: &'a mut RoutedRequest,
    backend: &'a Backend,
    /// Keeps other crash suspects from the server until the attempt has ended.
    admitted: Option<quarantine::Admitted<'a>>,
}

impl Gates for AttemptGates<'_> {
    fn count(&mut self) {
        self.request.count(self.cx);
    }

    fn expected_load(&mut self) -> ExpectedLoad {
        expected_load(self.cx, self.request, self.backend)
    }

    fn pass_quarantine(&mut self) -> Result<(), Refusal> {
        self.admitted = quarantine::admit(self.cx, self.request, self.backend)?;
        Ok(())
    }

    fn take_from_rate_limit(&mut self) -> Result<(), Refusal> {
        rate_limit::admit(self.cx, self.request, self.backend)
    }

    fn try_spend_retry(&mut self) -> bool {
        self.cx.try_spend_retry(&self.request.service)
    }
}

/// Sends a request to a server if it is admitted there.
///
/// # Errors
///
/// Returns the next step if there is no response for the caller.
async fn attempt(
    cx: &Arc<Shared>,
    request: &mut RoutedRequest,
    life: &mut RequestLife,
    backend: &Arc<Backend>,
) -> Result<HttpResponse, PlatformNext> {
    let (view, route, service) = (&request.view, &request.route, &request.service);
    life.set_headroom(view.headroom(route, service), view.reserved_wait(route, service));
    life.set_stop(cx.stop());
    let mut gates = AttemptGates { cx, request, backend, admitted: None };
    life.check_server(cx.clock.now(), &mut gates)?;
    let permit = rate_limit::obtain_permit(cx, gates.request, backend).await;
    let permit = permit.map_err(|refusal| life.on_limited(refusal))?;
    life.start_attempt(cx.clock.now(), &mut gates)?;
    let AttemptGates { request, mut admitted, .. } = gates;
    request.last_draining = backend.draining_for(cx.clock.now());
    let set_may_have_run = |admitted: &mut Option<quarantine::Admitted>, may_have_run| {
        admitted.iter_mut().for_each(|admitted| admitted.set_may_have_run(may_have_run));
    };
    // It may also be sent if its caller leaves meanwhile.
    set_may_have_run(&mut admitted, true);
    let outcome = send_attempt(cx, request, backend, permit).await;
    set_may_have_run(&mut admitted, outcome.may_have_run());
    drop(admitted);
    request.last_server = backend.incarnation.id.clone();
    let end = match outcome {
        AttemptOutcome::Response(response) => {
            life.on_response();
            quarantine::clear(cx, request);
            return Ok(response);
        }
        AttemptOutcome::Shed => {
            let wait = rate_limit::wait(cx, request, backend);
            let expected_wait = backend.load_estimator().expected_wait(cx.clock.now());
            AttemptEnd::Shed { wait: wait.max(expected_wait) }
        }
        AttemptOutcome::NotOwner => AttemptEnd::NotOwner,
        AttemptOutcome::OtherServer => AttemptEnd::OtherServer,
        AttemptOutcome::NotPermitted => {
            return Err(life.on_limited(rate_limit::not_permitted(cx, backend)));
        }
        AttemptOutcome::NotSent => {
            AttemptEnd::NotSent { is_path_lost: cx.paths().is_lost(backend.short_id) }
        }
        AttemptOutcome::NoResponse(reason) => {
            quarantine::on_connection_lost(cx, request, backend).await;
            AttemptEnd::NoResponse(reason)
        }
        AttemptOutcome::TimedOut => AttemptEnd::TimedOut,
    };
    Err(life.on_attempt_ended(cx.clock.now(), end))
}

impl RoutedRequest {
    /// Counts the request for the retry budget and the load of its key, unless that was done.
    fn count(&mut self, cx: &Shared) {
        if !std::mem::replace(&mut self.counted, true) {
            cx.on_new_request(&self.service);
            if let Some(key) = self.key {
                cx.count_key_request(&self.service, key);
            }
        }
    }
}

/// Selects a server, waiting while the key is being moved, and for load probes. Returns whether this daemon does not reach it.
///
/// # Errors
///
/// Returns the refusal of a request for which there is no server.
async fn select_or_wait(
    cx: &Arc<Shared>,
    request: &mut RoutedRequest,
    life: &mut RequestLife,
) -> Result<(Arc<Backend>, bool), Refusal> {
    let (now, is_keyed) = (cx.clock.now(), request.key.is_some());
    let mut allowance = ProbeAllowance::new(now, request.deadline, is_keyed);
    loop {
        let mut view_changes = cx.view.subscribe();
        request.refresh_view(cx);
        let backend = match select(cx, request, life.tried(), life.saturated()) {
            Selection::Server(backend)
                if is_keyed && probe_owner(cx, request, &backend, &mut allowance).await =>
            {
                // The key may have moved meanwhile, or the owner has said that it leaves.
                continue;
            }
            Selection::Server(backend) => backend,
            Selection::Any(servers) => {
                match probe_sample(cx, request, servers, &mut allowance).await {
                    Some(backend) => backend,
                    None => continue,
                }
            }
            Selection::Refuse(refusal) => return Err(life.on_none_selected(refusal)),
            Selection::Wait(_) => {
                let wait = life.on_moving(cx.clock.now());
                match timeout(Duration::from(wait), view_changes.changed()).await {
                    Ok(_) => continue,
                    Err(_) => return Err(life.on_move_timed_out()),
                }
            }
        };
        let is_path_lost = cx.paths().is_lost(backend.short_id);
        return match life.on_selected(backend.incarnation.id.clone(), is_path_lost) {
            Selected::Admit => Ok((backend, false)),
            Selected::HandOver => Ok((backend, true)),
            Selected::Refuse(refusal) => Err(refusal),
        };
    }
}
