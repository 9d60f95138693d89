//! State with the lifetime of one version of the settings and assignments.

mod view;

pub(crate) use view::{ServiceView, View};
