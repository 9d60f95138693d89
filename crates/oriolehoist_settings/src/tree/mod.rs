//! The typed settings and their inheritance.

mod explain;
mod groups;
mod model;
mod shapes;

pub(crate) use shapes::ROOT;

pub use {
    explain::{EffectiveValue, explain},
    groups::{Fencing, Placement, Policy, Server, TimingValues},
    model::{Binding, Class, Receipts, Service, Settings, Target, TargetState, Tenant},
};
