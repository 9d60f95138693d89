use {
    crate::connection::Pool,
    oriolehoist_admission::{
        Admission, AdmissionController, AdmissionLimits, AdmissionRefusal, Completion, Dequeued,
        QueuedRequest, Ticket,
    },
    oriolehoist_protocol::{Incarnation, ServerName},
    oriolehoist_time::{Clock, Millis},
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// What the settings say that a backend server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BackendLimits {
    pub(crate) slots: u32,
    pub(crate) connections: usize,
    pub(crate) queue: usize,
}

/// A backend server as the traffic threads of one daemon see it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) name: ServerName,
    pub(crate) address: SocketAddr,
    pub(crate) pool: Pool,
    /// Held by a request that is suspected of crashing servers, so that such run one at a time.
    pub(crate) suspect_turn: tokio::sync::Mutex<()>,
    clock: Clock,
    turnstile: Mutex<Turnstile>,
    /// Until when no new connection could be opened, by the daemon's clock.
    down_until: AtomicU64,
    incarnation: AtomicU64,
}

#[derive(Debug)]
struct Turnstile {
    gate: AdmissionController,
    waiters: HashMap<Ticket, oneshot::Sender<()>>,
}

/// Leave to have one request at the server. Dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct Permit {
    backend: Arc<Backend>,
    leave: Completion,
}

/// Why no permit was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitRefusal {
    /// Too many requests wait.
    QueueFull(Millis),
    /// The deadline can't be met, or has passed while the request waited.
    Deadline(Millis),
}

/// How long a server is left alone after a new connection to it failed.
const DOWN_PAUSE: Millis = Millis(250);

impl Backend {
    pub(crate) fn new(
        clock: Clock,
        source: IpAddr,
        name: ServerName,
        address: SocketAddr,
        limits: BackendLimits,
    ) -> Backend {
        Backend {
            name,
            address,
            pool: Pool::new(source, limits.connections),
            suspect_turn: tokio::sync::Mutex::default(),
            clock,
            turnstile: Mutex::new(Turnstile {
                gate: AdmissionController::new(limits.gate()),
                waiters: HashMap::new(),
            }),
            down_until: AtomicU64::new(0),
            incarnation: AtomicU64::new(0),
        }
    }

    /// Changes the limits, when the settings say so.
    pub(crate) fn set_limits(&self, limits: BackendLimits) {
        self.turnstile().gate.set_limits(limits.gate());
    }

    /// Waits for leave to send a request.
    ///
    /// # Errors
    ///
    /// Returns why there is none; at once if that is known at once.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        waiting: QueuedRequest,
    ) -> Result<Permit, PermitRefusal> {
        let deadline = waiting.deadline;
        let (ticket, turn) = {
            let mut turnstile = self.turnstile();
            match turnstile.gate.admit(self.clock.now(), waiting) {
                Admission::Admitted => return Ok(self.permit()),
                Admission::Refused(AdmissionRefusal::QueueFull(wait)) => {
                    return Err(PermitRefusal::QueueFull(wait));
                }
                Admission::Refused(AdmissionRefusal::DeadlineTooShort(wait)) => {
                    return Err(PermitRefusal::Deadline(wait));
                }
                Admission::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    turnstile.waiters.insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let mut place = Place { backend: Arc::clone(self), ticket: Some(ticket), turn };
        self.open_later();
        let left = deadline.since(self.clock.now());
        match timeout(Duration::from(left), &mut place.turn).await {
            Ok(Ok(())) => Ok(place.into_permit()),
            _ => Err(PermitRefusal::Deadline(Millis::ZERO)),
        }
    }

    /// Returns how much work the server has from this daemon, in hundredths of its limit.
    pub(crate) fn pressure(&self) -> u64 {
        let turnstile = self.turnstile();
        let work = u64::from(turnstile.gate.in_flight()) + turnstile.gate.queued() as u64;
        work * 100 / u64::from(turnstile.gate.limit())
    }

    /// Returns whether a new connection to the server has just failed.
    pub(crate) fn is_down(&self) -> bool {
        self.clock.now() < Millis(self.down_until.load(Ordering::Relaxed))
    }

    /// Notes whether a new connection to the server could be opened.
    pub(crate) fn on_connect(&self, opened: bool) {
        let until = match opened {
            true => Millis::ZERO,
            false => self.clock.now() + DOWN_PAUSE,
        };
        self.down_until.store(until.0, Ordering::Relaxed);
    }

    /// Notes the incarnation that an answer carried.
    pub(crate) fn on_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation.0, Ordering::Relaxed);
    }

    /// Returns the incarnation of the last answer.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit { backend: Arc::clone(self), leave: Completion::Failed }
    }

    fn leave(self: &Arc<Self>, leave: Completion) {
        self.turnstile().gate.on_completed(self.clock.now(), leave);
        self.release();
        self.open_later();
    }

    /// Lets everyone through who may go now.
    fn release(&self) {
        let now = self.clock.now();
        let mut turnstile = self.turnstile();
        while let Some(turn) = turnstile.gate.dequeue(now) {
            let (Dequeued::Send(ticket) | Dequeued::Expired(ticket)) = turn;
            // Dropping the sender tells a waiter at once that it is given up.
            let sender = turnstile.waiters.remove(&ticket);
            let admitted = matches!(turn, Dequeued::Send(_));
            let woken = admitted && sender.is_some_and(|tx| tx.send(()).is_ok());
            if admitted && !woken {
                turnstile.gate.on_completed(now, Completion::Failed);
            }
        }
    }

    /// Sees to it that a gate which a shed request has closed opens again.
    fn open_later(self: &Arc<Self>) {
        let closed_for = {
            let turnstile = self.turnstile();
            match turnstile.gate.queued() {
                0 => Millis::ZERO,
                _ => turnstile.gate.remaining_backoff(self.clock.now()),
            }
        };
        if closed_for > Millis::ZERO {
            let backend = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from(closed_for + Millis(1))).await;
                backend.release();
            });
        }
    }

    fn turnstile(&self) -> MutexGuard<'_, Turnstile> {
        self.turnstile.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl BackendLimits {
    fn gate(&self) -> AdmissionLimits {
        AdmissionLimits { slots: self.slots, queue: self.queue }
    }
}

impl Permit {
    /// Says how the request ended, and gives the place back.
    pub(crate) fn end(mut self, leave: Completion) {
        self.leave = leave;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.backend.leave(self.leave);
    }
}

/// A place in the queue. Dropping it, as when the caller goes away, leaves the queue.
struct Place {
    backend: Arc<Backend>,
    ticket: Option<Ticket>,
    turn: oneshot::Receiver<()>,
}

impl Place {
    fn into_permit(mut self) -> Permit {
        self.ticket = None;
        self.backend.permit()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let admitted = {
            let mut turnstile = self.backend.turnstile();
            turnstile.gate.cancel(ticket);
            turnstile.waiters.remove(&ticket);
            // A turn that was given in the same moment has to be given back.
            self.turn.try_recv().is_ok()
        };
        if admitted {
            self.backend.leave(Completion::Failed);
        }
    }
}
