//! The settings: a tree in JSON with comments, in which lower branches inherit from higher ones.
//!
//! A document is checked as a whole; every problem is reported with its line, column and path, and
//! with what was expected there. Versions of it live in the platform's store.
//!
//! ```
//! use oriolehoist_settings::parse;
//!
//! let problems = parse(r#"{ "site": "demo", "zones": [], "services": {}, "sevices": {} }"#)
//!     .expect_err("a misspelt name");
//! assert_eq!(problems.list()[0].path, "sevices");
//! ```

mod document;
mod instance;
mod merge;
mod problem;
mod tree;
mod version;

pub use {
    document::{Checked, parse, parse_change},
    instance::{InstanceFile, parse_instance},
    merge::{Clash, MergeResult, Side, difference, merge},
    problem::{Position, Problem, Problems},
    tree::{
        Binding, Class, EffectiveValue, Fencing, Placement, Policy, Receipts, Server, Service,
        Settings, Target, TargetState, Tenant, TimingValues, explain,
    },
    version::{HEAD_KEY, SettingsVersion, history_key},
};
