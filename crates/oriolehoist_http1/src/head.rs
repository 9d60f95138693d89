use {
    crate::BodyLength,
    bytes::{Buf, BytesMut},
    derive_more::{Display, Error},
    http::{HeaderMap, HeaderName, HeaderValue, Method, header},
    httparse::{EMPTY_HEADER, Status},
};

/// The greatest number of headers in one head.
const MAX_HEADERS: usize = 128;

/// Why a head can't be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// It is larger than allowed.
    #[display("the head is too large")]
    TooLarge,
    /// It is no HTTP/1.1 head, or its framing is ambiguous.
    #[display("the head is malformed")]
    Malformed,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The path with its query, as it was sent.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    minor: u8,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    minor: u8,
}

/// Takes the head of a request from the front of `buf`; `None` if it is not whole yet.
///
/// # Errors
///
/// Returns an error if the head is malformed or larger than `most` bytes.
pub fn parse_request(buf: &mut BytesMut, most: usize) -> Result<Option<RequestHead>, HeadError> {
    let mut slots = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut slots);
    let Some(length) = head_length(parsed.parse(buf), buf.len(), most)? else { return Ok(None) };
    let method = parsed.method.unwrap_or_default().as_bytes();
    let head = RequestHead {
        method: Method::from_bytes(method).map_err(|_| HeadError::Malformed)?,
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: headers(parsed.headers)?,
        minor: parsed.version.unwrap_or(1),
    };
    buf.advance(length);
    Ok(Some(head))
}

/// Takes the head of a response from the front of `buf`; `None` if it is not whole yet.
///
/// # Errors
///
/// Returns an error if the head is malformed or larger than `most` bytes.
pub fn parse_response(buf: &mut BytesMut, most: usize) -> Result<Option<ResponseHead>, HeadError> {
    let mut slots = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut slots);
    let Some(length) = head_length(parsed.parse(buf), buf.len(), most)? else { return Ok(None) };
    let head = ResponseHead {
        status: parsed.code.unwrap_or_default(),
        headers: headers(parsed.headers)?,
        minor: parsed.version.unwrap_or(1),
    };
    buf.advance(length);
    Ok(Some(head))
}

/// Returns the length of a head of at most `most` bytes; `None` if it is not whole yet.
fn head_length(
    parsed: httparse::Result<usize>,
    buffered: usize,
    most: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(Status::Complete(length)) if length <= most => Ok(Some(length)),
        Ok(Status::Partial) if buffered <= most => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

fn headers(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else { return Err(HeadError::Malformed) };
        headers.append(name, value);
    }
    Ok(headers)
}

impl RequestHead {
    /// Returns how the body is framed.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Malformed`] if the framing is ambiguous: another server could then
    /// read the body as a second request.
    pub fn body_length(&self) -> Result<BodyLength, HeadError> {
        framing(&self.headers).map(|framing| framing.unwrap_or(BodyLength::Sized(0)))
    }

    /// Returns whether the caller keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.minor)
    }

    /// Returns whether the caller waits for a go-ahead before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.get(header::EXPECT).is_some_and(|v| v.as_bytes() == b"100-continue")
    }
}

impl ResponseHead {
    /// Returns how the body of the answer to a request with this method is framed.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Malformed`] if the framing is ambiguous.
    pub fn body_length(&self, method: &Method) -> Result<BodyLength, HeadError> {
        let bodiless = *method == Method::HEAD || matches!(self.status, 100..=199 | 204 | 304);
        match framing(&self.headers)? {
            _ if bodiless => Ok(BodyLength::Sized(0)),
            Some(framing) => Ok(framing),
            None => Ok(BodyLength::UntilClose),
        }
    }

    /// Returns whether the sender keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.minor)
    }

    /// Returns for how many seconds the sender keeps an idle connection, if it says so.
    pub fn idle_seconds(&self) -> Option<u64> {
        let text = self.headers.get("keep-alive")?.to_str().ok()?;
        text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    }
}

fn framing(headers: &HeaderMap) -> Result<Option<BodyLength>, HeadError> {
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (encodings.next(), encodings.next(), lengths.next(), lengths.next()) {
        (None, _, None, _) => Ok(None),
        (None, _, Some(length), None) => {
            let text = length.to_str().map_err(|_| HeadError::Malformed)?;
            let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            match text.parse() {
                Ok(length) if digits => Ok(Some(BodyLength::Sized(length))),
                _ => Err(HeadError::Malformed),
            }
        }
        (Some(encoding), None, None, _) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyLength::Chunked))
        }
        _ => Err(HeadError::Malformed),
    }
}

fn keeps_alive(headers: &HeaderMap, minor: u8) -> bool {
    let says = |word: &str| {
        headers.get_all(header::CONNECTION).iter().any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',').any(|part| part.trim().eq_ignore_ascii_case(word))
        })
    };
    match minor {
        0 => says("keep-alive"),
        _ => !says("close"),
    }
}

/// Returns the headers that are not about one connection.
pub fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    const ONE_CONNECTION: [HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    headers.iter().filter(|(name, _)| {
        let named = headers.get_all(header::CONNECTION).iter().any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',').any(|part| part.trim().eq_ignore_ascii_case(name.as_str()))
        });
        !named && !ONE_CONNECTION.contains(name)
    })
}
