//! Single mechanisms, each by the shortest way to where it matters.

mod balance;
mod holds;
mod support;
mod takeovers;
