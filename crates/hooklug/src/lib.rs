//! Runs one process of a cluster, in any role.
//!
//! The default roles are in [`roles`]. A program that uses another protocol towards callers or
//! backends implements its own roles and shares the rest: identity, listeners, the node agent,
//! signal handling and graceful shutdown.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod build_info;
mod node;
pub mod roles;
mod signals;

pub use node::{BuildRole, run};
pub use roles::{RoleExit, RoleProcess};
