//! The gateway: callers' HTTP API, owner table, placement, routing, limits, retries, calls and
//! version statistics.
//!
//! A gateway holds nothing that has to survive it: owners, budgets and calls are decided by the
//! shards; what is kept here are caches, connection pools, limiters and figures. See
//! docs/ARCHITECTURE.md and docs/API.md.

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod api;
pub mod backend;
pub mod backoff;
pub mod calls;
mod client_stream;
pub mod engine_losses;
mod gateway;
pub mod limits;
mod programs;
pub mod sessions;
mod shards;
mod shared;
mod single_flight;
mod version_monitor;
pub mod versions;

pub use gateway::Gateway;
