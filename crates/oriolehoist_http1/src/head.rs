use {
    crate::BodyLength,
    bytes::{Buf, BytesMut},
    derive_more::{Display, Error, Into},
    http::{HeaderMap, HeaderName, HeaderValue, Method, header},
    httparse::{EMPTY_HEADER, Status},
};

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 128;
/// The status of an interim response after which the connection speaks another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Error when the head of a message is parsed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The head is larger than allowed.
    #[display("the head is too large")]
    TooLarge,
    /// The head is not valid HTTP/1.1, or the framing of the body is ambiguous.
    #[display("the head is malformed")]
    Malformed,
}

/// Request line and headers.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The request target as it was received: path and query.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    minor_version: u8,
}

/// The status of a final response, from 200 to 999. Those from 600 on have no meaning in HTTP, and are
/// passed on as they are.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Into)]
pub struct FinalStatus(u16);

impl TryFrom<u16> for FinalStatus {
    type Error = HeadError;

    fn try_from(status: u16) -> Result<FinalStatus, HeadError> {
        match status {
            200..=999 => Ok(FinalStatus(status)),
            _ => Err(HeadError::Malformed),
        }
    }
}

/// Status line and headers of a final response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: FinalStatus,
    /// The headers.
    pub headers: HeaderMap,
    minor_version: u8,
}

/// Consumes the head of a request at the front of `buf`. Returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns an error if the head is malformed or larger than `limit` bytes.
pub fn parse_request_head(
    buf: &mut BytesMut,
    limit: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut header_slots = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut header_slots);
    let Some(length) = head_length(parsed.parse(buf), buf.len(), limit)? else { return Ok(None) };
    let method = parsed.method.unwrap_or_default().as_bytes();
    let head = RequestHead {
        method: Method::from_bytes(method).map_err(|_| HeadError::Malformed)?,
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: convert_headers(parsed.headers)?,
        minor_version: parsed.version.unwrap_or(1),
    };
    buf.advance(length);
    Ok(Some(head))
}

/// Consumes the head of a final response at the front of `buf`, and the interim responses before it. Returns
/// `None` if it is incomplete.
///
/// # Errors
///
/// Returns an error if a head is malformed or larger than `limit` bytes. That includes a status that HTTP
/// does not have, a switch to a protocol that no request asked for, and an interim response with a body:
/// what follows these could be taken for the response.
pub fn parse_response_head(
    buf: &mut BytesMut,
    limit: usize,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let mut header_slots = [EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut header_slots);
        let length = head_length(parsed.parse(buf), buf.len(), limit)?;
        let Some(length) = length else { return Ok(None) };
        let headers = convert_headers(parsed.headers)?;
        let status = parsed.code.unwrap_or_default();
        let minor_version = parsed.version.unwrap_or(1);
        buf.advance(length);
        match status {
            SWITCHING_PROTOCOLS => return Err(HeadError::Malformed),
            100..=199 => match parse_framing(&headers)? {
                None | Some(BodyLength::Sized(0)) => {}
                Some(_) => return Err(HeadError::Malformed),
            },
            _ => {
                let status = FinalStatus::try_from(status)?;
                return Ok(Some(ResponseHead { status, headers, minor_version }));
            }
        }
    }
}

/// Returns the length of a parsed head, or `None` if the head is incomplete.
fn head_length(
    parsed: httparse::Result<usize>,
    buffered: usize,
    limit: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(Status::Complete(length)) if length <= limit => Ok(Some(length)),
        Ok(Status::Partial) if buffered <= limit => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

fn convert_headers(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
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
    /// Returns how the length of the body is determined.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Malformed`] if the framing is ambiguous: another server could then
    /// parse the body as a second request (request smuggling).
    pub fn body_length(&self) -> Result<BodyLength, HeadError> {
        parse_framing(&self.headers).map(|framing| framing.unwrap_or(BodyLength::Sized(0)))
    }

    /// Returns whether the caller keeps the connection open after the response.
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(&self.headers, self.minor_version)
    }

    /// Returns whether the caller waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.get(header::EXPECT).is_some_and(|value| value.as_bytes() == b"100-continue")
    }
}

impl ResponseHead {
    /// Returns how the length of the body is determined, if `method` is that of the request.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Malformed`] if the framing is ambiguous.
    pub fn body_length(&self, method: &Method) -> Result<BodyLength, HeadError> {
        let no_body = *method == Method::HEAD || matches!(u16::from(self.status), 204 | 304);
        match parse_framing(&self.headers)? {
            _ if no_body => Ok(BodyLength::Sized(0)),
            Some(framing) => Ok(framing),
            None => Ok(BodyLength::UntilClose),
        }
    }

    /// Returns whether the server keeps the connection open after the response.
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(&self.headers, self.minor_version)
    }

    /// Returns for how many seconds the server keeps an idle connection open, if it announced that.
    pub fn idle_seconds(&self) -> Option<u64> {
        let text = self.headers.get("keep-alive")?.to_str().ok()?;
        text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    }
}

fn parse_framing(headers: &HeaderMap) -> Result<Option<BodyLength>, HeadError> {
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (encodings.next(), encodings.next(), lengths.next(), lengths.next()) {
        (None, _, None, _) => Ok(None),
        (None, _, Some(length), None) => {
            let text = length.to_str().map_err(|_| HeadError::Malformed)?;
            let only_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            match text.parse() {
                Ok(length) if only_digits => Ok(Some(BodyLength::Sized(length))),
                _ => Err(HeadError::Malformed),
            }
        }
        (Some(encoding), None, None, _) if encoding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(BodyLength::Chunked))
        }
        _ => Err(HeadError::Malformed),
    }
}

fn is_keep_alive(headers: &HeaderMap, minor_version: u8) -> bool {
    let has_token = |token: &str| {
        headers.get_all(header::CONNECTION).iter().any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
        })
    };
    match minor_version {
        0 => has_token("keep-alive"),
        _ => !has_token("close"),
    }
}

/// Returns the headers that are forwarded. Hop-by-hop headers are not, nor are `content-length` and
/// `expect`: each hop sends the body in its own way.
pub fn end_to_end_headers(
    headers: &HeaderMap,
) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    const NOT_FORWARDED: [HeaderName; 8] = [
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
        let named_in_connection = headers.get_all(header::CONNECTION).iter().any(|value| {
            let text = value.to_str().unwrap_or_default();
            text.split(',').any(|part| part.trim().eq_ignore_ascii_case(name.as_str()))
        });
        !named_in_connection && !NOT_FORWARDED.contains(name)
    })
}
