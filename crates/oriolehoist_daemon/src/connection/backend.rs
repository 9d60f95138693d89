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

/// The limits that the settings give for one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BackendLimits {
    /// How many requests the server runs at once.
    pub(crate) slots: u32,
    /// How many idle connections to the server are kept.
    pub(crate) max_idle_connections: usize,
    /// How many requests may wait for the server at this daemon.
    pub(crate) queue: usize,
}

/// The state that the traffic threads of this daemon share about one backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) name: ServerName,
    pub(crate) address: SocketAddr,
    pub(crate) pool: Pool,
    /// Held while a crash suspect is at the server, so that suspects run there one at a time.
    pub(crate) suspect_lock: tokio::sync::Mutex<()>,
    clock: Clock,
    queue: Mutex<AdmissionQueue>,
    /// When the server stops counting as down, by the daemon's clock.
    down_until: AtomicU64,
    /// The incarnation that the last response carried, or 0 if there was none.
    incarnation: AtomicU64,
}

/// The admission controller with the channels that wake its queued requests.
#[derive(Debug)]
struct AdmissionQueue {
    controller: AdmissionController,
    waiters: HashMap<Ticket, oneshot::Sender<()>>,
}

/// Permission to have one request in flight at the server. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Permit {
    backend: Arc<Backend>,
    completion: Completion,
}

/// Why no permit was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitRefusal {
    /// Too many requests are queued. Holds the expected wait.
    QueueFull(Millis),
    /// The deadline can't be met; holds the expected wait. Zero means that the deadline expired in
    /// the queue.
    Deadline(Millis),
}

impl From<AdmissionRefusal> for PermitRefusal {
    fn from(refusal: AdmissionRefusal) -> PermitRefusal {
        match refusal {
            AdmissionRefusal::QueueFull(expected_wait) => PermitRefusal::QueueFull(expected_wait),
            AdmissionRefusal::DeadlineTooShort(expected_wait) => {
                PermitRefusal::Deadline(expected_wait)
            }
        }
    }
}

/// What a request that asks for a permit now would find.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitPreview {
    /// Whether it would get the permit without a wait in the queue.
    pub(crate) admission: Result<bool, PermitRefusal>,
    pub(crate) expected_wait: Millis,
    pub(crate) service_time: Millis,
    pub(crate) in_flight: u32,
}

/// How long a server counts as down after a connection attempt to it failed.
const DOWN_DURATION: Millis = Millis(250);

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
            pool: Pool::new(source, limits.max_idle_connections),
            suspect_lock: tokio::sync::Mutex::default(),
            clock,
            queue: Mutex::new(AdmissionQueue {
                controller: AdmissionController::new(limits.admission_limits()),
                waiters: HashMap::new(),
            }),
            down_until: AtomicU64::new(0),
            incarnation: AtomicU64::new(0),
        }
    }

    /// Applies changed settings.
    pub(crate) fn set_limits(&self, limits: BackendLimits) {
        self.lock_queue().controller.set_limits(limits.admission_limits());
    }

    /// Waits for a permit to send a request.
    ///
    /// # Errors
    ///
    /// Returns an error without waiting if the queue is full or the deadline can't be met, and
    /// later if the deadline expires in the queue.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: QueuedRequest,
    ) -> Result<Permit, PermitRefusal> {
        let deadline = request.deadline;
        let (ticket, admitted) = {
            let mut queue = self.lock_queue();
            match queue.controller.admit(self.clock.now(), request) {
                Admission::Admitted => return Ok(self.permit()),
                Admission::Refused(refusal) => return Err(refusal.into()),
                Admission::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    queue.waiters.insert(ticket, tx);
                    (ticket, rx)
                }
            }
        };
        let mut guard = QueueGuard { backend: Arc::clone(self), ticket: Some(ticket), admitted };
        self.dequeue_after_backoff();
        let left = deadline.since(self.clock.now());
        match timeout(Duration::from(left), &mut guard.admitted).await {
            Ok(Ok(())) => Ok(guard.into_permit()),
            _ => Err(PermitRefusal::Deadline(Millis::ZERO)),
        }
    }

    /// Returns what a request would find that asks for a permit now. This has no effect.
    pub(crate) fn preview(&self, request: &QueuedRequest) -> PermitPreview {
        let now = self.clock.now();
        let queue = self.lock_queue();
        let (expected_wait, service_time) = queue.controller.expected_times(now, request);
        PermitPreview {
            admission: queue.controller.preview(now, request).map_err(PermitRefusal::from),
            expected_wait,
            service_time,
            in_flight: queue.controller.in_flight(),
        }
    }

    /// Returns the requests in flight and queued from this daemon, in percent of the concurrency
    /// limit. Can exceed 100 when requests are queued.
    pub(crate) fn utilization_percent(&self) -> u64 {
        let queue = self.lock_queue();
        let requests = u64::from(queue.controller.in_flight()) + queue.controller.queued() as u64;
        requests * 100 / u64::from(queue.controller.limit())
    }

    /// Returns whether a connection attempt to the server failed recently.
    pub(crate) fn is_down(&self) -> bool {
        self.clock.now() < Millis(self.down_until.load(Ordering::Relaxed))
    }

    /// Records whether the server could be connected to. After a failure, it counts as down for
    /// [`DOWN_DURATION`].
    pub(crate) fn on_connect(&self, succeeded: bool) {
        let until = match succeeded {
            true => Millis::ZERO,
            false => self.clock.now() + DOWN_DURATION,
        };
        self.down_until.store(until.0, Ordering::Relaxed);
    }

    /// Records the incarnation that a response carried.
    pub(crate) fn on_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation.0, Ordering::Relaxed);
    }

    /// Returns the incarnation that the last response carried, or 0 if there was none.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit { backend: Arc::clone(self), completion: Completion::Failed }
    }

    fn on_completed(self: &Arc<Self>, completion: Completion) {
        self.lock_queue().controller.on_completed(self.clock.now(), completion);
        self.dequeue_ready();
        self.dequeue_after_backoff();
    }

    /// Admits every queued request that may be sent now, and wakes those whose deadline can no
    /// longer be met.
    fn dequeue_ready(&self) {
        let now = self.clock.now();
        let mut queue = self.lock_queue();
        while let Some(dequeued) = queue.controller.dequeue(now) {
            let (Dequeued::Send(ticket) | Dequeued::Expired(ticket)) = dequeued;
            // Dropping the sender wakes a request that has expired, without admitting it.
            let sender = queue.waiters.remove(&ticket);
            let admitted = matches!(dequeued, Dequeued::Send(_));
            let notified = admitted && sender.is_some_and(|tx| tx.send(()).is_ok());
            if admitted && !notified {
                // The request was cancelled before it could be woken: free its slot.
                queue.controller.on_completed(now, Completion::Failed);
            }
        }
    }

    /// Schedules the next dequeue for the end of the backoff that follows a shed request.
    ///
    /// Without it, requests could stay queued until their deadline: possibly no request is in
    /// flight whose completion would trigger a dequeue.
    fn dequeue_after_backoff(self: &Arc<Self>) {
        let backoff = {
            let queue = self.lock_queue();
            match queue.controller.queued() {
                0 => Millis::ZERO,
                _ => queue.controller.remaining_backoff(self.clock.now()),
            }
        };
        if backoff > Millis::ZERO {
            let backend = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from(backoff + Millis(1))).await;
                backend.dequeue_ready();
            });
        }
    }

    fn lock_queue(&self) -> MutexGuard<'_, AdmissionQueue> {
        self.queue.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl BackendLimits {
    fn admission_limits(&self) -> AdmissionLimits {
        AdmissionLimits { slots: self.slots, queue: self.queue }
    }
}

impl Permit {
    /// Frees the slot and records how the request ended.
    pub(crate) fn release(mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.backend.on_completed(self.completion);
    }
}

/// Removes a request from the queue when dropped, for example because its caller disconnected.
struct QueueGuard {
    backend: Arc<Backend>,
    ticket: Option<Ticket>,
    admitted: oneshot::Receiver<()>,
}

impl QueueGuard {
    fn into_permit(mut self) -> Permit {
        self.ticket = None;
        self.backend.permit()
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let was_admitted = {
            let mut queue = self.backend.lock_queue();
            queue.controller.cancel(ticket);
            queue.waiters.remove(&ticket);
            // A request that was admitted concurrently must free its slot.
            self.admitted.try_recv().is_ok()
        };
        if was_admitted {
            self.backend.on_completed(Completion::Failed);
        }
    }
}
