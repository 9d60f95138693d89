//! What lives as long as a version of the settings and the assignments.

mod view;

pub(crate) use view::{ServiceView, View};
