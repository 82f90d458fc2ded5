//! The session-host engine: runs session loops that generate with a model server.
//!
//! The engine owns a session while the session's shard records it as the owner and its lease is
//! held ([`lease`]). It commits every event before sending it to clients ([`shard_writer`]), admits
//! turns by slots and windows ([`admission`]), and drains when its version is superseded or rolled
//! back or the platform stops it ([`drain`]).

#![deny(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod drain;
mod engine;
pub mod handlers;
pub mod lease;
pub mod loader;
pub mod model;
pub mod ownership;
pub mod release;
mod reporter;
pub mod session_task;
pub mod shard_writer;
pub mod shared;
pub mod slots;
pub mod table;

pub use engine::{Engine, EngineError};
