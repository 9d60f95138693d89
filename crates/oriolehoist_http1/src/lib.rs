//! Parsing and encoding of HTTP/1.1 messages, without I/O.
//!
//! The crate builds on `httparse`. It exists because a router needs control that client and server
//! libraries do not offer: reading a pipelined request while an earlier one runs, skipping a
//! response that belongs to no request, and telling a complete body from a truncated one.
//!
//! ```
//! use {bytes::BytesMut, oriolehoist_http1::parse_request_head};
//!
//! let mut buf = BytesMut::from("GET /a HTTP/1.1\r\nhost: b\r\n\r\n");
//! let head = parse_request_head(&mut buf, 1024).expect("valid").expect("the head is complete");
//! assert_eq!(head.target, "/a");
//! ```

mod body;
mod body_memory;
mod encode;
mod head;
mod request_reader;

pub use {
    body::{BodyError, BodyLength, BodyReader},
    body_memory::{BodyMemory, BodyPool, request_body_bytes},
    encode::{RequestMessage, encode_request, encode_response},
    head::{
        FinalStatus, HeadError, RequestHead, ResponseHead, end_to_end_headers, parse_request_head,
        parse_response_head,
    },
    request_reader::{NextRequest, ReceivedRequest, RequestReader},
};
