use std::fmt::{Display, Formatter, Result};

/// A value of a log line that is written as `-` if it is not known.
pub(crate) struct OrDash<T>(pub(crate) Option<T>);

impl<T: Display> Display for OrDash<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}
