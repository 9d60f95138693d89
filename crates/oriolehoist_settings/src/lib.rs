//! Settings of a site: a tree in JSON with comments, in which branches inherit from their parents.
//!
//! A document is validated as a whole. Every problem is reported with its line, column and path,
//! and with what was expected there. The platform's store keeps the versions of the document.
//!
//! ```
//! use oriolehoist_settings::parse;
//!
//! let problems = parse(r#"{ "site": "demo", "zones": [], "services": {}, "sevices": {} }"#)
//!     .expect_err("the document has a misspelled name");
//! assert_eq!(problems.list()[0].path, "sevices");
//! ```

mod document;
mod instance;
mod merge;
mod problem;
mod tree;
mod version;

pub use {
    document::{CheckedDocument, parse, parse_change},
    instance::{InstanceFile, parse_instance},
    merge::{Clash, MergeResult, Side, difference, merge},
    problem::{Position, Problem, Problems},
    tree::{
        Binding, Class, EffectiveValue, Fencing, Placement, Policy, Receipts, ServerSettings,
        Service, Settings, Target, TargetState, Tenant, TimingValues, explain,
    },
    version::{HEAD_KEY, SettingsVersion, history_key},
};
