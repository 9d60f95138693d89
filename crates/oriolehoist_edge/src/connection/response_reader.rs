//! Reads the response to a request from the bytes that arrive on a connection.

use {
    crate::connection::{CallError, ExchangeProgress, ExpectedResponse},
    bytes::{Bytes, BytesMut},
    http::Method,
    oriolehoist_exchange::{ConnectionHistory, ResponseId, Verdict},
    oriolehoist_http1::{BodyError, BodyMemory, BodyReader, ResponseHead, parse_response_head},
};

/// The maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The maximum number of bytes that belong to no body: heads, also those of interim responses, the
/// framing, and responses to other requests. They need no memory, but would keep a request waiting
/// until its deadline.
const MAX_OVERHEAD_BYTES: u64 = 256 << 10;
/// How many such bytes are allowed for each byte of the body in addition. A chunk of one byte has a
/// framing of five.
const OVERHEAD_PER_BODY_BYTE: u64 = 8;

/// Reads a response incrementally.
pub(super) struct ResponseReader<'a> {
    pub(super) method: &'a Method,
    pub(super) max_body_bytes: u64,
    pub(super) expected: Option<ExpectedResponse<'a>>,
    pub(super) history: &'a mut ConnectionHistory,
    pub(super) progress: &'a mut ExchangeProgress,
    pub(super) partial: Option<(ResponseHead, BodyReader)>,
    /// How many bytes were received for the request.
    pub(super) received: u64,
    pub(super) memory: BodyMemory,
}

pub(super) type CompleteResponse = Option<(ResponseHead, Bytes)>;

impl ResponseReader<'_> {
    /// Processes the received input. Returns the response once it is complete.
    pub(super) fn advance(&mut self, buf: &mut BytesMut) -> Result<CompleteResponse, CallError> {
        loop {
            match self.partial.take() {
                None => match parse_response_head(buf, MAX_HEAD_BYTES) {
                    Ok(Some(head)) => {
                        let length = head.body_length(self.method).map_err(|_| {
                            CallError::InvalidResponse("ambiguous response framing")
                        })?;
                        let reader = BodyReader::new(length, self.max_body_bytes)
                            .map_err(|_| CallError::InvalidResponse("response body too large"))?;
                        self.partial = Some((head, reader));
                    }
                    Ok(None) => return Ok(None),
                    Err(_) => return Err(CallError::InvalidResponse("malformed response head")),
                },
                Some((head, mut reader)) => match reader.advance(buf) {
                    Ok(true) if self.is_own(&head) => {
                        return Ok(Some((head, reader.into_bytes())));
                    }
                    Ok(true) => {}
                    Ok(false) => {
                        self.partial = Some((head, reader));
                        return Ok(None);
                    }
                    Err(BodyError::TooLarge) => {
                        return Err(CallError::Endless("a body is too large"));
                    }
                    Err(BodyError::Malformed) => {
                        return Err(CallError::InvalidResponse("malformed response body"));
                    }
                },
            }
        }
    }

    /// Checks that a response that is not complete yet may go on.
    pub(super) fn check_length(&mut self) -> Result<(), CallError> {
        let body = self.partial.as_ref().map(|(_, body)| body);
        let (length, capacity) = body.map_or((0, 0), |body| (body.length(), body.capacity()));
        let overhead = self.received.saturating_sub(length as u64);
        match () {
            () if !self.memory.grow_to(capacity) => {
                Err(CallError::Endless("the bodies of responses need too much memory"))
            }
            () if overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * length as u64 => {
                Err(CallError::Endless("too many bytes that belong to no body"))
            }
            () => Ok(()),
        }
    }

    /// Handles the end of the input, which completes a body without a declared length.
    pub(super) fn on_eof(&mut self) -> Result<CompleteResponse, CallError> {
        match self.partial.take() {
            Some((head, reader)) if reader.is_complete_at_eof() && self.is_own(&head) => {
                Ok(Some((head, reader.into_bytes())))
            }
            Some(_) => Err(CallError::InvalidResponse("truncated response")),
            None => Err(CallError::InvalidResponse("connection closed without a response")),
        }
    }

    /// Returns whether a complete response is that to the request, and counts it if it is not.
    fn is_own(&mut self, head: &ResponseHead) -> bool {
        let Some(ExpectedResponse { headers, id, .. }) = self.expected else { return true };
        let id = match head.headers.get(headers.id) {
            Some(echoed) if Some(echoed) == id => ResponseId::Own,
            Some(_) => ResponseId::Other,
            None => ResponseId::Missing,
        };
        let is_refusal = head.headers.contains_key(headers.not_run);
        let verdict = self.history.judge(id, is_refusal);
        self.progress.skipped += u32::from(verdict == Verdict::Unexpected);
        verdict == Verdict::Own
    }
}
