//! Runs one process of a cluster, whatever its role does.
//!
//! The usual roles are in [`roles`]; a program that speaks another dialect to callers or back ends brings roles of
//! its own and shares the rest: identity, listeners, the node agent, signals and the orderly end.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod node;
pub mod roles;
mod signals;

pub use node::{BuildRole, run};
pub use roles::{Ended, RoleProcess};
