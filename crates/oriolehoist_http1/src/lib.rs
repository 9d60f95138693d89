//! Heads and bodies of HTTP/1.1 messages, without I/O.
//!
//! The parsing is `httparse`; this crate adds what a router must control itself, and what
//! client and server libraries hide: reading a pipelined request while an earlier one runs,
//! skipping an answer that belongs to no request, and telling a whole body from a broken one.
//!
//! ```
//! use {bytes::BytesMut, oriolehoist_http1::parse_request};
//!
//! let mut buf = BytesMut::from("GET /a HTTP/1.1\r\nhost: b\r\n\r\n");
//! let head = parse_request(&mut buf, 1024).expect("valid").expect("the head is whole");
//! assert_eq!(head.target, "/a");
//! ```

mod body;
mod encode;
mod head;

pub use {
    body::{BodyError, BodyLength, BodyReader},
    encode::{encode_request, encode_response},
    head::{HeadError, RequestHead, ResponseHead, end_to_end, parse_request, parse_response},
};
