use {
    bytes::{Buf, Bytes, BytesMut},
    derive_more::{Display, Error},
    httparse::Status,
};

/// The longest line with the size of a chunk, or of a trailer, in bytes.
const MAX_LINE: usize = 4096;

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The head gives the number of bytes.
    Sized(u64),
    /// Each chunk gives its size; an empty one is the last.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why a body can't be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// Its chunks are malformed.
    #[display("the body is malformed")]
    Malformed,
}

/// Collects one body from the bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    collected: BytesMut,
    most: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes are missing.
    Sized(u64),
    /// The size of the next chunk is expected.
    ChunkSize,
    /// This many bytes of a chunk are missing.
    Chunk(u64),
    /// The end of a chunk's line is expected.
    ChunkEnd,
    /// Trailers, up to an empty line.
    Trailers,
    /// Everything up to the end of the connection.
    UntilClose,
    Done,
}

impl BodyReader {
    /// Creates a reader for a body of at most `most` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] if the head announces more.
    pub fn new(length: BodyLength, most: u64) -> Result<BodyReader, BodyError> {
        let state = match length {
            BodyLength::Sized(0) => State::Done,
            BodyLength::Sized(length) if length > most => return Err(BodyError::TooLarge),
            BodyLength::Sized(length) => State::Sized(length),
            BodyLength::Chunked => State::ChunkSize,
            BodyLength::UntilClose => State::UntilClose,
        };
        Ok(BodyReader { state, collected: BytesMut::new(), most })
    }

    /// Takes what belongs to the body from the front of `buf`. Returns whether it is whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or too large.
    pub fn advance(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        loop {
            self.state = match self.state {
                State::Done => return Ok(true),
                _ if buf.is_empty() => return Ok(false),
                State::Sized(missing) => match self.take(buf, missing)? {
                    0 => State::Done,
                    missing => State::Sized(missing),
                },
                State::Chunk(missing) => match self.take(buf, missing)? {
                    0 => State::ChunkEnd,
                    missing => State::Chunk(missing),
                },
                State::UntilClose => {
                    self.take(buf, u64::MAX)?;
                    State::UntilClose
                }
                State::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(Status::Complete((line, 0))) => {
                        buf.advance(line);
                        State::Trailers
                    }
                    Ok(Status::Complete((line, size))) => {
                        buf.advance(line);
                        State::Chunk(size)
                    }
                    Ok(Status::Partial) if buf.len() < MAX_LINE => return Ok(false),
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

    /// Notes that the connection ended cleanly. Returns whether the body is whole.
    pub fn end(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Returns the body.
    pub fn into_bytes(self) -> Bytes {
        self.collected.freeze()
    }

    /// Takes up to `missing` bytes, and returns how many are still missing.
    fn take(&mut self, buf: &mut BytesMut, missing: u64) -> Result<u64, BodyError> {
        let count = usize::try_from(missing).unwrap_or(usize::MAX).min(buf.len());
        if (self.collected.len() + count) as u64 > self.most {
            return Err(BodyError::TooLarge);
        }
        self.collected.extend_from_slice(&buf[..count]);
        buf.advance(count);
        Ok(missing - count as u64)
    }
}

/// Takes a line, and returns its length without its end.
fn take_line(buf: &mut BytesMut) -> Result<Option<usize>, BodyError> {
    match buf.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) => {
            buf.advance(length + 2);
            Ok(Some(length))
        }
        None if buf.len() < MAX_LINE => Ok(None),
        None => Err(BodyError::Malformed),
    }
}
