use {
    crate::{AdaptiveLimit, FairQueue, QueuedRequest, Ticket},
    oriolehoist_time::Millis,
};

/// Limits of an [`AdmissionController`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Maximum number of requests queued for the server at this daemon.
    pub queue: usize,
}

/// Result of asking an [`AdmissionController`] to admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent now.
    Admitted,
    /// The request is queued; [`AdmissionController::dequeue`] returns its ticket when it is due.
    Queued(Ticket),
    /// The request must be refused now.
    Refused(AdmissionRefusal),
}

/// A request taken from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The request may be sent now.
    Send(Ticket),
    /// The request must be refused now, because it could not complete before its deadline.
    Expired(Ticket),
}

/// Reason why an [`AdmissionController`] refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The queue has no room for the class of the request. At the current service time, there will
    /// be room after this time.
    QueueFull(Millis),
    /// The request could not complete before its deadline, since it is expected to be queued for
    /// this time.
    DeadlineTooShort(Millis),
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The server responded after this time.
    Served(Millis),
    /// The server refused the request because it is overloaded.
    Shed,
    /// The request failed in another way, or its caller disconnected.
    Failed,
}

/// Admission controller of one daemon for one server: decides which requests are sent, queued or
/// refused.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    concurrency: AdaptiveLimit,
    in_flight: u32,
    queue: FairQueue,
    /// Exponential moving average of the service time, in eighths of a millisecond; zero before the
    /// first measurement.
    service_time_eighths: u64,
    /// Nothing is sent before this time, because the server has shed a request.
    backoff_until: Millis,
}

/// How long nothing is sent to a server that has just shed a request, as a multiple of the service
/// time.
const SHED_BACKOFF_SERVICE_TIMES: u64 = 1;
/// Lower bound of the backoff after a shed request.
const MIN_SHED_BACKOFF: Millis = Millis(2);
/// Upper bound of the backoff after a shed request.
const MAX_SHED_BACKOFF: Millis = Millis(50);

impl AdmissionController {
    /// Creates a controller with an empty queue and no request in flight.
    pub fn new(limits: AdmissionLimits) -> AdmissionController {
        AdmissionController {
            limits,
            concurrency: AdaptiveLimit::new(limits.slots),
            in_flight: 0,
            queue: FairQueue::default(),
            service_time_eighths: 0,
            backoff_until: Millis::ZERO,
        }
    }

    /// Applies changed limits from the settings.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
        self.concurrency.set_slots(limits.slots);
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, now: Millis, request: QueuedRequest) -> Admission {
        match self.preview(now, &request) {
            Ok(true) => {
                self.in_flight += 1;
                Admission::Admitted
            }
            Ok(false) => Admission::Queued(self.queue.push(request)),
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    /// Returns whether a request would be admitted, and not queued, without an effect.
    ///
    /// # Errors
    ///
    /// Returns why the request would be refused.
    pub fn preview(&self, now: Millis, request: &QueuedRequest) -> Result<bool, AdmissionRefusal> {
        if self.queue.is_empty() && self.has_capacity(now) {
            return Ok(true);
        }
        let wait = self.expected_wait(request);
        let capacity = (self.limits.queue * request.class.max_queue_percent()).div_ceil(100);
        match () {
            () if now + wait + self.service_time() >= request.deadline => {
                Err(AdmissionRefusal::DeadlineTooShort(wait))
            }
            () if self.queue.count_at_or_above(request.class) >= capacity => {
                Err(AdmissionRefusal::QueueFull(wait))
            }
            () => Ok(false),
        }
    }

    /// Returns how long a request is expected to be queued if it was sent now, and then to run.
    pub fn expected_times(&self, now: Millis, request: &QueuedRequest) -> (Millis, Millis) {
        let wait = match self.preview(now, request) {
            Ok(true) => Millis::ZERO,
            _ => self.expected_wait(request),
        };
        (wait, self.service_time())
    }

    /// Records the end of an admitted request.
    pub fn on_completed(&mut self, now: Millis, completion: Completion) {
        let at_limit = self.in_flight >= self.concurrency.get();
        self.in_flight = self.in_flight.saturating_sub(1);
        match completion {
            Completion::Served(elapsed) => {
                self.record_service_time(elapsed);
                if at_limit {
                    self.concurrency.on_served_at_limit();
                }
            }
            Completion::Shed => {
                self.concurrency.on_shed();
                self.backoff_until = now + self.shed_backoff();
            }
            Completion::Failed => {}
        }
    }

    /// Takes the next request from the queue, if the limit and the backoff allow one to be sent.
    ///
    /// A request that can still complete before its deadline is counted as in flight. Any other is
    /// returned as [`Dequeued::Expired`], and must be refused.
    pub fn dequeue(&mut self, now: Millis) -> Option<Dequeued> {
        if !self.has_capacity(now) {
            return None;
        }
        let (ticket, request) = self.queue.pop()?;
        if now + self.service_time() >= request.deadline {
            return Some(Dequeued::Expired(ticket));
        }
        self.in_flight += 1;
        Some(Dequeued::Send(ticket))
    }

    /// Removes the queued request of a caller that disconnected. Returns whether it was still
    /// queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Returns how much longer nothing is sent, after the server shed a request.
    pub fn remaining_backoff(&self, now: Millis) -> Millis {
        self.backoff_until.since(now)
    }

    /// Returns the number of requests in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.concurrency.get()
    }

    fn has_capacity(&self, now: Millis) -> bool {
        self.in_flight < self.concurrency.get() && now >= self.backoff_until
    }

    fn service_time(&self) -> Millis {
        Millis(self.service_time_eighths / 8)
    }

    fn record_service_time(&mut self, elapsed: Millis) {
        self.service_time_eighths = match self.service_time_eighths {
            0 => elapsed.0 * 8,
            average => average - average / 8 + elapsed.0,
        };
    }

    fn expected_wait(&self, request: &QueuedRequest) -> Millis {
        let ahead = self.queue.count_at_or_above(request.class) as u64 + 1;
        let rounds = ahead.div_ceil(u64::from(self.concurrency.get()));
        self.service_time() * rounds
    }

    fn shed_backoff(&self) -> Millis {
        (self.service_time() * SHED_BACKOFF_SERVICE_TIMES).clamp(MIN_SHED_BACKOFF, MAX_SHED_BACKOFF)
    }
}
