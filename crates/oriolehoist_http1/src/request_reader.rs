use {
    crate::{
        BodyError, BodyMemory, BodyPool, BodyReader, HeadError, RequestHead, parse_request_head,
    },
    bytes::{Bytes, BytesMut},
    oriolehoist_time::Millis,
};

/// A request that has arrived completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request line and the headers.
    pub head: RequestHead,
    /// The body, which returns its memory when it is dropped.
    pub body: Bytes,
}

/// What the input of a connection contains next.
#[derive(Debug)]
pub enum NextRequest {
    /// A complete request.
    Complete(ReceivedRequest),
    /// A head whose sender waits for an interim response before it sends the body.
    AwaitsContinue,
    /// Not a complete request yet.
    Incomplete,
    /// A part of a body for which there is no memory. Nothing should be read until there is.
    AwaitsMemory,
    /// Nothing that can be served. The input after it is not read.
    Rejected,
}

/// Reads the requests that arrive on a connection, one after the other.
///
/// Input that can't be served is rejected in its turn: its status is due once all requests before it
/// have been answered.
#[derive(Debug)]
pub struct RequestReader {
    /// The memory for the bodies.
    pool: &'static BodyPool,
    /// How long a request may wait for memory.
    max_memory_wait: Millis,
    /// The request whose body is being received.
    partial: Option<PartialRequest>,
    /// When the first byte of the request that is being received arrived.
    receiving_since: Option<Millis>,
    /// Since when there is no memory for the body.
    awaiting_memory_since: Option<Millis>,
    /// The status of input that can't be served.
    rejection: Option<u16>,
}

/// A request whose body is being received.
#[derive(Debug)]
struct PartialRequest {
    head: RequestHead,
    reader: BodyReader,
    memory: BodyMemory,
    /// Whether the sender waits for an interim response.
    awaits_continue: bool,
}

impl RequestReader {
    /// Creates a reader for a connection, whose bodies get their memory from `pool`, and wait for it for
    /// up to `max_memory_wait`.
    pub fn new(pool: &'static BodyPool, max_memory_wait: Millis) -> RequestReader {
        RequestReader {
            pool,
            max_memory_wait,
            partial: None,
            receiving_since: None,
            awaiting_memory_since: None,
            rejection: None,
        }
    }

    /// Consumes the next request at the front of `buf`.
    pub fn advance(
        &mut self,
        buf: &mut BytesMut,
        now: Millis,
        max_head_bytes: usize,
        max_body_bytes: u64,
    ) -> NextRequest {
        if self.rejection.is_some() {
            return NextRequest::Rejected;
        }
        let next = self.try_advance(buf, now, max_head_bytes, max_body_bytes);
        next.unwrap_or_else(|status| {
            self.reject(status);
            NextRequest::Rejected
        })
    }

    /// Rejects the request that is being received if it has taken longer than `max_time`, or if it has
    /// waited too long for memory.
    pub fn check_time(&mut self, now: Millis, max_time: Millis) {
        if self.times_out_at(max_time).is_some_and(|at| now >= at) {
            self.reject(if self.awaits_memory() { 503 } else { 408 });
        }
    }

    /// Returns when the request that is being received will have taken `max_time`, or will have waited too
    /// long for memory. Returns `None` if there is none.
    pub fn times_out_at(&self, max_time: Millis) -> Option<Millis> {
        match self.awaiting_memory_since {
            Some(since) => Some(since + self.max_memory_wait),
            None => self.receiving_since.map(|since| since + max_time),
        }
    }

    /// Returns whether there is no memory for the body that is being received.
    pub fn awaits_memory(&self) -> bool {
        self.awaiting_memory_since.is_some()
    }

    /// Returns the status with which the input is rejected, if that is due when so many requests before it
    /// have not been answered yet.
    pub fn due_rejection(&self, unanswered: usize) -> Option<u16> {
        self.rejection.filter(|_| unanswered == 0)
    }

    /// Returns whether the input is rejected, now or in its turn.
    pub fn is_rejected(&self) -> bool {
        self.rejection.is_some()
    }

    /// Returns whether a part of a request has been received.
    pub fn is_receiving(&self) -> bool {
        self.receiving_since.is_some()
    }

    fn reject(&mut self, status: u16) {
        *self = RequestReader {
            rejection: Some(status),
            ..RequestReader::new(self.pool, self.max_memory_wait)
        };
    }

    fn try_advance(
        &mut self,
        buf: &mut BytesMut,
        now: Millis,
        max_head_bytes: usize,
        max_body_bytes: u64,
    ) -> Result<NextRequest, u16> {
        if self.partial.is_none() {
            if !buf.is_empty() {
                self.receiving_since.get_or_insert(now);
            }
            let head = match parse_request_head(buf, max_head_bytes) {
                Ok(Some(head)) => head,
                Ok(None) => return Ok(NextRequest::Incomplete),
                Err(HeadError::TooLarge) => return Err(431),
                Err(HeadError::Malformed) => return Err(400),
            };
            let length = head.body_length().map_err(|_| 400_u16)?;
            let reader = BodyReader::new(length, max_body_bytes).map_err(|_| 413_u16)?;
            let (memory, awaits_continue) = (BodyMemory::new(self.pool), head.expects_continue());
            self.partial = Some(PartialRequest { head, reader, memory, awaits_continue });
        }
        let Some(mut partial) = self.partial.take() else { return Ok(NextRequest::Incomplete) };
        let [wanted, least] = partial.reader.wanted_capacity(buf.len());
        let wanted = wanted.min(self.pool.largest_body());
        if wanted < least {
            return Err(503);
        }
        let mut capacities = [wanted, least].into_iter();
        let Some(capacity) = capacities.find(|capacity| partial.memory.grow_to(*capacity)) else {
            self.partial = Some(partial);
            self.awaiting_memory_since.get_or_insert(now);
            return Ok(NextRequest::AwaitsMemory);
        };
        partial.reader.grow_to(capacity);
        if let Some(since) = self.awaiting_memory_since.take() {
            // Meanwhile the sender could not go on.
            self.receiving_since = self.receiving_since.map(|began| began + now.since(since));
        }
        if std::mem::take(&mut partial.awaits_continue) {
            self.partial = Some(partial);
            return Ok(NextRequest::AwaitsContinue);
        }
        match partial.reader.advance(buf) {
            Ok(true) => {
                self.receiving_since = None;
                let PartialRequest { head, reader, memory, .. } = partial;
                let body = memory.attach_to(reader.into_bytes());
                Ok(NextRequest::Complete(ReceivedRequest { head, body }))
            }
            Ok(false) => {
                self.partial = Some(partial);
                Ok(NextRequest::Incomplete)
            }
            Err(BodyError::TooLarge) => Err(413),
            Err(BodyError::Malformed) => Err(400),
        }
    }
}
