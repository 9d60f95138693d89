//! Decides which response on a connection belongs to which exchange.
//!
//! A faulty server may send a complete response once more, at the point where the next one is expected.
//! The id that it echoes names a request, not an exchange: all attempts of a request have the same id, and
//! responses to other calls may have none. A repeated response equals its original, so it is told from
//! the response that is due by what the connection has delivered before.
//!
//! ```
//! use oriolehoist_exchange::{ConnectionHistory, Correlation, ExchangeName, ResponseId, Verdict};
//!
//! let mut history = ConnectionHistory::default();
//! let first = ExchangeName::of(b"9c41d07be2a35f68");
//! history.start(Correlation::ById(first));
//! assert_eq!(history.judge(ResponseId::Own, true), Verdict::Own);
//! // Another attempt of the same request needs another connection.
//! assert!(!history.admits(first));
//! assert!(history.admits(ExchangeName::of(b"07be2a35f689c41d")));
//! ```

mod history;

pub use history::{
    ConnectionHistory, Correlation, ExchangeName, MAX_NAMED_EXCHANGES, ResponseId, Verdict,
};
