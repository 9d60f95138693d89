use {
    crate::end_to_end_headers,
    bytes::{Buf, BufMut, Bytes, BytesMut, buf::Chain},
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
};

/// An encoded request. The body is not copied, so that all attempts of a request can share it.
pub type RequestMessage = Chain<Bytes, Bytes>;

/// Encodes a complete request. Hop-by-hop headers are dropped, and the body is sent with a new
/// `content-length`.
pub fn encode_request(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> RequestMessage {
    let mut buf = BytesMut::with_capacity(256);
    put(&mut buf, &[method.as_str().as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
    put_headers(&mut buf, end_to_end_headers(headers));
    let may_have_body = *method != Method::GET && *method != Method::HEAD;
    if may_have_body || !body.is_empty() {
        put_content_length(&mut buf, body.len());
    }
    put(&mut buf, &[b"\r\n"]);
    buf.freeze().chain(body)
}

/// Encodes a complete response to a request with this method. Hop-by-hop headers are dropped, and
/// the body is sent with a new `content-length`. `close` announces that the connection is closed
/// after the response.
pub fn encode_response(
    method: &Method,
    status: u16,
    headers: &HeaderMap,
    body: &[u8],
    close: bool,
) -> Bytes {
    let mut buf = BytesMut::with_capacity(256 + body.len());
    let reason = StatusCode::from_u16(status).ok().and_then(|status| status.canonical_reason());
    let reason = reason.unwrap_or("Unknown");
    put(&mut buf, &[b"HTTP/1.1 ", status.to_string().as_bytes(), b" ", reason.as_bytes(), b"\r\n"]);
    put_headers(&mut buf, end_to_end_headers(headers));
    let no_body = matches!(status, 100..=199 | 204 | 304);
    match headers.get(header::CONTENT_LENGTH) {
        // The response to HEAD contains the length of a body that is not sent.
        Some(length) if *method == Method::HEAD => {
            put(&mut buf, &[b"content-length: ", length.as_bytes(), b"\r\n"]);
        }
        _ if !no_body => put_content_length(&mut buf, body.len()),
        _ => {}
    }
    if close {
        put(&mut buf, &[b"connection: close\r\n"]);
    }
    put(&mut buf, &[b"\r\n"]);
    if *method != Method::HEAD && !no_body {
        put(&mut buf, &[body]);
    }
    buf.freeze()
}

fn put_headers<'a>(
    buf: &mut BytesMut,
    headers: impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)>,
) {
    for (name, value) in headers {
        put(buf, &[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
    }
}

fn put_content_length(buf: &mut BytesMut, length: usize) {
    put(buf, &[b"content-length: ", length.to_string().as_bytes(), b"\r\n"]);
}

fn put(buf: &mut BytesMut, parts: &[&[u8]]) {
    for part in parts {
        buf.put_slice(part);
    }
}
