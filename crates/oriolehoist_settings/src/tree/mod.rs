//! The typed settings and their inheritance.

mod explain;
mod groups;
mod model;
mod schemas;

pub(crate) use schemas::SITE;

pub use {
    explain::{EffectiveValue, explain},
    groups::{Fencing, Placement, Policy, ServerSettings, TimingValues},
    model::{Binding, Class, Receipts, Service, Settings, Target, TargetState, Workspace},
};
