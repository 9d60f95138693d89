//! What lives as long as a version of the configuration, the servers and the routes.

mod view;

pub(crate) use view::{Parts, View};
