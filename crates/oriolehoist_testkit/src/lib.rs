//! Stand-ins for everything around the daemons, for tests and examples. Never shipped.
//!
//! - [`standin`]: the platform's store and instance list, and backend servers;
//! - [`fault`]: a TCP proxy on every edge that cuts, delays and silences;
//! - [`site`]: the users' two sites;
//! - [`cluster`]: daemons, as processes or embedded, with all of the above around them;
//! - [`caller`]: load with a record of every request;
//! - [`oracle`]: what must hold, read from the stand-ins' and the callers' records alone;
//! - [`demo`]: a site that runs in one process, for people to try;
//! - [`users_platform`]: the users' platform, with daemons that run on it;
//! - [`scenario`]: a small language that scripts all of it.

pub mod caller;
pub mod cluster;
pub mod demo;
pub mod fault;
mod lock;
pub mod oracle;
pub mod scenario;
pub mod site;
pub mod standin;
pub mod users_platform;
