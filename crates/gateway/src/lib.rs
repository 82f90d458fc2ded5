//! The gateway role: the HTTP API for callers, session ownership and placement, routing, limits,
//! retries, tool calls and version statistics.
//!
//! A gateway keeps no durable state. Shards decide ownership, budgets and calls; the gateway holds
//! only caches, connection pools, limiters and statistics. See docs/ARCHITECTURE.md and
//! docs/API.md.

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
