//! Numbered log events and a log writer that never blocks.
//!
//! ```
//! use oriolehoist_log::{Event, report};
//!
//! report(Event::Started, format_args!("instance=entry-1"));
//! ```

mod event;
mod logging;
mod text;
mod writer;

pub use {
    event::{Event, report},
    logging::init_logging,
    text::Word,
};
