//! Fakes of everything around the daemons, for tests and examples. Never shipped.
//!
//! - [`standin`]: fakes of the platform's store and instance list, and of backend servers;
//! - [`fault`]: TCP proxies that inject faults into the connections between processes;
//! - [`site`]: the configurations of the users' two sites;
//! - [`cluster`]: a complete site, with its daemons as processes or embedded;
//! - [`caller`]: load generators that record every request;
//! - [`oracle`]: checks of the invariants, based only on what servers and callers recorded;
//! - [`demo`]: a demo that runs a site in one process;
//! - [`users_platform`]: fakes of the users' platform, and daemons that run on it;
//! - [`scenario`]: a small language for scripted failures.

pub mod caller;
pub mod cluster;
pub mod demo;
pub mod fault;
mod lock;
mod loopback;
pub mod oracle;
pub mod scenario;
pub mod site;
pub mod standin;
pub mod users_platform;
