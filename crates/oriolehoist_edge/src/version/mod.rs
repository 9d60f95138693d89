//! Types with the lifetime of a version of the configuration, the servers and the routes.

mod view;

pub(crate) use view::{View, ViewParts};
