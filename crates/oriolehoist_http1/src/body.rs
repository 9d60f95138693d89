use {
    bytes::{Buf, Bytes, BytesMut},
    derive_more::{Display, Error},
    httparse::Status,
};

/// Maximum length of a chunk-size line or a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4096;

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The head contains the number of bytes.
    Sized(u64),
    /// The body is sent in chunks, each with its size; an empty chunk is the last one.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Error when a body is read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// The chunked encoding is malformed.
    #[display("the chunked encoding of the body is malformed")]
    Malformed,
}

/// Reads one body from the bytes received on a connection.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    body: BytesMut,
    max_bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of the body are still to be read.
    Sized(u64),
    /// A chunk-size line is expected.
    ChunkSize,
    /// This many bytes of a chunk are still to be read.
    Chunk(u64),
    /// The line end after the data of a chunk is expected.
    ChunkEnd,
    /// Trailers are expected, up to an empty line.
    Trailers,
    /// Everything until the connection is closed belongs to the body.
    UntilClose,
    Done,
}

impl BodyReader {
    /// Creates a reader for a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] if the length in the head is larger.
    pub fn new(length: BodyLength, max_bytes: u64) -> Result<BodyReader, BodyError> {
        let state = match length {
            BodyLength::Sized(0) => State::Done,
            BodyLength::Sized(length) if length > max_bytes => return Err(BodyError::TooLarge),
            BodyLength::Sized(length) => State::Sized(length),
            BodyLength::Chunked => State::ChunkSize,
            BodyLength::UntilClose => State::UntilClose,
        };
        Ok(BodyReader { state, body: BytesMut::new(), max_bytes })
    }

    /// Consumes the bytes at the front of `buf` that belong to the body. Returns whether the body
    /// is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or too large.
    pub fn advance(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        loop {
            self.state = match self.state {
                State::Done => return Ok(true),
                _ if buf.is_empty() => return Ok(false),
                State::Sized(remaining) => match self.take(buf, remaining)? {
                    0 => State::Done,
                    remaining => State::Sized(remaining),
                },
                State::Chunk(remaining) => match self.take(buf, remaining)? {
                    0 => State::ChunkEnd,
                    remaining => State::Chunk(remaining),
                },
                State::UntilClose => {
                    self.take(buf, u64::MAX)?;
                    State::UntilClose
                }
                State::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(Status::Complete((line_length, 0))) => {
                        buf.advance(line_length);
                        State::Trailers
                    }
                    Ok(Status::Complete((line_length, size))) => {
                        buf.advance(line_length);
                        State::Chunk(size)
                    }
                    Ok(Status::Partial) if buf.len() < MAX_LINE_BYTES => return Ok(false),
                    _ => return Err(BodyError::Malformed),
                },
                State::ChunkEnd => match take_line(buf)? {
                    None => return Ok(false),
                    Some(0) => State::ChunkSize,
                    Some(_) => return Err(BodyError::Malformed),
                },
                State::Trailers => match take_line(buf)? {
                    None => return Ok(false),
                    Some(0) => State::Done,
                    Some(_) => State::Trailers,
                },
            };
        }
    }

    /// Returns whether the body is complete, given that the connection was closed cleanly.
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Returns how many bytes of the body have been read.
    pub fn length(&self) -> usize {
        self.body.len()
    }

    /// Returns how many bytes of memory the body takes.
    pub fn capacity(&self) -> usize {
        self.body.capacity()
    }

    /// Returns the capacity that the body should have to take up `received` more bytes, and the least that it
    /// needs. Both are its length if that is known.
    pub fn wanted_capacity(&self, received: usize) -> [usize; 2] {
        let max_bytes = usize::try_from(self.max_bytes).unwrap_or(usize::MAX);
        let length = self.body.len().saturating_add(received);
        let capacities = match self.state {
            State::Done => [self.capacity(), self.body.len()],
            State::Sized(remaining) => {
                let remaining = usize::try_from(remaining).unwrap_or(usize::MAX);
                [self.body.len().saturating_add(remaining); 2]
            }
            _ if length <= self.capacity() => [self.capacity(), length],
            _ => [length.max(self.capacity().saturating_mul(2)), length],
        };
        capacities.map(|capacity| capacity.min(max_bytes))
    }

    /// Grows the buffer of the body to `capacity` bytes.
    pub fn grow_to(&mut self, capacity: usize) {
        self.body.reserve(capacity.saturating_sub(self.body.len()));
    }

    /// Returns the body.
    pub fn into_bytes(self) -> Bytes {
        self.body.freeze()
    }

    /// Consumes up to `remaining` bytes. Returns how many remain after that.
    fn take(&mut self, buf: &mut BytesMut, remaining: u64) -> Result<u64, BodyError> {
        let count = usize::try_from(remaining).unwrap_or(usize::MAX).min(buf.len());
        if (self.body.len() + count) as u64 > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        self.body.extend_from_slice(&buf[..count]);
        buf.advance(count);
        Ok(remaining - count as u64)
    }
}

/// Consumes a line. Returns its length without the line end, or `None` if the line is incomplete.
fn take_line(buf: &mut BytesMut) -> Result<Option<usize>, BodyError> {
    match buf.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) => {
            buf.advance(length + 2);
            Ok(Some(length))
        }
        None if buf.len() < MAX_LINE_BYTES => Ok(None),
        None => Err(BodyError::Malformed),
    }
}
