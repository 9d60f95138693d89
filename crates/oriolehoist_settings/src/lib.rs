//! Settings of a site, which consists of daemons and the backend servers of their services: a tree
//! in JSON with comments, in which branches inherit from their parents.
//!
//! A document is validated as a whole. Every problem is reported with its line, column and path,
//! and with what was expected there. The platform's store keeps the versions of the document.
//!
//! ```
//! use oriolehoist_settings::parse_settings;
//!
//! let text = r#"{ "site": "demo", "zones": [], "services": {}, "sevices": {} }"#;
//! let problems = parse_settings(text).expect_err("the document has a misspelled name");
//! assert_eq!(problems.list()[0].path, "sevices");
//! ```

mod document;
mod instance;
mod merge;
mod problem;
mod tree;
mod version;

pub use {
    document::{CheckedDocument, parse_settings, parse_settings_update},
    instance::{InstanceFile, parse_instance_file},
    merge::{MergeConflict, MergeResult, SettingChange, difference, merge},
    problem::{Position, Problem, Problems},
    tree::{
        Binding, Class, EffectiveValue, Fencing, Placement, Policy, Receipts, ServerSettings,
        Service, Settings, Target, TargetState, TimingValues, Workspace, explain,
    },
    version::{HEAD_KEY, SettingsVersion, history_key},
};
